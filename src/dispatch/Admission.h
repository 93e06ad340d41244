// Decides whether a new job is rejected, and after which time the caller should
// retry.
//
// Load pattern: during a peak more work arrives than the pool can finish before
// the objectives of the latest jobs. A job that could only end after it has
// lost its value would take capacity from the jobs of the next peak, so its
// caller is rejected at once and told how long the backlog takes.
#ifndef hyssoppaddle_dispatch_Admission_h
#define hyssoppaddle_dispatch_Admission_h

#include "work/Job.h"

#include <optional>

namespace hyssoppaddle::dispatch {

struct ServiceLoad
{
  // Accepted work in core-milliseconds, long-running jobs excluded.
  double backlog = 0;
  // Cores of usable upstreams not held by long-running tasks.
  double capacity = 0;
  double reachable = 0; // cores of idle instances that can move to this service
  std::size_t upstreams = 0; // number of usable upstreams
};

// Returns no value when the job should be accepted.
std::optional<Duration>
RetryAfter(const ServiceLoad& aLoad,
           const work::Queue& aQueue,
           const work::JobSpec& aSpec);

} // namespace hyssoppaddle::dispatch

#endif
