// The replicated state machine for jobs that consist of steps. It validates and
// records commands; the dispatcher on the leader makes the decisions.
#ifndef hyssoppaddle_work_WorkState_h
#define hyssoppaddle_work_WorkState_h

#include "base/Result.h"
#include "work/Commands.h"
#include "work/ExpiryQueue.h"
#include "work/QueueIndex.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::work {

// A boot of an upstream that is known to have ended.
struct EndedBoot
{
  std::uint64_t boot = 0;
  WallTime at{};
  bool operator==(const EndedBoot&) const = default;
};

// The last order for an instance that was sent to the owner of the instances.
struct InstanceOrder
{
  InstanceId holder;
  WallTime at{}; // wall time of the leader that sent it
  bool operator==(const InstanceOrder&) const = default;
};

// A job ID that was cancelled while no job had it.
struct Withdrawal
{
  WallTime at{}; // of the last cancel
  bool operator==(const Withdrawal&) const = default;
};

// An order that no run is started in a data centre.
struct Evacuation
{
  WallTime since{};
  std::string by; // who asked first
  bool operator==(const Evacuation&) const = default;
};

struct WorkTables
{
  WallTime now{}; // stamp of the last batch; never decreases
  Setup setup;
  std::map<JobId, Job> jobs;
  std::map<InstanceId, Upstream> upstreams;
  std::map<InstanceId, EndedBoot> endedBoots; // kept for kEndedBootRetention
  std::map<std::uint64_t, Wave> waves;
  // Keyed by instance; kept for kInstanceOrderRetention.
  std::map<std::string, InstanceOrder> instanceOrders;
  // Kept for kEndedJobRetention. Invariant: no key is in `jobs`, and there are
  // at most kMaxWithdrawals.
  std::map<JobId, Withdrawal> withdrawals;
  // The orders in force; at most kMaxEvacuations.
  std::map<DataCentreId, Evacuation> evacuations;
  bool operator==(const WorkTables&) const = default;
};

class WorkState
{
public:
  // Returns one verdict per command, in the order of the commands. Never fails:
  // a command that contradicts the state changes nothing.
  std::vector<Verdict> Apply(const Batch& aBatch);

  [[nodiscard]] const WorkTables& Tables() const { return this->tables; }
  [[nodiscard]] const Setup& CurrentSetup() const { return this->tables.setup; }
  // True when this boot or a later one is known to have ended.
  [[nodiscard]] bool HasEnded(const InstanceId& aId, std::uint64_t aBoot) const;
  [[nodiscard]] const Job* FindJob(const JobId& aId) const;
  // True while no run may be started in the data centre.
  [[nodiscard]] bool IsEvacuating(const DataCentreId& aDataCentre) const
  {
    return this->tables.evacuations.contains(aDataCentre);
  }

  void Restore(WorkTables aTables);

private:
  Verdict ApplyCommand(const SetSetup& aCommand);
  Verdict ApplyCommand(const SubmitJob& aCommand);
  Verdict ApplyCommand(const CancelJob& aCommand);
  Verdict ApplyCommand(const StartRun& aCommand);
  Verdict ApplyCommand(const EndRun& aCommand);
  Verdict ApplyCommand(const SetUpstream& aCommand);
  Verdict ApplyCommand(const RemoveUpstream& aCommand);
  Verdict ApplyCommand(const StartWave& aCommand);
  Verdict ApplyCommand(const AdvanceWave& aCommand);
  Verdict ApplyCommand(const OrderInstance& aCommand);
  Verdict ApplyCommand(const SetEvacuation& aCommand);

  // Updates the name and the address of the job's queue from the current setup.
  // They stay as they are when it has no such queue.
  void BindToQueue(Job& aJob);
  void BindUnfinishedJobs();
  // True when the task may not be started again. Unknown, and therefore false,
  // while the current setup does not have the job's queue.
  [[nodiscard]] bool HasUsedItsAttempts(const Job& aJob,
                                        const Step& aStep,
                                        const Task& aTask);
  // True when a task that waits has used its attempts.
  [[nodiscard]] bool WaitsWithoutAttempts(const Job& aJob);
  // Fails the jobs whose waiting tasks have used their attempts: the setup now
  // has their queue again, or allows fewer attempts.
  void FailJobsWithoutAttempts();
  Verdict Withdraw(const JobId& aId);
  void FinishJob(const JobId& aId, Job& aJob, JobState aState);
  void CompleteGang(Job& aJob, const TaskRef& aTask, std::uint32_t aRun);
  void ReleaseTasksIfEnded(const JobId& aId, Job& aJob);
  void EraseExpired();

  WorkTables tables;
  QueueIndex queues; // of the current setup
  // Derived from the tables. An entry that was replaced later has two items
  // here; the older one is ignored when it is taken.
  ExpiryQueue<JobId> endedJobs; // without tasks, by the time of their end
  ExpiryQueue<InstanceId> endedBootTimes;
  ExpiryQueue<std::string> instanceOrderTimes;
  ExpiryQueue<JobId> withdrawalTimes; // one item for each withdrawal
};

// How long the state of an ended job can be queried, and how long the cancel of
// an unknown job holds for a submission that arrives after it.
inline constexpr Duration kEndedJobRetention = std::chrono::seconds(150);

// Limits the memory that cancels of unknown jobs take. Further ones are
// refused, because forgetting an earlier one would let its job run.
inline constexpr std::size_t kMaxWithdrawals = 65536;

// Limits the memory that orders for data centres of any name take.
inline constexpr std::size_t kMaxEvacuations = 1024;

// How long a delayed announcement of an ended boot is recognised. This is far
// longer than a process can be suspended or partitioned while it holds an
// announcement.
inline constexpr Duration kEndedBootRetention = std::chrono::seconds(600);

// How long the last order for an instance is kept. This is far longer than the
// lease of the leader that sent it plus any clock difference.
inline constexpr Duration kInstanceOrderRetention = std::chrono::seconds(60);

std::string
EncodeBatch(const Batch& aBatch);
Result<Batch>
DecodeBatch(std::string_view aBytes);
std::string
EncodeTables(const WorkTables& aTables);
// Also reads tables that were written before the last fields existed.
Result<WorkTables>
DecodeTables(std::string_view aBytes);

} // namespace hyssoppaddle::work

#endif
