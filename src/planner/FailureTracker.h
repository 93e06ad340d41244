// Distinguishes failing workers from failing jobs by comparing which jobs
// failed on which instances. The thresholds are documented in section 13 of
// docs/design.md.
#ifndef hyssoppaddle_planner_FailureTracker_h
#define hyssoppaddle_planner_FailureTracker_h

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace hyssoppaddle::planner {

enum class WorkerTrust : std::uint8_t
{
  Trusted,
  Ejected,  // gets no tasks until the probe time
  ProbeDue, // gets one task as a probe
  Probing,  // the probe task is running
};

class FailureTracker
{
public:
  void Clear();

  // aFailedElsewhere: the job also failed on another instance. Returns true
  // when this failure ejects the instance.
  bool TaskFailed(const InstanceId& aInstance,
                  const JobId& aJob,
                  bool aFailedElsewhere,
                  Time aNow);
  void TaskSucceeded(const InstanceId& aInstance);
  // The probe task ended without showing whether the worker is sound, for
  // example because it was cancelled.
  void ProbeEnded(const InstanceId& aInstance, Time aNow);
  void ProbeStarted(const InstanceId& aInstance);
  // The job ended, so its failures on different instances can no longer be
  // compared.
  void ForgetJob(const JobId& aJob);
  // Discards all failures of an instance after a reboot.
  void ForgetInstance(const InstanceId& aInstance);

  [[nodiscard]] WorkerTrust TrustOf(const InstanceId& aInstance,
                                    Time aNow) const;
  [[nodiscard]] std::optional<Time> ProbeAt(const InstanceId& aInstance) const;

private:
  struct WorkerRecord
  {
    std::map<JobId, std::uint32_t> failures; // of jobs that failed only here
    bool ejected = false;
    bool probing = false;
    Time probeAt{};
    Duration probeDelay{ 0 };
    Time lastFailure{};
  };

  void Eject(WorkerRecord& aWorker, Time aNow);
  void DiscardFailuresOf(const JobId& aJob);
  [[nodiscard]] static bool MeetsEjectionThreshold(const WorkerRecord& aWorker);

  std::map<InstanceId, WorkerRecord> records;
  std::map<JobId, std::set<InstanceId>> failedOn;
};

} // namespace hyssoppaddle::planner

#endif
