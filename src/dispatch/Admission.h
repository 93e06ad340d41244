// Decides whether a new job is rejected, and after which time the caller should
// retry.
//
// Load pattern: during a peak more work arrives than the pool can finish before
// the objectives of the latest jobs. A job that could only end after it has
// lost its value would take capacity from the jobs of the next peak, so its
// caller is rejected at once and told how long the backlog takes. Only the work
// that is served before the job counts: a large backlog of others does not
// delay a job that ranks before it. A job beyond its workspace's share is
// accepted only where it would still be in time.
#ifndef hyssoppaddle_dispatch_Admission_h
#define hyssoppaddle_dispatch_Admission_h

#include "dispatch/WorkRank.h"

#include <optional>
#include <span>
#include <vector>

namespace hyssoppaddle::dispatch {

struct ServiceLoad
{
  // Accepted work in core-milliseconds, long-running jobs excluded. For
  // RetryAfter the part that is served before the job.
  double backlog = 0;
  // Cores of usable upstreams not held by long-running tasks.
  double capacity = 0;
  double reachable = 0; // cores of idle instances that can move to this service
  std::size_t upstreams = 0; // number of usable upstreams
  // False: everything that could start has started, so there is room.
  bool hasWaitingTasks = true;
};

// Accepted work of one job.
struct AcceptedWork
{
  WorkRank rank;
  double started = 0; // core-milliseconds
  double unstarted = 0;
};

// Core-milliseconds that are served before a job of aRank.
double
WorkAhead(std::span<const AcceptedWork> aAccepted, const WorkRank& aRank);

// Returns no value when the job should be accepted.
std::optional<Duration>
RetryAfter(const ServiceLoad& aLoad,
           const work::Queue& aQueue,
           const work::JobSpec& aSpec,
           bool aIsLent = false);

// Why a job is rejected, and when its caller should come back.
struct Rejection
{
  Duration retryAfter{ 0 };
  bool isBeyondShare = false; // of its workspace
};

} // namespace hyssoppaddle::dispatch

#endif
