// Evidence against workers, and their readmission by a probe.
#include "planner/FailureTracker.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

constexpr std::uint32_t kFailuresToTakeOut = 3;
constexpr std::size_t kJobsToTakeOut = 2;
constexpr Duration kFirstProbe{ 10000000 };
constexpr Duration kLongestProbe{ 600000000 };
// Evidence older than this is dropped.
constexpr Duration kEvidenceLife{ 600000000 };

} // namespace

void
FailureTracker::Clear()
{
  this->records.clear();
  this->failedOn.clear();
}

bool
FailureTracker::Convincing(const Record& aRecord)
{
  std::uint32_t sum = 0;
  for (const auto& [job, count] : aRecord.failures) {
    sum += count;
  }
  return sum >= kFailuresToTakeOut && aRecord.failures.size() >= kJobsToTakeOut;
}

void
FailureTracker::TakeOut(Record& aRecord, Time aNow)
{
  aRecord.takenOut = true;
  aRecord.probing = false;
  aRecord.delay = aRecord.delay.count() == 0
                    ? kFirstProbe
                    : std::min(aRecord.delay * 2, kLongestProbe);
  aRecord.probeAt = aNow + aRecord.delay;
}

bool
FailureTracker::TaskFailed(const InstanceId& aInstance,
                           const JobId& aJob,
                           bool aFailedElsewhere,
                           Time aNow)
{
  Record& record = this->records[aInstance];
  if (aNow - record.lastFailure > kEvidenceLife && !record.takenOut) {
    record.failures.clear();
  }
  record.lastFailure = aNow;
  std::set<InstanceId>& places = this->failedOn[aJob];
  places.insert(aInstance);
  if (aFailedElsewhere || places.size() > 1) {
    this->Exonerate(aJob);
  } else {
    ++record.failures[aJob];
  }
  if (record.takenOut) {
    if (record.probing) {
      this->TakeOut(record, aNow);
    }
    return false;
  }
  if (!Convincing(record)) {
    return false;
  }
  this->TakeOut(record, aNow);
  return true;
}

// The job failed on several instances, so it proves nothing about any of them.
void
FailureTracker::Exonerate(const JobId& aJob)
{
  for (const InstanceId& instance : this->failedOn[aJob]) {
    const auto found = this->records.find(instance);
    if (found == this->records.end()) {
      continue;
    }
    Record& record = found->second;
    record.failures.erase(aJob);
    if (record.takenOut && !record.probing && !Convincing(record) &&
        record.delay == kFirstProbe) {
      record.takenOut = false;
      record.delay = Duration(0);
    }
  }
}

void
FailureTracker::TaskSucceeded(const InstanceId& aInstance)
{
  this->records.erase(aInstance);
}

void
FailureTracker::ProbeStarted(const InstanceId& aInstance)
{
  this->records[aInstance].probing = true;
}

void
FailureTracker::ProbeEnded(const InstanceId& aInstance, Time aNow)
{
  const auto found = this->records.find(aInstance);
  if (found != this->records.end() && found->second.probing) {
    found->second.probing = false;
    found->second.probeAt = aNow;
  }
}

void
FailureTracker::ForgetJob(const JobId& aJob)
{
  this->failedOn.erase(aJob);
}

void
FailureTracker::ForgetInstance(const InstanceId& aInstance)
{
  this->records.erase(aInstance);
}

WorkerTrust
FailureTracker::TrustOf(const InstanceId& aInstance, Time aNow) const
{
  const auto found = this->records.find(aInstance);
  if (found == this->records.end() || !found->second.takenOut) {
    return WorkerTrust::Trusted;
  }
  if (found->second.probing) {
    return WorkerTrust::Probing;
  }
  return aNow >= found->second.probeAt ? WorkerTrust::ProbeDue
                                       : WorkerTrust::TakenOut;
}

std::optional<Time>
FailureTracker::ProbeAt(const InstanceId& aInstance) const
{
  const auto found = this->records.find(aInstance);
  if (found == this->records.end() || !found->second.takenOut) {
    return std::nullopt;
  }
  return found->second.probeAt;
}

} // namespace hyssoppaddle::planner
