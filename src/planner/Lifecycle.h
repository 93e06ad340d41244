// Leads each instance through its planned stop: drain, stop, move, reboot,
// soak, back to service. It decides nothing about who stops.
#ifndef hyssoppaddle_planner_Lifecycle_h
#define hyssoppaddle_planner_Lifecycle_h

#include "planner/Budget.h"
#include "planner/Context.h"
#include "planner/JobTracker.h"
#include "planner/OwedInstructions.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::planner {

class Lifecycle
{
public:
  Lifecycle(JobTracker& aJobs, OwedInstructions& aOwed, Budget& aBudget);

  void Clear();
  void OnInstance(Context& aContext, const InstanceId& aInstance);
  void OnRefused(Context& aContext, const InstanceId& aInstance);
  // Goes on with a bounded number of instances.
  void OnTick(Context& aContext);
  // The pool that a drained instance goes to.
  void SetTarget(const InstanceId& aInstance, const PoolId& aPool);
  [[nodiscard]] std::optional<PoolId> TargetOf(
    const InstanceId& aInstance) const;
  [[nodiscard]] std::vector<std::string> Explain(
    const Context& aContext,
    const InstanceId& aInstance) const;

private:
  // What this leader has seen of one stop.
  struct Progress
  {
    state::InstancePhase phase = state::InstancePhase::Serving;
    state::StopPurpose purpose = state::StopPurpose::None;
    Time phaseSince{};
    std::optional<Time> departedAt;
    Time notBefore{}; // next proposal
    bool checkpointsAsked = false;
  };

  using Step = void (Lifecycle::*)(Context&,
                                   const InstanceId&,
                                   const state::InstanceRecord&,
                                   Progress&);

  void Advance(Context& aContext, const InstanceId& aInstance);
  void Follow(Context& aContext,
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
  void Go(Context& aContext,
          const InstanceId& aInstance,
          const state::InstanceRecord& aRecord,
          Progress& aProgress,
          state::InstancePhase aTo,
          state::StopPurpose aPurpose,
          const std::string& aReason);
  void AskCheckpoints(Context& aContext,
                      const InstanceId& aInstance,
                      Progress& aProgress);
  [[nodiscard]] Duration RequestsEnd(const Context& aContext,
                                     const PoolId& aPool) const;
  [[nodiscard]] bool IsDrained(const Context& aContext,
                               const InstanceId& aInstance,
                               const state::InstanceRecord& aRecord,
                               const Progress& aProgress) const;

  JobTracker& jobs;
  OwedInstructions& owed;
  Budget& budget;
  std::map<InstanceId, Progress> progress; // instances on their way
  std::map<InstanceId, PoolId> targets;
  InstanceId cursor;
};

} // namespace hyssoppaddle::planner

#endif
