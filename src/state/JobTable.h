// Stores jobs and their tasks, with indexes by pool, instance, team and end
// time.
#ifndef hyssoppaddle_state_JobTable_h
#define hyssoppaddle_state_JobTable_h

#include "state/BundleTable.h"
#include "state/Context.h"
#include "state/RecordMap.h"
#include "state/Records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace hyssoppaddle::state {

// An ended job is kept this long, so that a repeated submission does not run it
// again.
inline constexpr Duration kEndedJobRetention{ std::chrono::hours(24) };
// If more idempotent jobs have ended, the oldest are dropped early.
// Non-idempotent jobs are never dropped early, because a repeated submission
// would run them twice.
inline constexpr std::size_t kMaxEndedIdempotentJobs = 20000;
inline constexpr std::size_t kMaxJobs = 200000;
inline constexpr Duration kMaxTaskLease{ std::chrono::hours(1) };
inline constexpr std::size_t kMaxJobIdBytes = 256;
inline constexpr std::size_t kMaxJobPayloadBytes = 256 * 1024;

struct JobBounds
{
  std::size_t jobs = kMaxJobs;
  std::size_t endedIdempotent = kMaxEndedIdempotentJobs;
};

class JobTable
{
public:
  using WaitingSet = std::set<std::pair<WallTime, JobId>>;

  explicit JobTable(JobBounds aBounds = {});

  Outcome Submit(const SubmitJob& aCommand,
                 const BundleTable& aBundles,
                 Context& aContext);
  Outcome Cancel(const CancelJobs& aCommand, Context& aContext);
  // Checks whether the job can start this task. Does not check the instance or
  // the team's limit.
  [[nodiscard]] Outcome CheckPlace(const PlaceTask& aCommand) const;
  // CheckPlace must have accepted aCommand.
  Outcome Place(const PlaceTask& aCommand,
                const std::string& aBoot,
                Context& aContext);
  // Ends the tasks that were placed on an earlier boot of a restarted upstream.
  // Their process no longer exists, so they cannot continue, and a resent start
  // instruction must not run them a second time.
  void EndTasksOfEarlierBoots(const InstanceId& aInstance,
                              const std::string& aBoot,
                              Context& aContext);
  Outcome Stop(const StopTask& aCommand, Context& aContext);
  // aCurrentBoot is the last announced boot ID of the instance, or empty if it
  // is unknown.
  Outcome Report(const ReportTasks& aCommand,
                 const std::string& aCurrentBoot,
                 Context& aContext);
  Outcome End(const EndTask& aCommand, Context& aContext);
  Outcome EndWaiting(const EndJob& aCommand, Context& aContext);
  // Updates waiting jobs to the active bundle, which replaces aOld: moves them
  // to the new pool of their service, and ends jobs that no longer fit any
  // instance as CannotRun.
  void Reconcile(const Bundle& aOld,
                 const BundleTable& aBundles,
                 Context& aContext);
  void Expire(WallTime aNow);

  [[nodiscard]] const std::map<JobId, JobRecord>& Records() const
  {
    return this->records.Records();
  }
  [[nodiscard]] const JobRecord* Find(const JobId& aJob) const;
  [[nodiscard]] const WaitingSet& WaitingIn(const PoolId& aPool) const;
  [[nodiscard]] const std::set<JobId>& PlacedOn(
    const InstanceId& aInstance) const;
  [[nodiscard]] std::uint32_t SlotsOf(const TeamId& aTeam) const;
  void Load(std::map<JobId, JobRecord> aRecords);

private:
  using Entry = RecordMap<JobId, JobRecord>::Entry;

  [[nodiscard]] Outcome CheckSubmit(const SubmitJob& aCommand,
                                    const BundleTable& aBundles) const;
  void ApplyReport(const ReportTasks& aCommand,
                   const TaskReport& aReport,
                   bool aIsCurrentBoot,
                   Context& aContext);
  void RenewTask(Entry aEntry, const TaskReport& aReport, Context& aContext);
  // Removes the ended task. Depending on aState, the job waits again or ends.
  void FinishTask(Entry aEntry,
                  TaskState aState,
                  const std::string& aReason,
                  Context& aContext);
  // Changes the state of the job and keeps the indexes consistent.
  void SetState(Entry aEntry, JobState aState, Context& aContext);
  void AddToIndexes(Entry aEntry);
  void RemoveFromIndexes(Entry aEntry);
  void Erase(const JobId& aJob);

  JobBounds bounds;
  RecordMap<JobId, JobRecord> records;
  std::map<PoolId, WaitingSet> waiting;
  std::map<InstanceId, std::set<JobId>> onInstance;
  std::map<TeamId, std::uint32_t> slots; // slots of live tasks
  // Ended jobs by end time. Only those in endedIdempotent may be dropped early.
  WaitingSet endedIdempotent;
  WaitingSet endedOther;
};

} // namespace hyssoppaddle::state

#endif
