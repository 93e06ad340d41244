// Which instances other leaders ordered lately. Their owner takes orders for
// one instance from one holder at a time, so a new leader leaves those alone.
//
// Load pattern: the leader is lost, or everything restarts, in the first
// seconds of a queue's turn. Were every instance left alone for a while, the
// pool would grow only seconds later.
#ifndef hyssoppaddle_dispatch_OrderHistory_h
#define hyssoppaddle_dispatch_OrderHistory_h

#include "work/WorkState.h"

#include <map>
#include <string>

namespace hyssoppaddle::dispatch {

class OrderHistory
{
public:
  // The process has started, or its state came as a snapshot: what is on record
  // may have been ordered just before.
  void Reset(Time aNow)
  {
    this->startedAt = aNow;
    this->lastOrderAt.clear();
  }

  // An order was applied here. It leaves its holder once that has applied it
  // too, so this is no earlier than about the time of the order.
  void RecordOrder(const std::string& aInstance, Time aNow)
  {
    this->lastOrderAt[aInstance] = aNow;
  }

  // False within aLease of an order by another holder than aSelf. aOrder is the
  // last one on record, or null.
  [[nodiscard]] bool MayOrder(const std::string& aInstance,
                              const work::InstanceOrder* aOrder,
                              const InstanceId& aSelf,
                              Duration aLease,
                              Time aNow,
                              WallTime aWall) const
  {
    if (aOrder == nullptr || aOrder->holder == aSelf) {
      return true;
    }
    const auto seen = this->lastOrderAt.find(aInstance);
    const Time since =
      seen == this->lastOrderAt.end() ? this->startedAt : seen->second;
    return aNow >= since + aLease ||
           aWall >= aOrder->at + aLease + kMaxClockDifference;
  }

private:
  // Clocks of two machines differ by less than this, also while one is being
  // set right.
  static constexpr Duration kMaxClockDifference = std::chrono::seconds(5);

  Time startedAt{};
  std::map<std::string, Time> lastOrderAt; // the last order of each instance
};

} // namespace hyssoppaddle::dispatch

#endif
