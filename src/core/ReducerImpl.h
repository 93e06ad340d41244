// Internals of the top reducer. Its member functions are spread over
// Reducer*.cpp by subject.
#ifndef hyssoppaddle_core_ReducerImpl_h
#define hyssoppaddle_core_ReducerImpl_h

#include "core/LivenessTable.h"
#include "core/Reducer.h"
#include "core/RenewalTracker.h"
#include "core/SubmissionTable.h"
#include "core/UpstreamWatch.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace hyssoppaddle::core {

// What the leader knows of an entry instance from its renewals. Soft state.
struct EntryContact
{
  Time lastHeard;
  agreement::LogIndex appliedIndex = 0;
  std::uint64_t bundleVersion = 0;
};

// A renewal waiting for the leadership to be confirmed. An empty entry is this
// instance itself.
struct PendingRenewal
{
  InstanceId entry;
  std::uint64_t nonce = 0;
};

// A read that waits for an index to be applied.
struct PendingRead
{
  agreement::LogIndex index = 0;
  std::uint64_t token = 0;
};

struct Reducer::Impl
{
  // Events that parts raise for each other; processed in order after the outer
  // event, so that no part is entered recursively.
  using Work = std::variant<agreement::Event, request::Event, planner::Event>;

  Impl(ReducerOptions aOptions,
       const agreement::RecoveredLog& aRecovered,
       Time aNow,
       WallTime aWallNow);

  ReducerOptions options;
  state::FleetState state;
  agreement::Raft raft;
  request::RequestReducer requests;
  planner::Planner planner;

  SubmissionTable submissions;
  RenewalTracker renewals;
  UpstreamWatch watch;
  LivenessTable liveness;

  Time now;
  WallTime wallNow;
  Effects effects;
  std::deque<Work> work;

  agreement::LogIndex appliedIndex = 0;
  InstanceId leader;
  bool leads = false;
  bool stopping = false;
  std::uint64_t nextReadToken = 1;

  // Renewals and reads taken in one batch by the next read of the log.
  std::vector<PendingRenewal> renewalBatch;
  // Batches whose confirmation is under way, by read token.
  std::map<std::uint64_t, std::vector<PendingRenewal>> renewalsAsked;
  // Reads of operators under way, by read token of the log or renewal nonce.
  std::map<std::uint64_t, std::uint64_t> readsByToken;
  std::map<std::uint64_t, std::uint64_t> readsByNonce;
  std::multimap<Time, std::uint64_t> readDeadlines; // value: token of ReadAsked
  std::vector<PendingRead> readsWaiting;
  // Tokens of ReadAsked that have not been decided. Each is decided once.
  std::set<std::uint64_t> openReads;
  std::map<InstanceId, EntryContact> contacts;
  std::optional<Time> registrationSentAt;
  Time nextSlowTick;

  // Reducer.cpp
  void Handle(const Event& aEvent);
  void On(const CommandReceived& aEvent);
  void On(const PeerReceived& aEvent);
  void On(const PeerLost& aEvent);
  void On(const StorageDone& aEvent);
  void On(const SnapshotSaved& aEvent);
  void On(const ReadAsked& aEvent);
  void On(const AnnouncementReceived& aEvent);
  void On(const ConfigurationAsked& aEvent);
  void On(const request::Event& aEvent);
  void On(const Tick& aEvent);
  void DrainWork();
  void SendTo(const InstanceId& aPeer, wire::PeerMessage aMessage);

  // ReducerLog.cpp: effects of the replicated log.
  void Run(agreement::Effects aEffects);
  void Run(agreement::SendMessage& aEffect);
  void Run(agreement::Persist& aEffect);
  void Run(agreement::ApplyEntries& aEffect);
  void Run(agreement::RestoreSnapshot& aEffect);
  void Run(agreement::TakeSnapshot& aEffect);
  void Run(agreement::ProposalCommitted& aEffect);
  void Run(agreement::ProposalFailed& aEffect);
  void Run(agreement::ReadReady& aEffect);
  void Run(agreement::ReadFailed& aEffect);
  void Run(agreement::RoleChanged& aEffect);
  void Apply(const agreement::LogEntry& aEntry, state::Changes& aChanges);
  void AfterApply(state::Changes aChanges);
  [[nodiscard]] state::Changes AllChanges() const;

  // ReducerSubmissions.cpp: commands on their way to the log.
  void Submit(Origin aOrigin, state::Command aCommand);
  void Submit(Submission aSubmission);
  void Decide(const Submission& aSubmission, const state::Outcome& aOutcome);
  void GiveUp(const Submission& aSubmission, bool aUnknown);
  void Retry(Submission aSubmission, bool aUnknown);
  void On(const InstanceId& aFrom, const wire::ForwardRequest& aMessage);
  void On(const InstanceId& aFrom, const wire::ForwardReply& aMessage);
  void ExpireSubmissions();
  void ReleaseHeld();

  // ReducerLeases.cpp: renewals, reads and registration.
  void RenewLeases();
  void SendRenewal();
  void FlushRenewalBatch();
  void On(const InstanceId& aFrom, const wire::RenewRequest& aMessage);
  void On(const InstanceId& aFrom, const wire::RenewReply& aMessage);
  void ApplyRenewals();
  void ReleaseReads();
  void ExpireReads();
  void RegisterSelf();
  [[nodiscard]] bool IsRegistered() const;
  [[nodiscard]] wire::RenewRequest MakeRenew(std::uint64_t aNonce) const;
  void Contact(const InstanceId& aEntry, const wire::RenewRequest& aRenew);

  // ReducerUpstreams.cpp: announcements and liveness of upstreams.
  void SubmitReports(const AnnouncementReceived& aEvent);
  void Answer(const AnnouncementReceived& aEvent);
  [[nodiscard]] Duration AnnounceInterval() const;
  [[nodiscard]] bool NeedsUpdate(const state::Announcement& aNew) const;
  void FlushHeard();
  void On(const InstanceId& aFrom, const wire::UpstreamLivenessBatch& aMessage);
  void AskEntries(wire::UpstreamLivenessBatch aQuestion);
  void CheckSilence();
  void CheckEntries();
  void StartLiveness();

  // ReducerEffects.cpp: effects of the request path and the planner.
  void Run(request::Effects aEffects);
  void Run(const request::ClaimNeeded& aEffect);
  void Run(const request::ClaimEnded& aEffect);
  void Run(const request::SendReturnPermits& aEffect);
  void Run(const request::RenewNow& aEffect);
  void Run(planner::Effects aEffects);
  void Run(const planner::ProposeCommand& aEffect);
  // Serving instances of a pool that may be gone without being marked lost yet.
  [[nodiscard]] std::uint32_t UnconfirmedIn(const PoolId& aPool) const;
  // True when a planned stop would break the budget if they were gone.
  [[nodiscard]] bool MustWait(const state::SetInstancePhase& aStop) const;
  void Run(const planner::SendInstruction& aEffect);
  // Boot of the upstream that an instruction is meant for; empty when the task
  // or the stop it belongs to is over.
  [[nodiscard]] std::string BootFor(
    const planner::Instruction& aInstruction) const;
};

} // namespace hyssoppaddle::core

#endif
