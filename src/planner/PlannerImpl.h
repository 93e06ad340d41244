// The units of the planner and their dependencies.
#ifndef hyssoppaddle_planner_PlannerImpl_h
#define hyssoppaddle_planner_PlannerImpl_h

#include "planner/Budget.h"
#include "planner/Context.h"
#include "planner/DomainHistory.h"
#include "planner/InstanceLoads.h"
#include "planner/InstructionOutbox.h"
#include "planner/JobTracker.h"
#include "planner/Lifecycle.h"
#include "planner/Maintenance.h"
#include "planner/PermitAllocator.h"
#include "planner/Placement.h"
#include "planner/Planner.h"
#include "planner/PoolBalancer.h"
#include "planner/PoolDemand.h"
#include "planner/Repair.h"
#include "planner/Reservations.h"
#include "planner/ShareCaps.h"
#include "planner/ShareLedger.h"
#include "planner/ShareReclaimer.h"
#include "planner/Transfers.h"

namespace hyssoppaddle::planner {

struct Planner::Impl
{
  Impl(const PlannerOptions& aOptions, const state::FleetState& aState);

  void On(Context& aContext, const BecameLeader& aEvent);
  void On(Context& aContext, const LostLeadership& aEvent);
  void On(Context& aContext, const StateChanged& aEvent);
  void On(Context& aContext, const EntryRenewed& aEvent);
  void On(Context& aContext, const UsageReported& aEvent);
  void On(Context& aContext, const CommandRefused& aEvent);
  void On(Context& aContext, const Tick& aEvent);
  void Finish(Context& aContext);
  void ReadBundle(Context& aContext);
  void OnInstance(Context& aContext, const InstanceId& aInstance);
  void UpdateWaitingTaskSlots();
  void ChargeRequests();
  void ResetAll(Time aNow);

  PlannerOptions options;
  const state::FleetState& state;
  bool isLeader = false;
  Time now{};         // of the last step, for explanations
  WallTime wallNow{}; // of the last step, for explanations
  Reservations reservations;
  InstanceLoads loads;
  ShareLedger ledger;
  InstructionOutbox outbox;
  PermitAllocator permits;
  JobTracker jobs;
  Placement placement;
  DomainHistory history;
  Budget budget;
  Lifecycle lifecycle;
  PoolDemand demand;
  ShareCaps caps;
  ShareReclaimer reclaimer;
  Maintenance maintenance;
  Transfers transfers;
  PoolBalancer balancer;
  Repair repair;
};

} // namespace hyssoppaddle::planner

#endif
