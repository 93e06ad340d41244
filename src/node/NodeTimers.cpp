// Periodic work, the graceful stop, reload, readiness and metrics.
#include "node/NodeImpl.h"

#include "node/Clock.h"
#include "shell/Clock.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace hyssoppaddle::node {

namespace {

using std::chrono::milliseconds;

// Grain of the timeouts; the leader also renews leases by it.
constexpr milliseconds kLeaderTick{ 25 };
constexpr milliseconds kTick{ 60 };
constexpr Duration kStatusInterval = milliseconds(500);
constexpr Duration kJoinInterval = milliseconds(250);
constexpr Duration kChangeInterval = milliseconds(200);
// Without a handler for this long, this process must prove that it still leads
// before its next order: less than the time after which another may lead.
constexpr Duration kStandstill = milliseconds(300);
// A tick this late means that this process or its machine stood still.
constexpr Duration kPause = milliseconds(700);
// After two missed answers, a second apart, the balancer sends no new callers.
constexpr Duration kOutOfRotation = milliseconds(2600);
// Left for the last answers before the process would be killed.
constexpr Duration kBeforeKill = milliseconds(900);
constexpr Duration kTransferRetry = milliseconds(400);

} // namespace

void
Node::Impl::ArmTick()
{
  this->tickTimer.expires_after(this->ledTerm != 0 ? kLeaderTick : kTick);
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
  this->NoticePause(now);
  for (const InstanceId& peer : this->cluster.Silent(now)) {
    this->peers->Disconnect(peer, "silent");
  }
  if (this->replica) {
    this->FoundLate();
    this->replica->Step(agreement::Tick{}, now);
    this->cluster.SetReplicas(this->replica->Log().ActiveConfiguration());
    this->CheckLeadership();
    this->ConfirmLeadership(now);
    this->dispatcher->Tick(now, shell::WallClockNow());
    this->AskToJoin(now);
    this->ChangeReplicas(now);
    this->Pump();
  }
  this->router->Tick(now);
  this->SendStatus(now);
  if (this->stopping) {
    this->CheckStop(now);
  }
  const InstanceId leader = this->cluster.Leader(now);
  if (leader != this->lastLeader) {
    this->NoteAlways(
      { leader.empty() ? "leader_lost" : "leader_known",
        {},
        { { "leader", leader.value },
          { "term", std::to_string(this->cluster.LeaderTerm()) } } });
    this->lastLeader = leader;
  }
  this->log.Flush();
}

void
Node::Impl::NoticePause(Time aNow)
{
  const Duration gap = aNow - this->lastAlive;
  const bool isFirst = this->lastAlive == Time{};
  this->lastAlive = aNow;
  if (isFirst || gap <= kStandstill) {
    return;
  }
  // Messages that arrived meanwhile prove nothing about the present.
  this->confirmed = false;
  if (gap > kPause) {
    this->cluster.Forgive(aNow);
    this->NoteAlways(
      { "paused", {}, { { "ms", std::to_string(gap.count() / 1000) } } });
  }
}

void
Node::Impl::ConfirmLeadership(Time aNow)
{
  if (this->confirmed || this->confirming || !this->replica->Leads()) {
    return;
  }
  this->confirming = true;
  this->replica->Confirm(aNow, [this](bool aConfirmed) {
    this->confirming = false;
    this->confirmed = aConfirmed;
  });
}

void
Node::Impl::SendStatus(Time aNow)
{
  if (aNow < this->nextStatus) {
    return;
  }
  this->nextStatus = aNow + kStatusInterval;
  wire::NodeStatus status;
  status.hasDisk = this->replica != nullptr;
  status.leader = this->cluster.Leader(aNow);
  status.term = this->cluster.LeaderTerm();
  status.replicas = this->cluster.Replicas();
  this->peers->SendAll(status);
  this->DialWanted();
}

void
Node::Impl::DialWanted()
{
  for (const InstanceId& node : this->cluster.Wanted()) {
    config::PeerSettings peer;
    peer.instance = node;
    peer.address = node.value;
    this->peers->AddPeer(peer);
  }
}

void
Node::Impl::AskToJoin(Time aNow)
{
  if (aNow < this->nextJoin || this->stopping) {
    return;
  }
  this->nextJoin = aNow + kJoinInterval;
  const auto& voters = this->replica->Log().ActiveConfiguration().voters;
  const InstanceId leader = this->cluster.Leader(aNow);
  const bool isVoter =
    std::find(voters.begin(), voters.end(), this->self) != voters.end();
  if (!isVoter && !leader.empty() && leader != this->self) {
    this->peers->Send(leader, wire::JoinRequest{ true });
  }
}

void
Node::Impl::ChangeReplicas(Time aNow)
{
  if (aNow < this->nextChange || this->ledTerm == 0 || this->stopping) {
    return;
  }
  this->nextChange = aNow + kChangeInterval;
  const agreement::Raft& raft = this->replica->Log();
  std::vector<ReplicaHealth> health;
  for (const InstanceId& voter : raft.ActiveConfiguration().voters) {
    const auto heard = raft.LastHeard(voter);
    health.push_back({ voter, heard ? heard : this->electedAt });
  }
  const auto change =
    this->cluster.NextChange(raft.ActiveConfiguration(), health, aNow);
  if (change) {
    constexpr std::array<const char*, 3> kKinds{ "add", "promote", "remove" };
    this->Note(
      { "replica_change_asked",
        {},
        { { "replica", change->instance.value },
          { "change", kKinds[static_cast<std::size_t>(change->kind)] } } });
    this->replica->Step(*change, aNow);
  }
}

// The seeds before this one have no disk, so it founds the cluster.
void
Node::Impl::FoundLate()
{
  const agreement::Raft& raft = this->replica->Log();
  const bool blank = this->settings.firstStart && this->wasEmpty &&
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
    this->NoteAlways(
      { "reload_failed", {}, { { "reason", next.error().message } } });
    return;
  }
  this->settings.seeds = next->seeds;
  this->cluster.SetSeeds(this->settings.seeds);
  this->DialWanted();
  this->NoteAlways(
    { "reloaded",
      {},
      { { "seeds", std::to_string(this->settings.seeds.size()) } } });
  this->log.Flush();
}

void
Node::Impl::BeginStop()
{
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->stopBegan = SuspendAwareNow();
  this->NoteAlways({ "stopping", {}, {} });
}

// Readiness ends at once; callers are served until the balancer has noticed and
// their calls are answered.
void
Node::Impl::CheckStop(Time aNow)
{
  const Duration waited = aNow - this->stopBegan;
  const bool leads = this->replica && this->replica->Leads();
  if (leads && aNow >= this->nextTransfer) {
    this->nextTransfer = aNow + kTransferRetry;
    this->replica->Step(agreement::TransferLeadership{}, aNow);
  }
  const bool late = waited > this->settings.gracePeriod - kBeforeKill;
  if (!this->closing && (waited > kOutOfRotation || late)) {
    this->closing = true;
    this->callers->Stop();
    this->control->Stop();
  }
  const std::size_t open =
    this->callers->Connections() + this->control->Connections();
  if (late || (this->closing && open == 0 && !leads)) {
    this->Finish();
  }
}

void
Node::Impl::Finish()
{
  this->NoteAlways({ "stopped", {}, {} });
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
  return !this->stopping && !this->cluster.Leader(aNow).empty();
}

api::HttpReply
Node::Impl::MetricsReply() const
{
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  std::vector<shell::Gauge> gauges{
    { "calls_open", "Calls without an answer.", number(this->router->Open()) },
    { "peers_connected",
      "Links to other nodes.",
      number(this->peers->Connected()) },
    { "is_leader", "1 on the leader.", this->ledTerm != 0 ? 1.0 : 0.0 },
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
    gauges.push_back(
      { "jobs_known", "Jobs on record.", number(tables.jobs.size()) });
    gauges.push_back({ "commit_index",
                       "Last entry committed.",
                       number(this->replica->Log().CommitIndex()) });
  }
  std::string text = this->metrics->Render(gauges);
  text += "# HELP hyssoppaddle_decisions_total Decisions by kind.\n"
          "# TYPE hyssoppaddle_decisions_total counter\n";
  for (const auto& [kind, count] : this->log.Counts()) {
    text += "hyssoppaddle_decisions_total{kind=\"" + kind + "\"} " +
            std::to_string(count) + "\n";
  }
  return { 200, "text/plain; version=0.0.4", {}, std::move(text) };
}

void
Node::Impl::Note(const dispatch::Decision& aDecision)
{
  this->log.Write(aDecision, SuspendAwareNow(), shell::WallClockNow());
}

void
Node::Impl::NoteAlways(const dispatch::Decision& aDecision)
{
  this->log.WriteAlways(aDecision, shell::WallClockNow());
}

} // namespace hyssoppaddle::node
