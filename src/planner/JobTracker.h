// Tracks every job and updates the data derived from it: the placement queue,
// instance loads, share charges, failure records, learned sizes, task leases
// and pending instructions.
#ifndef hyssoppaddle_planner_JobTracker_h
#define hyssoppaddle_planner_JobTracker_h

#include "planner/Context.h"
#include "planner/FailureTracker.h"
#include "planner/InstanceLoads.h"
#include "planner/InstructionOutbox.h"
#include "planner/LearnedSizes.h"
#include "planner/PlacementQueue.h"
#include "planner/Reservations.h"
#include "planner/ShareLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace hyssoppaddle::planner {

// The live task of a job, as last seen in the replicated state.
struct LiveTask
{
  InstanceId instance;
  std::uint64_t epoch = 0;
  TeamId team;
  ServiceId service;
  PoolId pool;
  std::uint32_t slots = 0;
  state::Resources declared;
  state::Resources charged;     // size at start, by the replicated state
  state::Resources reserved;    // on the instance: max of charged and usage
  state::Resources shareCharge; // charged to the share
  state::Resources peakUsage;   // highest usage reported
  WallTime leaseEnd;
  Time startedAt{};
  Time shareChargeSince{}; // last change of shareCharge
  Time expiresAt{};        // end of lease and margin by the monotonic clock
  bool started = false;
};

class JobTracker
{
public:
  JobTracker(InstanceLoads& aLoads,
             ShareLedger& aLedger,
             Reservations& aReservations,
             InstructionOutbox& aOutbox);

  void Reset();
  void OnJobChanged(Context& aContext, const JobId& aJob);
  void OnUsage(Context& aContext, const UsageReported& aReport);
  // Call after proposing a placement: its slots and size are reserved
  // immediately.
  void OnProposed(Context& aContext,
                  const JobId& aJob,
                  const state::JobRecord& aRecord,
                  const state::PlaceTask& aPlacement);
  void OnPlacementRefused(Context& aContext,
                          const state::PlaceTask& aPlacement);
  // Removes the job from the queue until it changes or 5 s have passed.
  void Defer(Context& aContext, const JobId& aJob);
  // Ends tasks whose lease and margin have passed, drops proposals that were
  // lost and queues refused jobs again.
  void OnTick(Context& aContext);

  [[nodiscard]] const PlacementQueue& Queue() const { return this->queue; }
  [[nodiscard]] FailureTracker& Failures() { return this->failures; }
  [[nodiscard]] const FailureTracker& Failures() const
  {
    return this->failures;
  }
  [[nodiscard]] const LearnedSizes& Sizes() const { return this->sizes; }
  // True when a placement on the instance is proposed and not yet in the log.
  [[nodiscard]] bool HasProposalOn(const InstanceId& aInstance) const;
  [[nodiscard]] const LiveTask* Find(const JobId& aJob) const;
  [[nodiscard]] const std::map<JobId, LiveTask>& LiveTasks() const
  {
    return this->live;
  }
  // Number of slots that the live tasks of the team use.
  [[nodiscard]] std::uint32_t LiveSlots(const TeamId& aTeam) const;
  // Live tasks of the team, oldest first.
  [[nodiscard]] const std::set<std::pair<Time, JobId>>& TasksOf(
    const TeamId& aTeam) const;
  // Pools in which capacity became free or jobs were added since the last call.
  [[nodiscard]] std::set<PoolId> TakeDirtyPools();
  void MarkDirty(const PoolId& aPool) { this->dirtyPools.insert(aPool); }

private:
  struct Proposal
  {
    InstanceId instance;
    std::uint64_t epoch = 0;
    TeamId team;
    std::uint32_t slots = 0;
    state::Resources size;        // reserved on the instance
    state::Resources shareCharge; // charged to the share
    Time timeoutAt{};
  };

  void AddTask(Context& aContext,
               const JobId& aJob,
               const state::JobRecord& aRecord);
  void UpdateTask(Context& aContext,
                  const JobId& aJob,
                  const state::JobRecord& aRecord);
  void RemoveTask(Context& aContext,
                  const JobId& aJob,
                  const state::JobRecord* aRecord);
  void RecordOutcome(Context& aContext,
                     const JobId& aJob,
                     const LiveTask& aTask,
                     const state::JobRecord& aRecord);
  void Enqueue(Context& aContext,
               const JobId& aJob,
               const state::JobRecord& aRecord);
  void DropProposal(const JobId& aJob);
  void RenewLease(Context& aContext, const JobId& aJob, LiveTask& aTask);
  void ApplyUsage(LiveTask& aTask, const state::Resources& aUsage, Time aNow);
  void UpdateInstruction(Context& aContext,
                         const JobId& aJob,
                         const state::JobRecord& aRecord);
  void ExpireLeases(Context& aContext);

  InstanceLoads& loads;
  ShareLedger& ledger;
  Reservations& reservations;
  InstructionOutbox& outbox;
  PlacementQueue queue;
  FailureTracker failures;
  LearnedSizes sizes;
  std::map<JobId, LiveTask> live;
  std::map<JobId, Proposal> proposals;
  std::map<InstanceId, std::uint32_t> proposalsByInstance;
  std::map<TeamId, std::set<std::pair<Time, JobId>>> tasksByTeam;
  std::map<TeamId, std::uint32_t> liveSlots;
  std::set<std::pair<Time, JobId>> leaseExpiries;
  std::set<std::pair<Time, JobId>> deferred; // jobs to queue again, by time
  std::set<std::pair<Time, JobId>> proposalTimeouts;
  std::set<PoolId> dirtyPools;
};

} // namespace hyssoppaddle::planner

#endif
