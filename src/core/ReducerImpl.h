// Implementation of the top-level reducer. Its member functions are defined in
// Reducer*.cpp, grouped by subject.
#ifndef hyssoppaddle_core_ReducerImpl_h
#define hyssoppaddle_core_ReducerImpl_h

#include "core/LivenessTable.h"
#include "core/Reducer.h"
#include "core/RenewalTracker.h"
#include "core/SubmissionTable.h"
#include "core/TaskLeaseAges.h"
#include "core/UpstreamWatch.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace hyssoppaddle::core {

// Status of an entry instance from its renewals. Kept on the leader only, in
// memory.
struct EntryContact
{
  Time lastHeard;
  agreement::LogIndex appliedIndex = 0;
  std::uint64_t bundleVersion = 0;
};

// A lease renewal that waits until a majority has confirmed the leadership. For
// a renewal of this instance itself, entry is options.self.
struct PendingRenewal
{
  InstanceId entry;
  std::uint64_t nonce = 0;
};

// A linearizable read that waits until an index has been applied.
struct PendingRead
{
  agreement::LogIndex index = 0;
  std::uint64_t token = 0;
};

struct Reducer::Impl
{
  // An event that one component raises for another. These are processed in
  // order after the external event, so that no component is entered
  // recursively.
  using InternalEvent =
    std::variant<agreement::Event, request::Event, planner::Event>;

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
  TaskLeaseAges taskLeaseAges;

  Time now;
  WallTime wallNow;
  Effects effects;
  std::deque<InternalEvent> pendingEvents;

  agreement::LogIndex appliedIndex = 0;
  InstanceId leader;
  bool isLeader = false;
  bool stopping = false;
  std::uint64_t nextReadToken = 1;

  // Renewals that the next confirmation of the leadership covers together.
  std::vector<PendingRenewal> renewalBatch;
  // Batches whose confirmation is in progress, by read token.
  std::map<std::uint64_t, std::vector<PendingRenewal>> unconfirmedRenewals;
  // Token of ReadRequested of the reads in progress, by read token of the log
  // (on the leader) or by renewal nonce (elsewhere).
  std::map<std::uint64_t, std::uint64_t> readsByToken;
  std::map<std::uint64_t, std::uint64_t> readsByNonce;
  // Tokens of ReadRequested by deadline.
  std::multimap<Time, std::uint64_t> readDeadlines;
  std::vector<PendingRead> unappliedReads;
  // Tokens of ReadRequested without a ReadDecided. Each gets exactly one.
  std::set<std::uint64_t> openReads;
  std::map<InstanceId, EntryContact> contacts;
  std::optional<Time> registrationSentAt;
  Time nextSlowTick;

  // Reducer.cpp
  void Handle(const Event& aEvent);
  void On(const CommandReceived& aEvent);
  void On(const PeerReceived& aEvent);
  void On(const PeerLost& aEvent);
  void On(const StorageWritten& aEvent);
  void On(const SnapshotSaved& aEvent);
  void On(const ReadRequested& aEvent);
  void On(const AnnouncementReceived& aEvent);
  void On(const ConfigurationChangeRequested& aEvent);
  void On(const request::Event& aEvent);
  void On(const Tick& aEvent);
  void ProcessPendingEvents();
  void SendTo(const InstanceId& aPeer, wire::PeerMessage aMessage);

  // ReducerLog.cpp: effects of agreement.
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

  // ReducerSubmissions.cpp: submission of commands to the log.
  void Submit(Origin aOrigin, state::Command aCommand);
  void Submit(Submission aSubmission);
  void Decide(const Submission& aSubmission, const state::Outcome& aOutcome);
  void ReportUndecided(const Submission& aSubmission, bool aUnknown);
  void Retry(Submission aSubmission, bool aUnknown);
  void On(const InstanceId& aFrom, const wire::ForwardRequest& aMessage);
  void On(const InstanceId& aFrom, const wire::ForwardReply& aMessage);
  void ExpireSubmissions();
  void DecideHeldSubmissions();

  // ReducerLeases.cpp: renewals, reads and registration.
  void RenewLeases();
  void SendRenewal();
  void FlushRenewalBatch();
  void On(const InstanceId& aFrom, const wire::RenewRequest& aMessage);
  void On(const InstanceId& aFrom, const wire::RenewReply& aMessage);
  void ApplyRenewals();
  void CompleteAppliedReads();
  void ExpireReads();
  void RegisterSelf();
  [[nodiscard]] bool IsRegistered() const;
  [[nodiscard]] wire::RenewRequest MakeRenewRequest(std::uint64_t aNonce) const;
  void RecordContact(const InstanceId& aEntry,
                     const wire::RenewRequest& aRequest);

  // ReducerUpstreams.cpp: announcements and liveness of upstreams.
  void SubmitReports(const AnnouncementReceived& aEvent);
  // True when a report has to be written to the log: the state or the usage has
  // changed, or less than half of the task's lease is left.
  [[nodiscard]] bool ReportNeedsLogging(const InstanceId& aInstance,
                                        const state::TaskReport& aReport) const;
  void ReplyToAnnouncement(const AnnouncementReceived& aEvent);
  [[nodiscard]] Duration AnnounceInterval() const;
  [[nodiscard]] bool NeedsUpdate(const state::Announcement& aNew) const;
  void FlushLiveness();
  void On(const InstanceId& aFrom, const wire::UpstreamLivenessBatch& aMessage);
  void QueryEntries(wire::UpstreamLivenessBatch aQuery);
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
  // Number of instances of a pool that are Serving but suspected, so that they
  // may have failed without being marked lost yet.
  [[nodiscard]] std::uint32_t CountUnconfirmedInstances(
    const PoolId& aPool) const;
  // True when a planned stop would violate the availability budget if all
  // suspected instances of the pool had failed.
  [[nodiscard]] bool MustDeferStop(const state::SetInstancePhase& aStop) const;
  void Run(const planner::SendInstruction& aEffect);
  // Boot of the upstream that an instruction is addressed to; empty when its
  // task or planned stop has ended.
  [[nodiscard]] std::string BootFor(
    const planner::Instruction& aInstruction) const;
};

} // namespace hyssoppaddle::core

#endif
