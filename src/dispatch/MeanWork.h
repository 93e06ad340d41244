// Mean work of the recent jobs of each queue, to which the value of a job is
// relative.
#ifndef hyssoppaddle_dispatch_MeanWork_h
#define hyssoppaddle_dispatch_MeanWork_h

#include "work/Setup.h"

#include <algorithm>
#include <map>

namespace hyssoppaddle::dispatch {

class MeanWork
{
public:
  // aWork in core-milliseconds.
  void Add(const work::QueueId& aQueue, double aWork)
  {
    Recent& recent = this->queues[aQueue];
    recent.count = std::min(recent.count + 1.0, kJobs);
    recent.mean += (aWork - recent.mean) / recent.count;
  }

  // 0 while no job of the queue is known.
  [[nodiscard]] double Of(const work::QueueId& aQueue) const
  {
    const auto found = this->queues.find(aQueue);
    return found == this->queues.end() ? 0.0 : found->second.mean;
  }

  void Clear() { this->queues.clear(); }

private:
  // Older jobs count exponentially less.
  static constexpr double kJobs = 64;

  struct Recent
  {
    double count = 0; // at most kJobs
    double mean = 0;
  };

  std::map<work::QueueId, Recent> queues;
};

} // namespace hyssoppaddle::dispatch

#endif
