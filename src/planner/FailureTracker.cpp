// Ejects workers that fail tasks of several jobs, and readmits them after a
// successful probe task.
#include "planner/FailureTracker.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

constexpr std::uint32_t kMinFailuresToEject = 3;
constexpr std::size_t kMinJobsToEject = 2;
constexpr Duration kInitialProbeDelay{ std::chrono::seconds(10) };
constexpr Duration kMaxProbeDelay{ std::chrono::seconds(600) };
// Failures are dropped when no further one follows within this time.
constexpr Duration kFailureRetention{ std::chrono::seconds(600) };

} // namespace

void
FailureTracker::Clear()
{
  this->records.clear();
  this->failedOn.clear();
}

bool
FailureTracker::MeetsEjectionThreshold(const WorkerRecord& aWorker)
{
  std::uint32_t sum = 0;
  for (const auto& [job, count] : aWorker.failures) {
    sum += count;
  }
  return sum >= kMinFailuresToEject &&
         aWorker.failures.size() >= kMinJobsToEject;
}

void
FailureTracker::Eject(WorkerRecord& aWorker, Time aNow)
{
  aWorker.ejected = true;
  aWorker.probing = false;
  aWorker.probeDelay = aWorker.probeDelay.count() == 0
                         ? kInitialProbeDelay
                         : std::min(aWorker.probeDelay * 2, kMaxProbeDelay);
  aWorker.probeAt = aNow + aWorker.probeDelay;
}

bool
FailureTracker::TaskFailed(const InstanceId& aInstance,
                           const JobId& aJob,
                           bool aFailedElsewhere,
                           Time aNow)
{
  WorkerRecord& record = this->records[aInstance];
  if (aNow - record.lastFailure > kFailureRetention && !record.ejected) {
    record.failures.clear();
  }
  record.lastFailure = aNow;
  std::set<InstanceId>& failedInstances = this->failedOn[aJob];
  failedInstances.insert(aInstance);
  if (aFailedElsewhere || failedInstances.size() > 1) {
    this->DiscardFailuresOf(aJob);
  } else {
    ++record.failures[aJob];
  }
  if (record.ejected) {
    if (record.probing) {
      this->Eject(record, aNow);
    }
    return false;
  }
  if (!MeetsEjectionThreshold(record)) {
    return false;
  }
  this->Eject(record, aNow);
  return true;
}

// The job failed on several instances, so its failures say nothing about any of
// them. An instance that was ejected because of them is readmitted unless it
// has failed a probe or is being probed.
void
FailureTracker::DiscardFailuresOf(const JobId& aJob)
{
  for (const InstanceId& instance : this->failedOn[aJob]) {
    const auto found = this->records.find(instance);
    if (found == this->records.end()) {
      continue;
    }
    WorkerRecord& record = found->second;
    record.failures.erase(aJob);
    if (record.ejected && !record.probing && !MeetsEjectionThreshold(record) &&
        record.probeDelay == kInitialProbeDelay) {
      record.ejected = false;
      record.probeDelay = Duration(0);
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
  if (found == this->records.end() || !found->second.ejected) {
    return WorkerTrust::Trusted;
  }
  if (found->second.probing) {
    return WorkerTrust::Probing;
  }
  return aNow >= found->second.probeAt ? WorkerTrust::ProbeDue
                                       : WorkerTrust::Ejected;
}

std::optional<Time>
FailureTracker::ProbeAt(const InstanceId& aInstance) const
{
  const auto found = this->records.find(aInstance);
  if (found == this->records.end() || !found->second.ejected) {
    return std::nullopt;
  }
  return found->second.probeAt;
}

} // namespace hyssoppaddle::planner
