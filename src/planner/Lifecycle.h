// State machine of a planned stop of an instance: drain, stop, move, reboot,
// soak, return to service. Other units decide which instances are stopped.
#ifndef hyssoppaddle_planner_Lifecycle_h
#define hyssoppaddle_planner_Lifecycle_h

#include "planner/Budget.h"
#include "planner/Context.h"
#include "planner/InstructionOutbox.h"
#include "planner/JobTracker.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::planner {

class Lifecycle
{
public:
  Lifecycle(JobTracker& aJobs, InstructionOutbox& aOutbox, Budget& aBudget);

  void Clear();
  void OnInstance(Context& aContext, const InstanceId& aInstance);
  void OnRefused(Context& aContext, const InstanceId& aInstance);
  // Advances a bounded number of instances.
  void OnTick(Context& aContext);
  // Sets the pool to which the instance moves after its drain.
  void SetTarget(const InstanceId& aInstance, const PoolId& aPool);
  [[nodiscard]] std::optional<PoolId> TargetOf(
    const InstanceId& aInstance) const;
  [[nodiscard]] std::vector<std::string> Explain(
    const Context& aContext,
    const InstanceId& aInstance) const;

private:
  // Progress of one planned stop as observed by this leader.
  struct Progress
  {
    state::InstancePhase phase = state::InstancePhase::Serving;
    state::StopPurpose purpose = state::StopPurpose::None;
    Time phaseSince{};
    std::optional<Time> departedAt;
    Time notBefore{}; // earliest time of the next proposal
    bool checkpointsRequested = false;
  };

  using PhaseHandler = void (Lifecycle::*)(Context&,
                                           const InstanceId&,
                                           const state::InstanceRecord&,
                                           Progress&);

  void Advance(Context& aContext, const InstanceId& aInstance);
  void TrackPhase(Context& aContext,
                  const InstanceId& aInstance,
                  const state::InstanceRecord& aRecord,
                  Progress& aProgress);
  void OnExpected(Context&,
                  const InstanceId&,
                  const state::InstanceRecord&,
                  Progress&);
  void OnServing(Context&,
                 const InstanceId&,
                 const state::InstanceRecord&,
                 Progress&);
  void OnDraining(Context&,
                  const InstanceId&,
                  const state::InstanceRecord&,
                  Progress&);
  void OnStopped(Context&,
                 const InstanceId&,
                 const state::InstanceRecord&,
                 Progress&);
  void OnRebooting(Context&,
                   const InstanceId&,
                   const state::InstanceRecord&,
                   Progress&);
  void OnSoaking(Context&,
                 const InstanceId&,
                 const state::InstanceRecord&,
                 Progress&);
  void OnMoving(Context&,
                const InstanceId&,
                const state::InstanceRecord&,
                Progress&);
  void OnLost(Context&,
              const InstanceId&,
              const state::InstanceRecord&,
              Progress&);
  void ProposePhase(Context& aContext,
                    const InstanceId& aInstance,
                    const state::InstanceRecord& aRecord,
                    Progress& aProgress,
                    state::InstancePhase aTo,
                    state::StopPurpose aPurpose,
                    const std::string& aReason);
  void RequestCheckpoints(Context& aContext,
                          const InstanceId& aInstance,
                          Progress& aProgress);
  [[nodiscard]] Duration MaxRequestDuration(const Context& aContext,
                                            const PoolId& aPool) const;
  [[nodiscard]] bool IsDrained(const Context& aContext,
                               const InstanceId& aInstance,
                               const state::InstanceRecord& aRecord,
                               const Progress& aProgress) const;

  JobTracker& jobs;
  InstructionOutbox& outbox;
  Budget& budget;
  std::map<InstanceId, Progress> progress; // instances in a planned stop
  std::map<InstanceId, PoolId> targets;
  InstanceId cursor;
};

} // namespace hyssoppaddle::planner

#endif
