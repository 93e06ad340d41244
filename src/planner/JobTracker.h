// Follows every job from change to change and keeps what derives from it: the
// placement queue, loads, share charges, failure records, learned sizes, task
// leases and owed instructions.
#ifndef hyssoppaddle_planner_JobTracker_h
#define hyssoppaddle_planner_JobTracker_h

#include "planner/Context.h"
#include "planner/FailureTracker.h"
#include "planner/InstanceLoads.h"
#include "planner/LearnedSizes.h"
#include "planner/OwedInstructions.h"
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

// The live task of a job, as last seen.
struct LiveTask
{
  InstanceId instance;
  std::uint64_t epoch = 0;
  TeamId team;
  ServiceId service;
  PoolId pool;
  std::uint32_t slots = 0;
  state::Resources declared;
  state::Resources charged;  // at start
  state::Resources reserved; // larger of charged and usage, on the instance
  state::Resources held;     // charged to the share
  state::Resources peak;     // highest usage reported
  WallTime leaseEnd;
  Time startedAt{};
  Time heldSince{}; // last change of `held`
  Time expiresAt{}; // lease and margin by this process's clock
  bool started = false;
};

class JobTracker
{
public:
  JobTracker(InstanceLoads& aLoads,
             ShareLedger& aLedger,
             Reservations& aReservations,
             OwedInstructions& aOwed);

  void Reset();
  void OnJobChanged(Context& aContext, const JobId& aJob);
  void OnUsage(Context& aContext, const UsageReported& aReport);
  // A placement was proposed: its slots and size are taken at once.
  void Proposed(Context& aContext,
                const JobId& aJob,
                const state::JobRecord& aRecord,
                const state::PlaceTask& aPlacement);
  void PlacementRefused(Context& aContext, const state::PlaceTask& aPlacement);
  // Leaves the job out of the queue until it changes or some seconds pass.
  void Defer(Context& aContext, const JobId& aJob);
  // Ends tasks whose lease and margin have passed, drops lost proposals and
  // queues refused jobs again.
  void OnTick(Context& aContext);

  [[nodiscard]] const PlacementQueue& Queue() const { return this->queue; }
  [[nodiscard]] FailureTracker& Failures() { return this->failures; }
  [[nodiscard]] const FailureTracker& Failures() const
  {
    return this->failures;
  }
  [[nodiscard]] const LearnedSizes& Sizes() const { return this->sizes; }
  // A placement on the instance awaits its entry in the log.
  [[nodiscard]] bool HasProposalOn(const InstanceId& aInstance) const;
  [[nodiscard]] const LiveTask* Find(const JobId& aJob) const;
  [[nodiscard]] const std::map<JobId, LiveTask>& Live() const
  {
    return this->live;
  }
  // Slots of the live tasks of a team.
  [[nodiscard]] std::uint32_t LiveSlots(const TeamId& aTeam) const;
  // Live tasks of a team, newest last.
  [[nodiscard]] const std::set<std::pair<Time, JobId>>& TasksOf(
    const TeamId& aTeam) const;
  // Pools in which something was freed or added since the last call.
  [[nodiscard]] std::set<PoolId> TakeDirtyPools();
  void MarkDirty(const PoolId& aPool) { this->dirtyPools.insert(aPool); }

private:
  struct Proposal
  {
    InstanceId instance;
    std::uint64_t epoch = 0;
    TeamId team;
    std::uint32_t slots = 0;
    state::Resources size; // reserved on the instance
    state::Resources held; // charged to the share
    Time until{};
  };

  void Open(Context& aContext,
            const JobId& aJob,
            const state::JobRecord& aRecord);
  void Update(Context& aContext,
              const JobId& aJob,
              const state::JobRecord& aRecord);
  void Close(Context& aContext,
             const JobId& aJob,
             const state::JobRecord* aRecord);
  void Judge(Context& aContext,
             const JobId& aJob,
             const LiveTask& aTask,
             const state::JobRecord& aRecord);
  void Enqueue(Context& aContext,
               const JobId& aJob,
               const state::JobRecord& aRecord);
  void DropProposal(const JobId& aJob);
  void Renew(Context& aContext, const JobId& aJob, LiveTask& aTask);
  void ApplyUsage(LiveTask& aTask, const state::Resources& aUsage, Time aNow);
  void OweFor(Context& aContext,
              const JobId& aJob,
              const state::JobRecord& aRecord);
  void ExpireLeases(Context& aContext);

  InstanceLoads& loads;
  ShareLedger& ledger;
  Reservations& reservations;
  OwedInstructions& owed;
  PlacementQueue queue;
  FailureTracker failures;
  LearnedSizes sizes;
  std::map<JobId, LiveTask> live;
  std::map<JobId, Proposal> proposals;
  std::map<InstanceId, std::uint32_t> proposalsOn;
  std::map<TeamId, std::set<std::pair<Time, JobId>>> byTeam;
  std::map<TeamId, std::uint32_t> liveSlots;
  std::set<std::pair<Time, JobId>> leases;
  std::set<std::pair<Time, JobId>> deferred; // refused placements
  std::set<std::pair<Time, JobId>> proposalEnds;
  std::set<PoolId> dirtyPools;
};

} // namespace hyssoppaddle::planner

#endif
