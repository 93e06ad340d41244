// Dispatches the events of the top-level reducer.
#include "core/ReducerImpl.h"

#include <type_traits>
#include <utility>

namespace hyssoppaddle::core {

namespace {

// Interval of the silence and expiry checks, which need no finer resolution.
constexpr Duration kSlowTickInterval = std::chrono::milliseconds(100);

request::RequestOptions
CompleteOptions(const ReducerOptions& aOptions)
{
  request::RequestOptions complete = aOptions.request;
  complete.self = aOptions.self;
  complete.dataCentre = aOptions.dataCentre;
  complete.boot = aOptions.boot;
  complete.seed = aOptions.seed ^ 0x72657175657374ULL;
  return complete;
}

planner::PlannerOptions
CompletePlannerOptions(const ReducerOptions& aOptions)
{
  planner::PlannerOptions complete = aOptions.planner;
  complete.seed = aOptions.seed ^ 0x706c616e6e6572ULL;
  return complete;
}

} // namespace

Reducer::Impl::Impl(ReducerOptions aOptions,
                    const agreement::RecoveredLog& aRecovered,
                    Time aNow,
                    WallTime aWallNow)
  : options(std::move(aOptions))
  , raft(this->options.self,
         this->options.initial,
         aRecovered,
         this->options.seed,
         aNow,
         this->options.raftTimes,
         this->options.raftLimits)
  , requests(CompleteOptions(this->options), this->state)
  , planner(CompletePlannerOptions(this->options), this->state)
  , submissions(this->options.seed)
  , renewals(this->options.renewInterval, this->options.seed)
  , now(aNow)
  , wallNow(aWallNow)
  , nextSlowTick(aNow)
{
  if (aRecovered.snapshotMeta.index > 0 &&
      this->state.Restore(aRecovered.snapshotBytes).has_value()) {
    this->appliedIndex = aRecovered.snapshotMeta.index;
    this->AfterApply(this->AllChanges());
  }
}

void
Reducer::Impl::Handle(const Event& aEvent)
{
  std::visit([this](const auto& aConcrete) { this->On(aConcrete); }, aEvent);
  this->ProcessPendingEvents();
}

void
Reducer::Impl::ProcessPendingEvents()
{
  while (!this->pendingEvents.empty()) {
    const InternalEvent item = std::move(this->pendingEvents.front());
    this->pendingEvents.pop_front();
    if (const auto* logEvent = std::get_if<agreement::Event>(&item)) {
      this->Run(this->raft.Step(*logEvent, this->now));
    } else if (const auto* requestEvent = std::get_if<request::Event>(&item)) {
      this->Run(this->requests.Step(*requestEvent, this->now, this->wallNow));
    } else if (this->isLeader) {
      const auto& plannerEvent = std::get<planner::Event>(item);
      this->Run(this->planner.Step(plannerEvent, this->now, this->wallNow));
    }
  }
}

void
Reducer::Impl::On(const CommandReceived& aEvent)
{
  Origin origin;
  origin.kind = OriginKind::Http;
  origin.token = aEvent.token;
  this->Submit(origin, aEvent.command);
}

void
Reducer::Impl::On(const PeerReceived& aEvent)
{
  const InstanceId& from = aEvent.from;
  std::visit(
    [this, &from](const auto& aMessage) {
      using T = std::decay_t<decltype(aMessage)>;
      if constexpr (std::is_same_v<T, wire::RaftMessage>) {
        this->pendingEvents.emplace_back(agreement::Event(
          agreement::MessageReceived{ from, aMessage.message }));
      } else if constexpr (std::is_same_v<T, wire::JoinRequest>) {
        // Sent by an instance outside the configuration. AddLearner has no
        // effect for an instance that is already part of it.
        if (this->isLeader) {
          this->pendingEvents.emplace_back(
            agreement::Event(agreement::ChangeConfiguration{
              0, agreement::ChangeKind::AddLearner, from }));
        }
      } else if constexpr (!std::is_same_v<T, wire::Greeting> &&
                           !std::is_same_v<T, wire::GreetingProof> &&
                           !std::is_same_v<T, wire::RemoteCall> &&
                           !std::is_same_v<T, wire::RemoteReply> &&
                           !std::is_same_v<T, wire::NodeStatus>) {
        // The network layer consumes the greetings; the last three messages
        // are exchanged by nodes, not by this core.
        this->On(from, aMessage);
      }
    },
    aEvent.message);
}

void
Reducer::Impl::On(const PeerLost& aEvent)
{
  for (Submission& submission :
       this->submissions.TakeForwardedTo(aEvent.peer)) {
    this->Retry(std::move(submission), true);
  }
}

void
Reducer::Impl::On(const StorageWritten& aEvent)
{
  this->pendingEvents.emplace_back(
    agreement::Event(agreement::Persisted{ aEvent.sequence }));
}

void
Reducer::Impl::On(const SnapshotSaved& aEvent)
{
  this->pendingEvents.emplace_back(
    agreement::Event(agreement::SnapshotTaken{ aEvent.meta, aEvent.bytes }));
}

void
Reducer::Impl::On(const ConfigurationChangeRequested& aEvent)
{
  Submission submission;
  submission.origin.kind = OriginKind::Http;
  submission.origin.token = aEvent.token;
  if (!this->isLeader) {
    this->ReportUndecided(submission, false);
    return;
  }
  submission.deadline = this->now + std::chrono::seconds(5);
  const std::uint64_t token =
    this->submissions.Add(std::move(submission), this->options.self);
  this->pendingEvents.emplace_back(agreement::Event(
    agreement::ChangeConfiguration{ token, aEvent.kind, aEvent.instance }));
}

void
Reducer::Impl::On(const request::Event& aEvent)
{
  this->pendingEvents.emplace_back(aEvent);
}

void
Reducer::Impl::On(const Tick& /*aEvent*/)
{
  this->pendingEvents.emplace_back(agreement::Event(agreement::Tick{}));
  this->pendingEvents.emplace_back(request::Event(request::Tick{}));
  this->pendingEvents.emplace_back(planner::Event(planner::Tick{}));
  this->ProcessPendingEvents();
  this->RenewLeases();
  this->FlushRenewalBatch();
  if (this->now < this->nextSlowTick) {
    return;
  }
  this->nextSlowTick = this->now + kSlowTickInterval;
  this->RegisterSelf();
  this->ExpireSubmissions();
  this->ExpireReads();
  this->CheckSilence();
  this->CheckEntries();
  this->FlushLiveness();
}

void
Reducer::Impl::SendTo(const InstanceId& aPeer, wire::PeerMessage aMessage)
{
  this->effects.emplace_back(SendPeer{ aPeer, std::move(aMessage) });
}

Reducer::Reducer(ReducerOptions aOptions,
                 const agreement::RecoveredLog& aRecovered,
                 Time aNow,
                 WallTime aWallNow)
  : impl(
      std::make_unique<Impl>(std::move(aOptions), aRecovered, aNow, aWallNow))
{
}

Reducer::~Reducer() = default;

Effects
Reducer::Reduce(const Event& aEvent, Time aNow, WallTime aWallNow)
{
  this->impl->now = aNow;
  this->impl->wallNow = aWallNow;
  this->impl->Handle(aEvent);
  return std::exchange(this->impl->effects, {});
}

Effects
Reducer::BeginStop(Time aNow, WallTime aWallNow)
{
  this->impl->now = aNow;
  this->impl->wallNow = aWallNow;
  this->impl->stopping = true;
  this->impl->requests.StopAdmission();
  this->impl->pendingEvents.emplace_back(
    agreement::Event(agreement::TransferLeadership{ {} }));
  this->impl->ProcessPendingEvents();
  return std::exchange(this->impl->effects, {});
}

bool
Reducer::IsDrained() const
{
  return this->impl->stopping && this->impl->requests.Active() == 0;
}

const state::FleetState&
Reducer::State() const
{
  return this->impl->state;
}

const agreement::Raft&
Reducer::Log() const
{
  return this->impl->raft;
}

const request::RequestReducer&
Reducer::Requests() const
{
  return this->impl->requests;
}

const planner::Planner&
Reducer::Plans() const
{
  return this->impl->planner;
}

agreement::LogIndex
Reducer::AppliedIndex() const
{
  return this->impl->appliedIndex;
}

bool
Reducer::IsReady(Time aNow) const
{
  return !this->impl->stopping && this->impl->IsRegistered() &&
         this->impl->requests.IsViewFresh(aNow);
}

std::vector<EntryStatus>
Reducer::Entries(Time aNow) const
{
  const agreement::Configuration& active =
    this->impl->raft.ActiveConfiguration();
  std::vector<EntryStatus> entries;
  const auto add = [&](const InstanceId& aEntry, bool aVoter) {
    EntryStatus status;
    status.entry = aEntry;
    status.voter = aVoter;
    const auto contact = this->impl->contacts.find(aEntry);
    if (aEntry == this->impl->options.self) {
      status.appliedIndex = this->impl->appliedIndex;
      status.bundleVersion = this->impl->state.ActiveBundle().version;
      status.timeSinceContact = Duration(0);
    } else if (contact != this->impl->contacts.end()) {
      status.appliedIndex = contact->second.appliedIndex;
      status.bundleVersion = contact->second.bundleVersion;
      status.timeSinceContact = aNow - contact->second.lastHeard;
    }
    entries.push_back(std::move(status));
  };
  for (const InstanceId& voter : active.voters) {
    add(voter, true);
  }
  for (const InstanceId& learner : active.learners) {
    add(learner, false);
  }
  return entries;
}

} // namespace hyssoppaddle::core
