// Coordinates the components of the request path: moves each request through
// its stages and keeps the queues, the permits and the upstream load
// consistent. The methods are grouped by subject in Engine*.cpp.
#ifndef hyssoppaddle_request_Engine_h
#define hyssoppaddle_request_Engine_h

#include "request/AdmissionQueue.h"
#include "request/Authorizer.h"
#include "request/ClaimTracker.h"
#include "request/Directory.h"
#include "request/Ejector.h"
#include "request/Leases.h"
#include "request/PermitPool.h"
#include "request/Request.h"
#include "request/RequestReducer.h"
#include "request/RetryBudget.h"
#include "request/Router.h"
#include "request/TeamBacklog.h"
#include "request/Timers.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hyssoppaddle::request {

class Engine
{
public:
  Engine(RequestOptions aOptions, const state::FleetState& aView);

  // Sets the time of this step and handles the timers and leases that expired.
  void BeginStep(Time aNow, WallTime aWallNow);
  // Dispatches the capacity that became free and returns the effects of this
  // step.
  Effects EndStep();

  void On(const RequestArrived& aEvent);
  void On(const ClaimDecided& aEvent);
  void On(const AttemptAdvanced& aEvent);
  void On(const AttemptFinished& aEvent);
  void On(const AttemptRefused& aEvent);
  void On(const AttemptFailed& aEvent);
  void On(const CallerDisconnected& aEvent);
  void On(const UpstreamAnnounced& aEvent);
  void On(const ViewChanged& aEvent);
  void On(const LeasesRenewed& aEvent);
  void On(const Tick& aEvent);

  void StopAdmission();
  [[nodiscard]] std::size_t Active() const { return this->requests.size(); }
  [[nodiscard]] std::vector<wire::TeamDemand> Demand() const;
  [[nodiscard]] const RequestCounters& Counters() const
  {
    return this->counters;
  }
  [[nodiscard]] bool IsViewFresh(Time aNow) const
  {
    return this->leases.KeysFresh(aNow);
  }
  [[nodiscard]] std::vector<std::string> ExplainTeam(const TeamId& aTeam,
                                                     Time aNow) const;
  [[nodiscard]] std::vector<std::string> ExplainUpstream(
    const InstanceId& aUpstream,
    Time aNow) const;

private:
  // Permit of an abandoned attempt that may still be running at its upstream.
  struct PermitHold
  {
    TeamId team;
    InstanceId upstream;
    std::string boot;
    Timers::Handle timer;
  };

  struct RefusalReason
  {
    Problem problem = Problem::NoUpstream;
    bool notRun = true;
    std::optional<Duration> retryAfter;
    std::string detail;
  };

  // Admission (EngineAdmission.cpp).
  std::optional<RefusalReason> Admit(Request& aRequest);
  // Checks service, key lease and key. aTeam, if not null, receives the team to
  // charge.
  std::optional<RefusalReason> CheckKey(const Request& aRequest,
                                        TeamId* aTeam) const;
  static RefusalReason StaleReason();
  std::optional<RefusalReason> CheckQueue(const Request& aRequest);
  [[nodiscard]] AdmissionRequest MakeAdmissionRequest(
    const Request& aRequest) const;
  void Enqueue(Request& aRequest);
  void Dequeue(Request& aRequest);
  void Dispatch(const ServiceId& aService);
  void DispatchTeam(const TeamId& aTeam);
  void DispatchAll();
  bool StartNext(const ServiceId& aService, ServiceGroup& aGroup);
  void AskForPermits(const TeamId& aTeam);
  void AskForClaim(Request& aRequest);
  void RefuseByClaim(Request& aRequest, const state::Outcome& aOutcome);
  [[nodiscard]] bool MayStart(const Request& aRequest) const;
  // Refuses queued requests whose key check fails. With aAll false, the check
  // is made once per key; with aAll true, for each keyed request.
  void RefuseQueuedKeyed(bool aAll);

  // Attempts (EngineAttempts.cpp).
  bool Reserve(Request& aRequest, ServiceGroup& aGroup);
  void FreeUpstream(Request& aRequest);
  void FreePermit(const TeamId& aTeam);
  void StartAttempt(Request& aRequest);
  Request* FindRunning(RequestNumber aRequest, AttemptNumber aAttempt);
  void FailAttempt(Request& aRequest, const AttemptFailed& aEvent);
  [[nodiscard]] bool MayRetry(const Request& aRequest,
                              AttemptPhase aPhase,
                              bool aStatedNotRun) const;
  // Schedules a retry; returns false if the retry budget is exhausted or the
  // deadline would pass before the retry.
  bool Retry(Request& aRequest);
  void HoldPermit(Request& aRequest);
  void FreeHold(std::uint64_t aNumber);
  void ReportFailure(Upstream& aUpstream, std::string_view aReason);
  void ReportSuccess(Upstream& aUpstream, Duration aLatency, bool aBusy);

  // Ends of requests (EngineCompletion.cpp). The first four remove the request.
  void RefuseRequest(Request& aRequest, RefusalReason aReason);
  void AbortRequest(Request& aRequest);
  void EndAfterFailure(Request& aRequest, AttemptPhase aPhase);
  void DeadlinePassed(Request& aRequest);
  void AbandonRunning(Request& aRequest);
  void ReleaseStageResources(Request& aRequest);
  void EndClaim(const Request& aRequest,
                state::ClaimState aState,
                std::uint32_t aStatus);
  void Remove(Request& aRequest);

  // Replicated state, announcements, leases and timers (EngineView.cpp).
  void LoadView();
  void OnDirectoryUpdate(const Directory::Update& aUpdate);
  void LeaveGroup(Upstream& aUpstream, ServiceGroup& aGroup);
  void ResetFailures(Upstream& aUpstream, ServiceGroup& aGroup);
  void CancelProbe(Upstream& aUpstream);
  [[nodiscard]] Duration ServedFor(const Upstream& aUpstream) const;
  void BeginRamp(Upstream& aUpstream, Duration aServedFor);
  void RefreshUpstream(Upstream& aUpstream);
  void WatchAnnouncement(Upstream& aUpstream);
  void FreeHoldsOfOldBoots(Upstream& aUpstream);
  void OnTimer(const Timer& aTimer);
  void OnUpstreamTimer(const Timer& aTimer);
  void RetryDue(Request& aRequest);
  void CheckLeases();
  void RefuseRemovedServices();
  void RefuseQueued(const RefusalReason& aReason, bool aOnlyRemoved);

  void Log(std::string aKind, const Request& aRequest, Router::Choice aChoice);
  void LogUpstream(std::string aKind,
                   const Upstream& aUpstream,
                   std::string_view aReason);

  RequestOptions options;
  const state::FleetState* view;
  RequestCounters counters;
  Effects effects;
  Time now;
  WallTime wallNow; // see Authorizer::FleetTime
  bool loaded = false;
  bool stopping = false;
  bool keysWereFresh = false;
  bool permitsWereValid = false;
  std::optional<Time> permitsRequestedAt;

  Random random;
  Leases leases;
  Timers timers;
  Directory directory;
  Router router;
  Ejector ejector;
  PermitPool permits;
  ClaimTracker claims;
  Authorizer authorizer;
  TeamBacklog backlog;
  std::map<ServiceId, AdmissionQueue> queues;
  std::map<ServiceId, RetryBudget> budgets;
  std::unordered_map<RequestNumber, Request> requests;
  std::map<KeyId, std::set<RequestNumber>> queuedByKey;
  std::map<ServiceId, std::set<RequestNumber>> queuedByService;
  std::map<std::uint64_t, PermitHold> holds;
  // Teams with free permits and services with free upstreams after this step;
  // EndStep dispatches their queued requests.
  std::set<TeamId> freedTeams;
  std::set<ServiceId> freedServices;
  std::uint64_t nextHold = 1;
};

} // namespace hyssoppaddle::request

#endif
