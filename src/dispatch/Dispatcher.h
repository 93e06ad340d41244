// Makes the leader's decisions about jobs that consist of steps: which task
// runs on which upstream, which leases are renewed, and which runs are stopped,
// given up as lost or restarted. Performs no I/O: it is given the time, answers
// and committed commands, and returns commands, instructions and decisions.
//
// At-most-once execution rests on two rules. A run is committed to the log
// before its start order is sent, so a later leader knows every place where a
// task may be executing. A run is removed only when the upstream has listed its
// end, when the upstream can no longer carry out the start, or when its lease
// is certain to have expired.
#ifndef hyssoppaddle_dispatch_Dispatcher_h
#define hyssoppaddle_dispatch_Dispatcher_h

#include "dispatch/Admission.h"
#include "dispatch/Announcement.h"
#include "dispatch/DataCentreEvacuation.h"
#include "dispatch/Decision.h"
#include "dispatch/DemandForecast.h"
#include "dispatch/FleetCapacity.h"
#include "dispatch/InstanceOwner.h"
#include "dispatch/Interference.h"
#include "dispatch/JobView.h"
#include "dispatch/Options.h"
#include "dispatch/OrderHistory.h"
#include "dispatch/PlanPass.h"
#include "dispatch/PlanRound.h"
#include "dispatch/RecentLoad.h"
#include "dispatch/RunMeter.h"
#include "dispatch/RunWatch.h"
#include "dispatch/ServicePlan.h"
#include "dispatch/StartWindow.h"
#include "dispatch/TicketCache.h"
#include "dispatch/TurnForecast.h"
#include "dispatch/WorkRank.h"
#include "work/WorkState.h"

#include <set>
#include <span>

namespace hyssoppaddle::dispatch {

struct Output
{
  std::vector<work::Command> commands; // proposed as one batch
  std::vector<Instruction> instructions;
  std::vector<Decision> decisions;
};

class Dispatcher
{
public:
  // aState must outlive this object and already include each batch passed to
  // Applied.
  Dispatcher(Options aOptions, const work::WorkState& aState);

  void BecomeLeader(std::uint64_t aTerm, Time aNow, WallTime aWall);
  void LoseLeadership();
  // Called when the process has started or its state was restored from a
  // snapshot: orders that other leaders sent before aNow are unknown.
  void OnStateRestored(Time aNow) { this->history.Reset(aNow); }
  [[nodiscard]] bool Leads() const { return this->term != 0; }

  // Handles a committed batch; aVerdicts are the results of WorkState::Apply
  // for it. Also called on followers.
  void Applied(const work::Batch& aBatch,
               std::span<const work::Verdict> aVerdicts,
               Time aNow,
               WallTime aWall);
  void Handle(const Answer& aAnswer, Time aNow, WallTime aWall);
  void Tick(Time aNow, WallTime aWall);
  // aDelay is the time for which an event that was due has waited before it was
  // handled. Limits the starts while the leader cannot keep up with its events.
  void ObserveLoopDelay(Duration aDelay, Time aNow);

  // Returns the commands that record aAnnouncement. The result is empty when
  // nothing has changed, or the announcement is outdated or must be checked
  // first. The announcement may be acknowledged once the commands are
  // committed.
  std::vector<work::Command> HandleAnnouncement(
    const Announcement& aAnnouncement,
    Time aNow);
  // Handles the announced departure of an upstream, which receives no new
  // tasks from then on. Returns the commands that record it.
  std::vector<work::Command> HandleDeparture(const InstanceId& aUpstream,
                                             Time aNow);

  // Returns no value when the job should be accepted, otherwise the time after
  // which the caller should retry.
  [[nodiscard]] std::optional<Duration> RetryAfter(const work::Queue& aQueue,
                                                   const work::JobSpec& aSpec);

  // How often RetryAfter has measured a load, which looks at all upstreams and
  // jobs.
  [[nodiscard]] std::uint64_t LoadMeasurements() const
  {
    return this->loadMeasurements;
  }

  // Comparisons of a waiting task with another one or with an upstream that
  // placement has made. Their number, unlike a time, is the same in each run.
  [[nodiscard]] std::uint64_t PlanSteps() const { return this->planSteps; }

  // What is left of the evacuations of data centres.
  [[nodiscard]] std::vector<EvacuationProgress> Evacuations(Time aNow) const
  {
    return MeasureEvacuations(this->state, this->sessions, aNow);
  }

  // Number of accepted jobs of the queue that have not started any task.
  [[nodiscard]] std::uint64_t CountQueuedJobs(const work::Queue& aQueue) const;

  // Number of jobs with a step that the whole fleet or the limit of their
  // workspace could not hold.
  [[nodiscard]] std::size_t CountImpossibleJobs() const;

  // Places waiting tasks and returns all output since the last call. Called
  // once after a group of events, so that these share one pass over the tasks.
  [[nodiscard]] Output TakeOutput();
  // True when the last pass has ended before it had looked at all waiting
  // tasks. TakeOutput is then called again after other events have been
  // handled.
  [[nodiscard]] bool HasUnfinishedPlans() const
  {
    return this->Leads() && !this->isHeldBack &&
           (!this->unfinishedPlans.empty() || !this->dirtyServices.empty());
  }
  [[nodiscard]] const Sessions& Upstreams() const { return this->sessions; }

private:
  // Dispatcher.cpp: committed commands.
  void On(const work::SetSetup& aCommand, work::Verdict aVerdict);
  void On(const work::SubmitJob& aCommand, work::Verdict aVerdict);
  void On(const work::CancelJob& aCommand, work::Verdict aVerdict);
  void On(const work::StartRun& aCommand, work::Verdict aVerdict);
  void On(const work::EndRun& aCommand, work::Verdict aVerdict);
  void On(const work::SetUpstream& aCommand, work::Verdict aVerdict);
  void On(const work::RemoveUpstream& aCommand, work::Verdict aVerdict);
  void On(const work::StartWave& aCommand, work::Verdict aVerdict);
  void On(const work::AdvanceWave& aCommand, work::Verdict aVerdict);
  void On(const work::OrderInstance& aCommand, work::Verdict aVerdict);
  void On(const work::SetEvacuation& aCommand, work::Verdict aVerdict);
  void AdoptRuns();
  void HandleRunEnd(const work::EndRun& aCommand, const LiveRun& aRun);
  void ReplaceBoot(const InstanceId& aId,
                   UpstreamSession& aSession,
                   const work::Upstream& aNext);

  // DispatcherViews.cpp: views of jobs.
  void RefreshView(const JobId& aJob);
  void LeaveOutProposedStarts(JobView& aView) const;
  void RefreshAllViews();

  // DispatcherRuns.cpp: the life cycle of one run.
  void SendStart(UpstreamSession& aSession, const RunKey& aKey);
  void RequestStop(UpstreamSession& aSession,
                   const RunKey& aKey,
                   std::string_view aReason);
  void SendStop(UpstreamSession& aSession, const RunKey& aKey);
  void StopAllRuns(const JobId& aJob, std::string_view aReason);
  void ProposeEnd(const InstanceId& aUpstream,
                  const RunKey& aKey,
                  work::EndKind aKind,
                  EndEvidence aEvidence,
                  std::string aCheckpoint = {});
  void On(const OrderAnswer& aAnswer);
  void OnStartAnswer(UpstreamSession& aSession,
                     const RunKey& aKey,
                     const OrderAnswer& aAnswer);
  void OnStopAnswer(UpstreamSession& aSession,
                    const RunKey& aKey,
                    const OrderAnswer& aAnswer);
  void StopGang(const work::TaskRef& aTask);
  void QuarantineIfFailing(const InstanceId& aId, UpstreamSession& aSession);
  // A task that may run twice is done: its other run ends.
  void StopOtherRuns(const work::TaskRef& aTask, const LiveRun& aDone);
  // Looks for runs that may end too late where they are.
  void ReviewRuns();
  // Logs which kinds of tasks have been found to slow each other down.
  void ReviewInterference();
  void AddSecondRuns(JobView& aView) const;

  // DispatcherSessions.cpp: leases and the task lists of upstreams.
  void On(const LeaseAnswer& aAnswer);
  void MergeTaskLists(const InstanceId& aId,
                      UpstreamSession& aSession,
                      const LeaseAnswer& aAnswer,
                      Time aAsked);
  void MergeRunning(const InstanceId& aId,
                    UpstreamSession& aSession,
                    const LeaseAnswer& aAnswer,
                    std::set<RunKey>& aListed);
  void MergeEnded(const InstanceId& aId,
                  UpstreamSession& aSession,
                  const LeaseAnswer& aAnswer,
                  std::set<RunKey>& aListed);
  void EndAbsentRuns(const InstanceId& aId,
                     UpstreamSession& aSession,
                     const std::set<RunKey>& aListed,
                     Time aAsked);
  // Something tells of another boot under the ID, which no answer has confirmed
  // yet. Asks the upstream at once.
  void SuspectOtherBoot(const InstanceId& aId,
                        UpstreamSession& aSession,
                        std::string_view aSign);
  void OnNewBoot(const InstanceId& aId,
                 UpstreamSession& aSession,
                 std::uint64_t aBoot);
  void Renew(const InstanceId& aId, UpstreamSession& aSession);
  // When a run is certain to have ended if its upstream stays silent.
  [[nodiscard]] static Time CertainEndOf(const UpstreamSession& aSession,
                                         const LiveRun& aRun);
  void EndLostRuns(const InstanceId& aId, UpstreamSession& aSession);
  void SendDueStops(UpstreamSession& aSession);
  void RemoveIfSilent(const InstanceId& aId, const UpstreamSession& aSession);
  void AppendRunEnds(const InstanceId& aId,
                     EndEvidence aEvidence,
                     std::vector<work::Command>& aCommands);

  // DispatcherAnnouncements.cpp: announcements and departures of upstreams.
  [[nodiscard]] bool ContradictsRecord(const Announcement& aAnnouncement) const;
  // Notes until when the upstream runs tasks slowly.
  void RecordCold(const Announcement& aAnnouncement, UpstreamSession& aSession);
  void CheckAnnouncement(const Announcement& aAnnouncement);
  void OnAnnouncementChecked(const LeaseAnswer& aAnswer);
  void RecordConfirmed(const Announcement& aAnnouncement);
  work::RemoveUpstream RemoveDeparted(const InstanceId& aId,
                                      const UpstreamSession& aSession);
  void ClearDepartureIfAlive(UpstreamSession& aSession, Time aAsked);

  // DispatcherPlan.cpp: choice of the jobs that are served next.
  void Plan();
  void PlanService(ServicePlan& aPlan, WorkRank::Outlook aWorst);
  void BeginPlan(ServicePlan& aPlan);
  void EndPlan(ServicePlan& aPlan);
  // True when the step waits because the leader has as many starts underway as
  // it can carry out. Long-running tasks are few, and each should run at all
  // times.
  [[nodiscard]] bool IsHeldBack(const work::Step& aStep) const
  {
    return this->startsLeft == 0 && !aStep.longRunning;
  }
  // The waiting jobs of a service that the round has not looked at.
  [[nodiscard]] std::vector<RankedJob> RankJobs(const ServiceId& aService,
                                                const PlanRound& aRound);
  // True when the pass has made as many comparisons as it may.
  [[nodiscard]] bool IsPassSpent() const
  {
    return this->planSteps >= this->planEnd;
  }
  // The usable upstreams of a service. Marks the others as left out.
  [[nodiscard]] std::vector<Candidate> TakeCandidates(
    const ServiceId& aService);
  // Marks the service of an upstream that has become usable since it was left
  // out of a plan. No event tells when a delay has passed.
  void PlanAgainIfUsable(UpstreamSession& aSession);
  // The waiting tasks of a job that would start if tasks that end by themselves
  // left them room. Others can wait for any time, so they hold back no job.
  [[nodiscard]] std::size_t CountWaitingForRoom(const PlanPass& aPass,
                                                const JobView& aView);
  // Marks the services whose last round was cut short some time ago.
  void CompleteSettledPlans();
  [[nodiscard]] bool NeedsTicket(const JobView& aView) const;
  // False when the limit of the workspace leaves no room for aCount tasks of
  // the step. The service is then planned again when a run of the workspace
  // ends.
  [[nodiscard]] bool CheckLimit(const JobView& aView,
                                const work::Step& aStep,
                                std::uint32_t aCount);
  void LogPlacement(const JobView& aView,
                    const work::TaskRef& aFirst,
                    std::size_t aPlaced,
                    const WorkRank& aRank,
                    std::size_t aAhead);
  // Number of tasks, at most aMost, that the limit of the workspace allows
  // beside its runs and aBeside.
  [[nodiscard]] std::uint32_t CountAllowed(const WorkspaceId& aWorkspace,
                                           const state::Resources& aBeside,
                                           const state::Resources& aSize,
                                           std::uint32_t aMost) const;
  [[nodiscard]] bool IsWithinLimit(const WorkspaceId& aWorkspace,
                                   const state::Resources& aSize) const;
  [[nodiscard]] double ShareOf(const WorkspaceId& aWorkspace) const;

  // DispatcherPlace.cpp: upstreams for the tasks of a job.
  // False when the pass has ended before all steps of the job were looked at.
  bool PlaceJob(PlanPass& aPass,
                PlanRound& aRound,
                const RankedJob& aJob,
                std::size_t aAhead);
  std::uint32_t PlaceTasks(PlanPass& aPass,
                           const JobView& aView,
                           const WaitingStep& aStep);
  std::uint32_t PlaceGang(PlanPass& aPass,
                          const JobView& aView,
                          const WaitingStep& aStep);
  [[nodiscard]] bool HasRoomFor(const PlanPass& aPass,
                                const PlacementQuery& aQuery,
                                std::uint32_t aCount);
  const Candidate* ChooseNext(const PlanPass& aPass,
                              const PlacementQuery& aQuery,
                              const Candidate*& aLast);
  void ProposeStart(const Candidate& aUpstream,
                    const work::TaskRef& aTask,
                    std::uint32_t aNumber);
  [[nodiscard]] PlacementQuery QueryOf(const JobView& aView,
                                       const work::TaskRef& aTask) const;
  [[nodiscard]] std::string RackOf(const PlanPass& aPass,
                                   const work::Job& aJob,
                                   const WaitingStep& aStep) const;

  // DispatcherImpossible.cpp: steps that the fleet or a limit cannot hold.
  [[nodiscard]] const FleetCapacity& FleetCapacityFor(
    const ServiceId& aService);
  // aQueue may be null.
  [[nodiscard]] ImpossibleSteps FindImpossibleSteps(const work::Job& aJob,
                                                    const work::Queue* aQueue);
  // Finds the impossible steps of a job that has a view anew. Returns true, and
  // tells its owner, when they have changed.
  bool JudgeSteps(const JobId& aJob);
  void LogImpossibleSteps(const JobView& aView, const work::Job& aJob);
  // Looks again at the jobs some time after a change of the fleet.
  void ReviewImpossibleSteps();

  // DispatcherUpstreams.cpp: evacuation of data centres.
  void EvacuateDataCentres();
  void LogEvacuations();
  // Moves empty instances of these data centres to the standby pool.
  void ReleaseIdleInstances();
  [[nodiscard]] bool IsInEvacuation(const std::string& aInstance) const;
  [[nodiscard]] const work::Service* StandbyPool() const;

  // DispatcherLoads.cpp: loads of the services, and rejection of jobs.
  [[nodiscard]] ServiceLoad LoadOf(const ServiceId& aService) const;
  [[nodiscard]] RecentLoad& RecentLoadOf(const ServiceId& aService);
  void LogServiceLoads();
  void LogRunLoad();
  void LogWaitingTask(const ServiceId& aService);

  // DispatcherDrainAndPace.cpp: tasks on draining upstreams, and best-effort
  // tasks that slow down serving tasks.
  void StopTasksOnDraining(UpstreamSession& aSession);
  void PaceBestEffort(const InstanceId& aId, UpstreamSession& aSession);

  // DispatcherWaves.cpp: maintenance waves. DispatcherAdvice.cpp: tickets.
  void On(const InstanceList& aAnswer);
  void On(const InstanceAnswer& aAnswer);
  void On(const AdviceAnswer& aAnswer);
  void RunWaves();
  void RunWave(std::uint64_t aNumber, const work::Wave& aWave);
  [[nodiscard]] Duration EvacuationTimeLimit(const work::Wave& aWave) const;
  bool HasReturned(const std::string& aInstance, bool aPresent);
  [[nodiscard]] bool IsOrdered(const std::string& aInstance) const;
  void OrderMaintenance(std::uint64_t aWave, const std::string& aInstance);
  [[nodiscard]] std::uint32_t RequiredAway(const work::Wave& aWave) const;
  bool MaintainMissing(std::uint64_t aWave, const std::string& aInstance);

  // DispatcherInstances.cpp: orders to the owner of the instances.
  void AskForInstances();
  void BalancePools();
  void ObserveTurns(std::span<const PoolLoad> aPools);
  void OrderMove(const PoolMove& aMove);
  void ProposeOrder(InstanceOwner::OpenOrder aOrder);
  [[nodiscard]] bool MayOrder(const std::string& aInstance) const;
  [[nodiscard]] bool IsFree(const std::string& aInstance) const;
  [[nodiscard]] bool IsUp(const InstanceRow& aRow) const;
  [[nodiscard]] bool IsStandby(const ServiceId& aService) const;
  void OnInstanceOrderDone(const InstanceOwner::OpenOrder& aOrder);
  void CancelEvacuation(const std::string& aInstance);
  [[nodiscard]] bool HasRuns(const std::string& aInstance) const;
  void ResendUnconfirmed();
  void RequestTickets(const JobView& aView, const work::TaskRef& aTask);
  void MoveLongRunningAhead();
  [[nodiscard]] bool MayStopLongRunning(const work::TaskRef& aTask) const;
  bool Evacuate(UpstreamSession& aSession, bool aStopAll);

  // DispatcherPools.cpp: load of the pools.
  [[nodiscard]] std::vector<PoolLoad> PoolLoads() const;
  void MeasurePools();
  [[nodiscard]] static Duration ChainOf(const JobView& aView);
  [[nodiscard]] static double CoresOf(const JobView& aView);
  [[nodiscard]] double PlannedCores(const ServiceId& aService) const;
  [[nodiscard]] static double UrgencyOf(const JobView& aView, WallTime aNow);
  [[nodiscard]] double WaitingCores(const ServiceId& aService) const;
  [[nodiscard]] double ReachableCores(const ServiceId& aService);
  void AddToPool(const UpstreamSession& aSession, PoolLoad& aPool) const;
  void AddMissingUpstreams(PoolLoad& aPool) const;
  [[nodiscard]] state::Resources EmptyCapacity(const ServiceId& aService) const;

  void AddRun(const InstanceId& aUpstream, const RunKey& aKey, LiveRun aRun);
  // Removes a run and marks the services that its room is for.
  void DropRun(const InstanceId& aUpstream, const RunKey& aKey);
  // Removes a run without marks, for starts that a pass withdraws.
  void WithdrawRun(const InstanceId& aUpstream, const RunKey& aKey);
  [[nodiscard]] UpstreamSession* FindSession(const InstanceId& aId);
  [[nodiscard]] Destination DestinationOf(
    const InstanceId& aId,
    const UpstreamSession& aSession) const;
  // The fencing token for the recorded boot. It rises with each boot of an ID,
  // so that a boot refuses orders that were sent to an earlier one and are
  // carried out late.
  [[nodiscard]] std::uint64_t FenceOf(const InstanceId& aId) const;
  // Starts that are proposed, or ordered and not answered. An order that is
  // older than an answer takes waits for its upstream and is not counted.
  [[nodiscard]] std::size_t CountStartsUnderway() const;
  void CountBoot(const InstanceId& aId, std::uint64_t aBoot);
  [[nodiscard]] const work::Job* FindJob(const JobId& aId) const;
  void LogDecision(
    std::string_view aKind,
    std::string aJob,
    std::vector<std::pair<std::string_view, std::string>> aFields);

  struct Order
  {
    InstanceId upstream;
    std::uint64_t boot = 0; // to which it was sent
    RunKey key;
    bool isStop = false;
    bool isPace = false;
    Time sentAt{};
  };

  // Boots of one ID that this leader has recorded.
  struct BootCount
  {
    explicit BootCount(std::uint64_t aBoot)
      : boot(aBoot)
    {
    }

    std::uint64_t boot;         // the last one
    std::uint64_t replaced = 0; // the ones before it
  };

  Options options;
  const work::WorkState& state;
  std::uint64_t term = 0; // 0: not the leader
  Time now{};
  WallTime wall{};
  Time electedAt{};
  std::uint64_t lastToken = 0;
  Output output;
  Time loadsLoggedAt{};

  Sessions sessions;
  std::map<InstanceId, BootCount> bootCounts;   // kept when a record is removed
  std::map<JobId, JobView> views;               // of jobs that have not ended
  std::map<WorkspaceId, state::Resources> used; // by all live runs
  // Services with tasks that the limit of a workspace has kept waiting. They
  // are planned again when a run of the workspace ends in any service.
  std::map<WorkspaceId, std::set<ServiceId>> waitingForLimit;
  std::map<std::uint64_t, Order> orders; // awaiting an answer, by token
  // Announcements that are being checked, by the token of the call.
  std::map<std::uint64_t, Announcement> pendingAnnouncements;
  std::map<work::TaskRef, InstanceId> failedOn; // upstream of the last failure
  // Tasks whose start is proposed but not yet committed.
  std::set<work::TaskRef> proposedStarts;
  std::set<ServiceId> dirtyServices;   // services that must be planned again
  std::map<ServiceId, Time> plannedAt; // last plan
  std::set<ServiceId> cutShort; // services whose last round was cut short
  // Rounds that the last pass has not completed.
  std::map<ServiceId, PlanRound> unfinishedPlans;
  ServiceId planLast;        // behind which the next pass begins
  std::uint64_t planEnd = 0; // value of planSteps at which a pass ends
  StartWindow startWindow;
  std::size_t startsLeft = 0; // in this pass
  // Waiting jobs were passed over until fewer starts are underway.
  bool isHeldBack = false;
  Time nextPassAt{}; // at the latest
  // As of the last review.
  std::map<ServiceId, FleetCapacity> fleetCapacities;
  bool hasImpossibleJobs = false;
  bool fleetChanged = false; // an instance has come or gone since then
  Time fleetReviewedAt{};
  work::QueueIndex queues;
  TicketCache tickets;
  InstanceOwner owner;
  DemandForecast forecast;
  TurnForecast turns;
  std::map<ServiceId, RecentLoad> recentLoads;
  std::vector<PoolLoad> recentPools; // of all services
  Time poolsMeasuredAt{};
  std::uint64_t loadMeasurements = 0;
  std::uint64_t planSteps = 0;
  OrderHistory history; // kept when leadership is lost

  Time nextEvacuationCheckAt{};
  Time evacuationsLoggedAt{};
  RunMeter runMeter;
  RunWatch runWatch;
  Interference interference;
  Time interferenceReviewedAt{};
  // Tasks with one run that should get another one elsewhere.
  std::set<work::TaskRef> secondRunsWanted;
  Time runsReviewedAt{};
};

} // namespace hyssoppaddle::dispatch

#endif
