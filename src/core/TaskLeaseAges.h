// Age of the logged leases of tasks on the monotonic clock of this entry
// instance, which decides when a report is written to the log to renew one. The
// time of the last command does not advance on a quiet fleet, and the wall
// clocks of two instances may differ.
#ifndef hyssoppaddle_core_TaskLeaseAges_h
#define hyssoppaddle_core_TaskLeaseAges_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>

namespace hyssoppaddle::state {
struct JobRecord;
struct TaskRecord;
} // namespace hyssoppaddle::state

namespace hyssoppaddle::core {

class TaskLeaseAges
{
public:
  // Records the lease of the job's task, null for a job that was removed, after
  // a command has been applied.
  void Update(const JobId& aJob, const state::JobRecord* aRecord, Time aNow);

  // True when half of the lease has passed since it was recorded here. By the
  // wall clock too, since a log that is replayed after a restart looks new.
  [[nodiscard]] bool IsRenewalDue(const JobId& aJob,
                                  const state::TaskRecord& aTask,
                                  Time aNow,
                                  WallTime aWallNow) const;

private:
  struct LoggedLease
  {
    WallTime leaseEnd;
    Time loggedAt{};
  };

  std::map<JobId, LoggedLease> leases;
};

} // namespace hyssoppaddle::core

#endif
