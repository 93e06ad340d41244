// Tracks which instances other leaders ordered recently. Their owner accepts
// orders for an instance from only one holder within a lease, so a new leader
// must not order those.
//
// Load pattern: the leader is lost, or all instances restart, in the first
// seconds of a queue's peak. If a new leader left every instance alone for the
// length of a lease, the pool would grow seconds too late.
#ifndef hyssoppaddle_dispatch_OrderHistory_h
#define hyssoppaddle_dispatch_OrderHistory_h

#include "work/WorkState.h"

#include <map>
#include <string>

namespace hyssoppaddle::dispatch {

class OrderHistory
{
public:
  // Called when the process has started or its state was restored from a
  // snapshot: the recorded orders may have been sent just before.
  void Reset(Time aNow)
  {
    this->startedAt = aNow;
    this->lastOrderAt.clear();
  }

  // Called when an order was applied here. The leader sends it only after it
  // has applied it too, so aNow is close to the time of the order or later.
  void RecordOrder(const std::string& aInstance, Time aNow)
  {
    this->lastOrderAt[aInstance] = aNow;
  }

  // False within aLease of an order by a holder other than aSelf. aOrder is the
  // last recorded order for the instance, or null.
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
  // Upper bound of the difference between the clocks of two machines, also
  // while one of them is being adjusted.
  static constexpr Duration kMaxClockDifference = std::chrono::seconds(5);

  Time startedAt{};
  std::map<std::string, Time> lastOrderAt; // by instance
};

} // namespace hyssoppaddle::dispatch

#endif
