// Tells failing workers from failing jobs by who failed with whom.
// Section 13 of docs/design.md gives the figures.
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
  TakenOut, // gets no work until the probe time
  ProbeDue, // gets one task to prove itself
  Probing,  // that task is running
};

class FailureTracker
{
public:
  void Clear();

  // aFailedElsewhere: the job also failed on another instance.
  // Returns true when the instance is taken out by this failure.
  bool TaskFailed(const InstanceId& aInstance,
                  const JobId& aJob,
                  bool aFailedElsewhere,
                  Time aNow);
  void TaskSucceeded(const InstanceId& aInstance);
  // A probe ended without a verdict.
  void ProbeEnded(const InstanceId& aInstance, Time aNow);
  void ProbeStarted(const InstanceId& aInstance);
  // The job ended; it can no longer be compared.
  void ForgetJob(const JobId& aJob);
  // A new boot starts with a clean record.
  void ForgetInstance(const InstanceId& aInstance);

  [[nodiscard]] WorkerTrust TrustOf(const InstanceId& aInstance,
                                    Time aNow) const;
  [[nodiscard]] std::optional<Time> ProbeAt(const InstanceId& aInstance) const;

private:
  struct Record
  {
    std::map<JobId, std::uint32_t> failures; // of jobs that failed only here
    bool takenOut = false;
    bool probing = false;
    Time probeAt{};
    Duration delay{ 0 };
    Time lastFailure{};
  };

  void TakeOut(Record& aRecord, Time aNow);
  void Exonerate(const JobId& aJob);
  [[nodiscard]] static bool Convincing(const Record& aRecord);

  std::map<InstanceId, Record> records;
  std::map<JobId, std::set<InstanceId>> failedOn;
};

} // namespace hyssoppaddle::planner

#endif
