// Owner of jobs and their tasks, and of the indexes over them.
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

// An ended job stays known this long, so that a repeated submission does not
// run it again.
inline constexpr Duration kEndedJobRetention{ 24LL * 3600 * 1000000 };
// Ended idempotent jobs beyond this number are dropped early, oldest first.
// Non-idempotent ones never are: a repeated submission would run them twice.
inline constexpr std::size_t kMaxEndedIdempotentJobs = 20000;
inline constexpr std::size_t kMaxJobs = 200000;
inline constexpr Duration kMaxTaskLease{ 3600LL * 1000000 };
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
  // Whether the job can start this task, without regard to instance and limit.
  [[nodiscard]] Outcome CheckPlace(const PlaceTask& aCommand) const;
  // aCommand has passed CheckPlace.
  Outcome Place(const PlaceTask& aCommand,
                const std::string& aBoot,
                Context& aContext);
  // Ends the tasks placed on earlier boots of an upstream that restarted: their
  // process is gone, so they cannot run on, and a resent start must not run
  // them a second time.
  void EndEarlierBoots(const InstanceId& aInstance,
                       const std::string& aBoot,
                       Context& aContext);
  Outcome Stop(const StopTask& aCommand, Context& aContext);
  // aCurrentBoot is the instance's last announced boot; empty when unknown.
  Outcome Report(const ReportTasks& aCommand,
                 const std::string& aCurrentBoot,
                 Context& aContext);
  Outcome End(const EndTask& aCommand, Context& aContext);
  Outcome EndWaiting(const EndJob& aCommand, Context& aContext);
  // Follows the new bundle, the successor of aOld: jobs wait in the new pool of
  // their service, and jobs that no shape fits any more are marked.
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
  [[nodiscard]] const std::set<JobId>& On(const InstanceId& aInstance) const;
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
  // The task has ended; the job waits again or ends, by what aState says.
  void FinishTask(Entry aEntry,
                  TaskState aState,
                  const std::string& aReason,
                  Context& aContext);
  // Every change of the state goes through here, so that the indexes agree.
  void SetState(Entry aEntry, JobState aState, Context& aContext);
  void AddToIndexes(Entry aEntry);
  void RemoveFromIndexes(Entry aEntry);
  void Erase(const JobId& aJob);

  JobBounds bounds;
  RecordMap<JobId, JobRecord> records;
  std::map<PoolId, WaitingSet> waiting;
  std::map<InstanceId, std::set<JobId>> onInstance;
  std::map<TeamId, std::uint32_t> slots; // of live tasks
  // Ended jobs by end, split by whether they may be dropped early.
  WaitingSet endedIdempotent;
  WaitingSet endedOther;
};

} // namespace hyssoppaddle::state

#endif
