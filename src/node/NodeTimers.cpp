// Periodic tasks, graceful stop, reload, readiness and metrics.
#include "node/NodeImpl.h"

#include "node/Clock.h"
#include "node/EvacuationGauges.h"
#include "shell/Clock.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>

namespace hyssoppaddle::node {

namespace {

using std::chrono::milliseconds;

// Resolution of the timeouts. The leader also renews leases at its tick.
constexpr milliseconds kLeaderTick{ 25 };
constexpr milliseconds kNonLeaderTick{ 60 };
constexpr Duration kMinTick = milliseconds(5);
constexpr Duration kStatusInterval = milliseconds(500);
constexpr Duration kJoinInterval = milliseconds(250);
constexpr Duration kChangeInterval = milliseconds(200);
// If no handler has run for this long, the process must confirm its leadership
// before it sends the next order. It is shorter than the time after which
// another node may be the leader: the minimum election timeout, or the grace
// for a lost link.
constexpr Duration kMaxUnconfirmedGap = milliseconds(300);
// If no handler has run for this long, the process or its machine was paused.
constexpr Duration kPauseThreshold = milliseconds(700);
constexpr Duration kTransferRetryInterval = milliseconds(400);
// A shortage of descriptors has ended after this time without refusals.
constexpr Duration kShortageEnd = std::chrono::seconds(2);

} // namespace

void
Node::Impl::ArmTick()
{
  const Time now = SuspendAwareNow();
  Duration interval = this->dispatcherTerm != 0 ? kLeaderTick : kNonLeaderTick;
  if (this->replica && this->dispatcherTerm == 0) {
    // Campaigns of different voters are only a tick apart.
    const Duration left = this->replica->RaftState().NextTick() - now;
    interval = std::clamp<Duration>(left, kMinTick, interval);
  }
  this->tickDueAt = now + interval;
  this->tickTimer.expires_after(interval);
  this->tickTimer.async_wait([this](shell::ErrorValue aError) {
    if (!aError) {
      this->Tick();
      this->ArmTick();
    }
  });
}

void
Node::Impl::Tick()
{
  const Time now = SuspendAwareNow();
  this->loopMeter.RecordTimer(this->tickDueAt, now);
  this->DetectPause(now);
  for (const InstanceId& peer : this->cluster.SilentNodes(now)) {
    this->peers->Disconnect(peer, "silent");
  }
  if (this->replica) {
    this->FoundClusterIfDue();
    this->StepReplica(agreement::Tick{}, now);
    this->cluster.SetReplicas(this->replica->RaftState().ActiveConfiguration());
    this->CheckLeadership();
    this->ConfirmLeadership(now);
    this->MeasureSpeed(now);
    this->ReportSpeed(now);
    this->HandOverIfSlow(now);
    this->HandOverIfStorageRefuses(now);
    this->TickDispatcher(now);
    this->RequestJoin(now);
    this->ChangeReplicas(now);
    this->ProcessDispatcherOutput();
    this->MeasureTakeover(now);
  }
  this->RouteWaitingCalls();
  this->router->Tick(now);
  this->SendStatus(now);
  if (this->stop.HasBegun()) {
    this->CheckStop(now);
  }
  const InstanceId leader = this->cluster.Leader(now);
  if (leader != this->lastLoggedLeader) {
    this->LogUnthrottled(
      { leader.empty() ? "leader_lost" : "leader_known",
        {},
        { { "leader", leader.value },
          { "term", std::to_string(this->cluster.LeaderTerm()) } } });
    this->lastLoggedLeader = leader;
  }
  this->LogDescriptorShortage(now);
  this->ReleaseFreeMemory();
  if (const auto load =
        this->loopMeter.TakeReport(now, this->dispatcherTerm != 0)) {
    this->LogUnthrottled(*load);
  }
  if (const auto load = this->callMeter.TakeReport(now)) {
    this->LogUnthrottled(*load);
  }
  this->log.Flush();
}

void
Node::Impl::StepReplica(const agreement::Event& aEvent, Time aNow)
{
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::Raft);
  this->replica->Step(aEvent, aNow);
}

void
Node::Impl::TickDispatcher(Time aNow)
{
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::DispatchTick);
  this->dispatcher->ObserveLoopDelay(
    std::max(Duration(0), aNow - this->tickDueAt), aNow);
  this->dispatcher->Tick(aNow, shell::WallClockNow());
}

void
Node::Impl::DetectPause(Time aNow)
{
  const Duration gap = aNow - this->lastHandlerAt;
  const bool isFirst = this->lastHandlerAt == Time{};
  this->lastHandlerAt = aNow;
  if (isFirst || gap <= kMaxUnconfirmedGap) {
    return;
  }
  // Messages that arrived during the pause do not prove that this node is still
  // the leader.
  this->orderPermission.OnPause();
  if (gap > kPauseThreshold) {
    this->pauseEndedAt = aNow;
    this->cluster.ResetSilenceTimers(aNow);
    this->LogUnthrottled(
      { "paused", {}, { { "ms", std::to_string(gap.count() / 1000) } } });
  }
}

wire::NodeStatus
Node::Impl::MakeStatus(Time aNow) const
{
  wire::NodeStatus status;
  status.hasDisk = this->replica != nullptr;
  status.leader = this->cluster.Leader(aNow);
  status.term = this->cluster.LeaderTerm();
  status.replicas = this->cluster.Replicas();
  return status;
}

void
Node::Impl::SendStatus(Time aNow)
{
  if (aNow < this->nextStatusAt) {
    return;
  }
  this->nextStatusAt = aNow + kStatusInterval;
  this->peers->SendAll(this->MakeStatus(aNow));
  this->DialLinkTargets();
}

void
Node::Impl::DialLinkTargets()
{
  for (const InstanceId& node : this->cluster.LinkTargets()) {
    config::PeerSettings peer;
    peer.instance = node;
    peer.address = node.value;
    this->peers->AddPeer(peer);
  }
}

void
Node::Impl::RequestJoin(Time aNow)
{
  if (aNow < this->nextJoinRequest || this->stop.HasBegun()) {
    return;
  }
  this->nextJoinRequest = aNow + kJoinInterval;
  const InstanceId leader = this->cluster.Leader(aNow);
  if (agreement::Membership::MustJoin(
        this->replica->RaftState(), this->self, leader)) {
    this->peers->Send(leader, wire::JoinRequest{ true });
  }
}

void
Node::Impl::ChangeReplicas(Time aNow)
{
  if (aNow < this->nextReplicaChange || this->dispatcherTerm == 0 ||
      this->stop.HasBegun()) {
    return;
  }
  this->nextReplicaChange = aNow + kChangeInterval;
  const agreement::Raft& raft = this->replica->RaftState();
  const agreement::Configuration& active = raft.ActiveConfiguration();
  std::vector<agreement::ReplicaHealth> health;
  for (const auto& group : { active.voters, active.learners }) {
    for (const InstanceId& member : group) {
      health.push_back({ member,
                         raft.LastContact(member).value_or(aNow),
                         raft.IsCaughtUp(member) });
    }
  }
  const auto change = this->membership.NextChange(active, health, aNow);
  if (change) {
    constexpr std::array<const char*, 4> kKinds{
      "add", "promote", "remove", "demote"
    };
    this->LogThrottled(
      { "replica_change_asked",
        {},
        { { "replica", change->instance.value },
          { "change", kKinds[static_cast<std::size_t>(change->kind)] },
          { "voters", std::to_string(active.voters.size()) },
          { "learners", std::to_string(active.learners.size()) } } });
    this->StepReplica(*change, aNow);
  }
}

// Creates the cluster when all seeds before this one have reported that they
// have no disk.
void
Node::Impl::FoundClusterIfDue()
{
  const agreement::Raft& raft = this->replica->RaftState();
  const bool blank = this->settings.firstStart && this->dataFolderWasEmpty &&
                     raft.LastIndex() == 0 && raft.CurrentTerm() == 0 &&
                     raft.ActiveConfiguration().voters.empty();
  if (blank && this->cluster.Leader(SuspendAwareNow()).empty() &&
      this->cluster.IsFounder()) {
    this->MakeReplica(true);
  }
}

void
Node::Impl::ArmSignals()
{
  this->signals.async_wait([this](shell::ErrorValue aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      this->Reload();
    } else {
      this->BeginStop();
    }
    this->ArmSignals();
  });
}

void
Node::Impl::Reload()
{
  Result<NodeSettings> next = this->reload();
  if (!next) {
    this->LogUnthrottled(
      { "reload_failed", {}, { { "reason", next.error().message } } });
    return;
  }
  this->settings.seeds = next->seeds;
  this->cluster.SetSeeds(this->settings.seeds);
  this->DialLinkTargets();
  this->LogUnthrottled(
    { "reloaded",
      {},
      { { "seeds", std::to_string(this->settings.seeds.size()) } } });
  this->log.Flush();
}

void
Node::Impl::BeginStop()
{
  if (this->stop.HasBegun()) {
    return;
  }
  this->stop.Begin(SuspendAwareNow());
  this->LogUnthrottled({ "stopping", {}, {} });
}

void
Node::Impl::CheckStop(Time aNow)
{
  const bool leads = this->replica && this->replica->IsLeader();
  if (leads && aNow >= this->nextTransferAttempt) {
    this->nextTransferAttempt = aNow + kTransferRetryInterval;
    this->TransferLeadership({}, aNow);
  }
  const auto next = [&] {
    const StopProgress progress{ this->callersServer->Connections() +
                                   this->controlServer->Connections(),
                                 leads };
    return this->stop.Next(progress, aNow);
  };
  for (StopAction action = next(); action != StopAction::None;
       action = next()) {
    if (action == StopAction::StopListening) {
      this->callersServer->Stop();
      this->controlServer->Stop();
    } else if (action == StopAction::AnswerOpenCalls) {
      this->router->GiveUpAll();
    } else {
      this->Finish();
    }
  }
}

void
Node::Impl::Finish()
{
  this->LogUnthrottled({ "stopped", {}, {} });
  this->log.Flush();
  this->tickTimer.cancel();
  this->signals.cancel();
  this->client->Stop();
  this->peers->Stop();
  this->storage.reset();
  this->io.stop();
}

bool
Node::Impl::IsReady(Time aNow) const
{
  return !this->stop.HasBegun() && !this->cluster.Leader(aNow).empty();
}

api::HttpReply
Node::Impl::MetricsReply() const
{
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  std::vector<shell::Gauge> gauges{
    { "calls_open",
      "Calls without an answer.",
      number(this->router->CountOpenCalls()) },
    { "peers_connected",
      "Links to other nodes.",
      number(this->peers->Connected()) },
    { "calls_refused_without_leader",
      "Calls refused as not run since the start because no leader took them.",
      number(this->router->CountRefused()) },
    { "calls_held",
      "Calls since the start that waited for a leader and were then sent.",
      number(this->router->CountHeld()) },
    { "is_leader", "1 on the leader.", this->dispatcherTerm != 0 ? 1.0 : 0.0 },
    { "upstream_connections_opened",
      "Connections opened to upstreams.",
      number(this->client->ConnectionsOpened()) },
    { "log_lines_dropped",
      "Log lines over the rate.",
      number(this->log.Dropped()) },
  };
  if (this->replica) {
    const auto& tables = this->replica->State().Tables();
    gauges.push_back({ "setup_version",
                       "Setup in force here.",
                       number(tables.setup.version) });
    gauges.push_back({ "machine_slowness",
                       "Time of a fixed computation, relative to the best.",
                       this->speedProbe.Slowness() });
    gauges.push_back(
      { "jobs_known", "Jobs on record.", number(tables.jobs.size()) });
    gauges.push_back({ "commit_index",
                       "Last entry committed.",
                       number(this->replica->RaftState().CommitIndex()) });
    gauges.push_back({ "log_memory_bytes",
                       "Entries of the replicated log in memory.",
                       number(this->replica->RaftState().LogBytes()) });
    gauges.push_back({ "plan_steps",
                       "Comparisons that placement has made since the start.",
                       number(this->dispatcher->PlanSteps()) });
    gauges.push_back({ "jobs_impossible",
                       "Jobs on the leader that the fleet or the limit of "
                       "their workspace could not hold.",
                       number(this->dispatcher->CountImpossibleJobs()) });
    AppendEvacuationGauges(
      tables, *this->dispatcher, SuspendAwareNow(), gauges);
  }
  std::string text = this->metrics->Render(gauges);
  text += "# HELP hyssoppaddle_descriptors_in_use Open connections by owner.\n"
          "# TYPE hyssoppaddle_descriptors_in_use gauge\n";
  std::string refusals =
    "# HELP hyssoppaddle_descriptors_refused_total Refusals by owner.\n"
    "# TYPE hyssoppaddle_descriptors_refused_total counter\n";
  for (std::size_t i = 0; i < DescriptorBudget::kOwners; ++i) {
    const auto owner = static_cast<DescriptorOwner>(i);
    const std::string label =
      "{owner=\"" + std::string(DescriptorBudget::NameOf(owner)) + "\"} ";
    text += "hyssoppaddle_descriptors_in_use" + label +
            std::to_string(this->descriptors->InUse(owner)) + "\n";
    refusals += "hyssoppaddle_descriptors_refused_total" + label +
                std::to_string(this->descriptors->Refused(owner)) + "\n";
  }
  text += refusals;
  text += this->MemoryMetrics();
  text += "# HELP hyssoppaddle_loop_seconds_total Time of the event loop.\n"
          "# TYPE hyssoppaddle_loop_seconds_total counter\n";
  for (std::size_t i = 0; i < LoopMeter::kParts; ++i) {
    const auto part = static_cast<LoopPart>(i);
    const std::chrono::duration<double> total = this->loopMeter.Total(part);
    text += "hyssoppaddle_loop_seconds_total{part=\"" +
            std::string(LoopMeter::NameOf(part)) + "\"} " +
            std::to_string(total.count()) + "\n";
  }
  text += "# HELP hyssoppaddle_takeover_seconds Time since the loss of the "
          "earlier leader, in the last takeover.\n"
          "# TYPE hyssoppaddle_takeover_seconds gauge\n";
  for (std::size_t i = 0; i < TakeoverMeter::kSteps; ++i) {
    const auto step = static_cast<TakeoverStep>(i);
    if (const auto elapsed = this->takeover.TimeTo(step)) {
      text += "hyssoppaddle_takeover_seconds{step=\"" +
              std::string(TakeoverMeter::NameOf(step)) + "\"} " +
              std::to_string(std::chrono::duration<double>(*elapsed).count()) +
              "\n";
    }
  }
  text += "# HELP hyssoppaddle_decisions_total Decisions by kind.\n"
          "# TYPE hyssoppaddle_decisions_total counter\n";
  for (const auto& [kind, count] : this->log.Counts()) {
    text += "hyssoppaddle_decisions_total{kind=\"" + kind + "\"} " +
            std::to_string(count) + "\n";
  }
  return { 200, "text/plain; version=0.0.4", {}, std::move(text) };
}

void
Node::Impl::LogDescriptorShortage(Time aNow)
{
  std::uint64_t refused = 0;
  dispatch::Decision shortage{ "descriptor_shortage", {}, {} };
  for (std::size_t i = 0; i < DescriptorBudget::kOwners; ++i) {
    const auto owner = static_cast<DescriptorOwner>(i);
    refused += this->descriptors->Refused(owner);
    shortage.fields.push_back(
      { DescriptorBudget::NameOf(owner),
        std::to_string(this->descriptors->InUse(owner)) });
  }
  const bool isShort = this->descriptorShortageEndsAt != Time{};
  if (refused != this->loggedDescriptorRefusals) {
    this->loggedDescriptorRefusals = refused;
    this->descriptorShortageEndsAt = aNow + kShortageEnd;
    if (!isShort) {
      this->LogUnthrottled(shortage);
    }
  } else if (isShort && aNow >= this->descriptorShortageEndsAt) {
    this->descriptorShortageEndsAt = Time{};
    shortage.kind = "descriptor_shortage_ended";
    this->LogUnthrottled(shortage);
  }
}

void
Node::Impl::LogThrottled(const dispatch::Decision& aDecision)
{
  this->log.Write(aDecision, SuspendAwareNow(), shell::WallClockNow());
}

void
Node::Impl::LogUnthrottled(const dispatch::Decision& aDecision)
{
  this->log.WriteUnthrottled(aDecision, shell::WallClockNow());
}

} // namespace hyssoppaddle::node
