// Cluster of real Raft replicas in virtual time with seeded faults.
#include "agreement/Simulation.h"

#include <algorithm>
#include <functional>

namespace hyssoppaddle::test {

Simulation::Simulation(std::size_t aVoters,
                       std::uint64_t aSeed,
                       raft::RaftLimits aLimits)
  : random(aSeed)
  , limits(aLimits)
{
  raft::Configuration initial;
  for (std::size_t i = 0; i < aVoters; ++i) {
    initial.voters.emplace_back("n" + std::to_string(i));
  }
  for (std::size_t i = 0; i < aVoters; ++i) {
    this->AddNode(initial, true);
  }
}

void
Simulation::AddNode(raft::Configuration aInitial, bool aVoteStateIntact)
{
  Node node;
  node.id = InstanceId("n" + std::to_string(this->nodes.size()));
  node.initial = std::move(aInitial);
  node.disk.content.voteStateIntact = aVoteStateIntact;
  this->nodes.push_back(std::move(node));
  this->Restart(this->nodes.size() - 1);
}

Time
Simulation::LocalTime(const Node& aNode) const
{
  return Time(Duration(static_cast<Duration::rep>(
    static_cast<double>(this->now.count()) * aNode.rate)));
}

void
Simulation::Run(Duration aFor)
{
  this->RunUntil([] { return false; }, aFor);
}

bool
Simulation::RunUntil(const std::function<bool()>& aDone, Duration aAtMost)
{
  const Duration end = this->now + aAtMost;
  while (this->violation.empty() && !aDone()) {
    if (!this->RunNext(end)) {
      this->now = end;
      return aDone();
    }
  }
  return this->violation.empty();
}

// Executes the next message, completed write or due timer before aEnd.
bool
Simulation::RunNext(Duration aEnd)
{
  Duration tickAt = aEnd;
  std::optional<std::size_t> ticking;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    const Node& node = this->nodes[i];
    if (!node.raft || node.raft->NextTick() == Time::max()) {
      continue;
    }
    const auto local = node.raft->NextTick().time_since_epoch().count();
    const Duration due(
      static_cast<Duration::rep>(static_cast<double>(local) / node.rate) + 1);
    const Duration at = std::max({ due, this->now, node.pausedUntil });
    if (at < tickAt) {
      tickAt = at;
      ticking = i;
    }
  }
  if (!this->scheduledEvents.empty() &&
      this->scheduledEvents.top().at <= tickAt) {
    ScheduledEvent item = this->scheduledEvents.top();
    this->scheduledEvents.pop();
    this->now = std::max(this->now, item.at);
    Node& node = this->nodes[item.node];
    if (!node.raft ||
        (item.incarnation != 0 && item.incarnation != node.incarnation)) {
      return true;
    }
    if (node.pausedUntil > this->now) {
      this->Schedule(node.pausedUntil, item.node, item.incarnation, item.event);
      return true;
    }
    this->Step(item.node, item.event);
    return true;
  }
  if (!ticking) {
    return false;
  }
  this->now = tickAt;
  this->Step(*ticking, raft::Tick{});
  return true;
}

void
Simulation::Schedule(Duration aAt,
                     std::size_t aNode,
                     std::uint64_t aIncarnation,
                     raft::Event aEvent)
{
  this->scheduledEvents.push(ScheduledEvent{
    aAt, ++this->nextOrder, aNode, aIncarnation, std::move(aEvent) });
}

void
Simulation::Step(std::size_t aNode, const raft::Event& aEvent)
{
  Node& node = this->nodes[aNode];
  if (const auto* done = std::get_if<raft::Persisted>(&aEvent)) {
    while (!node.pendingWrites.empty() &&
           node.pendingWrites.front().sequence <= done->sequence) {
      WriteTo(node.disk.content, node.pendingWrites.front());
      node.pendingWrites.pop_front();
    }
  }
  raft::Effects effects = node.raft->Step(aEvent, this->LocalTime(node));
  for (raft::Effect& effect : effects) {
    std::visit([&](auto& aTyped) { this->Execute(aNode, std::move(aTyped)); },
               effect);
  }
  if (node.raft->CurrentRole() == raft::Role::Leader) {
    const auto [found, isNew] =
      this->leaders.try_emplace(node.raft->CurrentTerm(), aNode);
    if (found->second != aNode) {
      this->RecordViolation("two leaders in term " +
                            std::to_string(node.raft->CurrentTerm()));
    }
  }
}

void
Simulation::WriteTo(raft::RecoveredLog& aDisk, const raft::Persist& aPersist)
{
  if (aPersist.hardState) {
    aDisk.hardState = *aPersist.hardState;
    aDisk.voteStateIntact = !aPersist.hardState->recovering;
  }
  const auto dropFrom = [&](raft::LogIndex aFrom) {
    std::erase_if(aDisk.entries, [&](const raft::LogEntry& aEntry) {
      return aEntry.index >= aFrom;
    });
  };
  if (aPersist.truncateFrom) {
    dropFrom(*aPersist.truncateFrom);
  }
  aDisk.entries.insert(
    aDisk.entries.end(), aPersist.entries.begin(), aPersist.entries.end());
  if (aPersist.snapshotMeta &&
      aPersist.snapshotMeta->index > aDisk.snapshotMeta.index) {
    aDisk.snapshotMeta = *aPersist.snapshotMeta;
    aDisk.snapshotBytes = aPersist.snapshotBytes;
  }
  std::erase_if(aDisk.entries, [&](const raft::LogEntry& aEntry) {
    return aEntry.index <= aDisk.snapshotMeta.index;
  });
}

void
Simulation::Crash(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  node.raft.reset();
  node.pendingWrites.clear();
}

void
Simulation::Restart(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  ++node.incarnation;
  node.applied = 0;
  node.payloadHash = 0;
  node.pausedUntil = Duration(0);
  node.raft = std::make_unique<raft::Raft>(node.id,
                                           node.initial,
                                           node.disk.content,
                                           this->random.Next(),
                                           this->LocalTime(node),
                                           this->times,
                                           this->limits);
}

void
Simulation::Wipe(std::size_t aNode)
{
  this->anyWiped = true;
  this->nodes[aNode].disk = Disk{};
  this->nodes[aNode].disk.content.voteStateIntact = false;
}

void
Simulation::Pause(std::size_t aNode, Duration aFor)
{
  this->nodes[aNode].pausedUntil = this->now + aFor;
}

void
Simulation::SetLinkBlocked(std::size_t aFrom, std::size_t aTo, bool aBlocked)
{
  if (aBlocked) {
    this->blockedLinks.insert({ aFrom, aTo });
  } else {
    this->blockedLinks.erase({ aFrom, aTo });
  }
}

void
Simulation::CloseLinks(std::size_t aNode)
{
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    if (i != aNode) {
      this->CloseLink(aNode, i);
    }
  }
}

void
Simulation::CloseLink(std::size_t aOne, std::size_t aOther)
{
  for (const auto& [at, peer] :
       { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
    if (this->nodes[at].raft) {
      this->Schedule(this->now,
                     at,
                     this->nodes[at].incarnation,
                     raft::LinkLost{ this->nodes[peer].id });
    }
  }
}

void
Simulation::RestoreLink(std::size_t aOne, std::size_t aOther)
{
  for (const auto& [at, peer] :
       { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
    if (this->nodes[at].raft) {
      this->Schedule(this->now,
                     at,
                     this->nodes[at].incarnation,
                     raft::LinkRestored{ this->nodes[peer].id });
    }
  }
}

void
Simulation::SetInitial(std::size_t aNode, raft::Configuration aInitial)
{
  this->nodes[aNode].initial = std::move(aInitial);
}

bool
Simulation::IsLinkBlocked(std::size_t aFrom, std::size_t aTo) const
{
  return this->blockedLinks.contains({ aFrom, aTo });
}

void
Simulation::HealAll()
{
  this->blockedLinks.clear();
  this->faults = NetworkFaults{};
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->nodes[i].pausedUntil = Duration(0);
    if (!this->nodes[i].raft) {
      this->Restart(i);
    }
  }
}

// Call this only at the start of a run, as the local clock must not jump.
void
Simulation::SetClockRate(std::size_t aNode, double aRate)
{
  this->nodes[aNode].rate = aRate;
}

void
Simulation::Propose(std::size_t aNode, std::size_t aBytes)
{
  const std::uint64_t token = ++this->nextToken;
  std::string& payload = this->proposals[token];
  payload = "value " + std::to_string(token);
  payload.resize(std::max(payload.size(), aBytes), ' ');
  this->Step(aNode, raft::Propose{ token, payload });
}

void
Simulation::Read(std::size_t aNode)
{
  const std::uint64_t token = ++this->nextToken;
  this->reads[token] = this->acknowledged;
  this->Step(aNode, raft::ReadRequest{ token });
}

void
Simulation::Change(raft::ChangeKind aKind, std::size_t aNode)
{
  if (const auto leader = this->LeaderNode()) {
    this->Step(*leader,
               raft::ChangeConfiguration{
                 ++this->nextToken, aKind, this->nodes[aNode].id });
  }
}

void
Simulation::Transfer()
{
  if (const auto leader = this->LeaderNode()) {
    this->Step(*leader, raft::TransferLeadership{ {} });
  }
}

void
Simulation::TransferTo(std::size_t aNode)
{
  if (const auto leader = this->LeaderNode()) {
    this->Step(*leader, raft::TransferLeadership{ this->nodes[aNode].id });
  }
}

// Returns the leader with the highest term: a former leader may not have
// learned of the later term yet.
std::optional<std::size_t>
Simulation::LeaderNode() const
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    const auto& node = this->nodes[i].raft;
    if (node && node->CurrentRole() == raft::Role::Leader &&
        (!best ||
         node->CurrentTerm() > this->nodes[*best].raft->CurrentTerm())) {
      best = i;
    }
  }
  return best;
}

raft::Raft&
Simulation::At(std::size_t aNode)
{
  return *this->nodes[aNode].raft;
}

bool
Simulation::IsUp(std::size_t aNode) const
{
  return this->nodes[aNode].raft != nullptr;
}

raft::LogIndex
Simulation::Applied(std::size_t aNode) const
{
  return this->nodes[aNode].applied;
}

bool
Simulation::Converged() const
{
  const auto leader = this->LeaderNode();
  if (!leader) {
    return false;
  }
  const raft::LogIndex last = this->nodes[*leader].raft->LastIndex();
  return std::all_of(
    this->nodes.begin(), this->nodes.end(), [&](const Node& aNode) {
      return !aNode.raft || aNode.applied == last;
    });
}

bool
Simulation::NoneRecovering() const
{
  return std::all_of(
    this->nodes.begin(), this->nodes.end(), [](const Node& aNode) {
      return aNode.disk.content.voteStateIntact;
    });
}

raft::Configuration
Simulation::AllVoters() const
{
  return this->nodes.front().initial;
}

} // namespace hyssoppaddle::test
