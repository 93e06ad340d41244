// A lease is new when its end has changed; other changes of a job, such as a
// requested stop, do not renew it.
#include "core/TaskLeaseAges.h"

#include "state/Records.h"

namespace hyssoppaddle::core {

void
TaskLeaseAges::Update(const JobId& aJob,
                      const state::JobRecord* aRecord,
                      Time aNow)
{
  if (aRecord == nullptr || !aRecord->task) {
    this->leases.erase(aJob);
    return;
  }
  const WallTime leaseEnd = aRecord->task->leaseEnd;
  const auto [entry, isNew] =
    this->leases.try_emplace(aJob, LoggedLease{ leaseEnd, aNow });
  if (!isNew && entry->second.leaseEnd != leaseEnd) {
    entry->second = LoggedLease{ leaseEnd, aNow };
  }
}

bool
TaskLeaseAges::IsRenewalDue(const JobId& aJob,
                            const state::TaskRecord& aTask,
                            Time aNow,
                            WallTime aWallNow) const
{
  const auto entry = this->leases.find(aJob);
  return entry == this->leases.end() ||
         entry->second.leaseEnd != aTask.leaseEnd ||
         aNow - entry->second.loggedAt > aTask.lease / 2 ||
         aTask.leaseEnd - aWallNow < aTask.lease / 2;
}

} // namespace hyssoppaddle::core
