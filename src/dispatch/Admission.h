// When a new job is rejected, and when it is worth coming back.
//
// Load pattern: a peak hands in more work than the pool finishes before the
// objectives of the last callers pass. A job that could only end when it is
// worth nothing would take room from jobs of the next peak; its caller learns
// so at once, with the time that the backlog needs.
#ifndef hyssoppaddle_dispatch_Admission_h
#define hyssoppaddle_dispatch_Admission_h

#include "work/Job.h"

#include <optional>

namespace hyssoppaddle::dispatch {

struct ServiceLoad
{
  double backlog = 0;  // core-milliseconds of accepted work that does not last
  double capacity = 0; // cores of usable upstreams that longRunning tasks leave
  double reachable = 0;      // cores of idle instances that can move here
  std::size_t upstreams = 0; // usable ones
};

// Nothing when the job should be accepted.
std::optional<Duration>
RetryAfter(const ServiceLoad& aLoad,
           const work::Queue& aQueue,
           const work::JobSpec& aSpec);

} // namespace hyssoppaddle::dispatch

#endif
