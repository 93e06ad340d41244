// Virtual-time cluster of real Raft copies with seeded faults.
#include "agreement/Simulation.h"

#include <algorithm>
#include <functional>

namespace hyssoppaddle::test {

namespace {

const char*
KindOf(const raft::Message& aMessage)
{
  constexpr std::array<const char*, 7> kNames{ "vote",       "vote-reply",
                                               "append",     "append-reply",
                                               "chunk",      "chunk-reply",
                                               "timeout-now" };
  return kNames.at(aMessage.index());
}

std::uint64_t
Mix(std::uint64_t aChain, const std::string& aPayload)
{
  return Random(aChain ^ std::hash<std::string>{}(aPayload)).Next();
}

} // namespace

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
Simulation::AddNode(raft::Configuration aInitial, bool aRemembersVotes)
{
  Node node;
  node.id = InstanceId("n" + std::to_string(this->nodes.size()));
  node.initial = std::move(aInitial);
  node.disk.content.remembersVotes = aRemembersVotes;
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

// Carries out the next message, completed write or due timer before aEnd.
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
  if (!this->items.empty() && this->items.top().at <= tickAt) {
    Item item = this->items.top();
    this->items.pop();
    this->now = std::max(this->now, item.at);
    Node& node = this->nodes[item.node];
    if (!node.raft || (item.life != 0 && item.life != node.life)) {
      return true;
    }
    if (node.pausedUntil > this->now) {
      this->Schedule(node.pausedUntil, item.node, item.life, item.event);
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
                     std::uint64_t aLife,
                     raft::Event aEvent)
{
  this->items.push(
    Item{ aAt, ++this->nextOrder, aNode, aLife, std::move(aEvent) });
}

void
Simulation::Step(std::size_t aNode, const raft::Event& aEvent)
{
  Node& node = this->nodes[aNode];
  if (const auto* done = std::get_if<raft::Persisted>(&aEvent)) {
    while (!node.writing.empty() &&
           node.writing.front().sequence <= done->sequence) {
      WriteTo(node.disk.content, node.writing.front());
      node.writing.pop_front();
    }
  }
  raft::Effects effects = node.raft->Step(aEvent, this->LocalTime(node));
  for (raft::Effect& effect : effects) {
    std::visit([&](auto& aTyped) { this->Carry(aNode, std::move(aTyped)); },
               effect);
  }
  if (node.raft->CurrentRole() == raft::Role::Leader) {
    const auto [found, isNew] =
      this->leaders.try_emplace(node.raft->CurrentTerm(), aNode);
    if (found->second != aNode) {
      this->Fault("two leaders in term " +
                  std::to_string(node.raft->CurrentTerm()));
    }
  }
}

void
Simulation::WriteTo(raft::RecoveredLog& aDisk, const raft::Persist& aPersist)
{
  if (aPersist.hardState) {
    aDisk.hardState = *aPersist.hardState;
    aDisk.remembersVotes = !aPersist.hardState->recovering;
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
  node.writing.clear();
}

void
Simulation::Restart(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  ++node.life;
  node.applied = 0;
  node.chain = 0;
  node.pausedUntil = Duration(0);
  node.raft = std::make_unique<raft::Raft>(node.id,
                                           node.initial,
                                           node.disk.content,
                                           this->random.Next(),
                                           this->LocalTime(node),
                                           raft::RaftTimes{},
                                           this->limits);
}

void
Simulation::Wipe(std::size_t aNode)
{
  this->anyWiped = true;
  this->nodes[aNode].disk = Disk{};
  this->nodes[aNode].disk.content.remembersVotes = false;
}

void
Simulation::Pause(std::size_t aNode, Duration aFor)
{
  this->nodes[aNode].pausedUntil = this->now + aFor;
}

void
Simulation::Cut(std::size_t aFrom, std::size_t aTo, bool aCut)
{
  if (aCut) {
    this->cuts.insert({ aFrom, aTo });
  } else {
    this->cuts.erase({ aFrom, aTo });
  }
}

void
Simulation::HealAll()
{
  this->cuts.clear();
  this->faults = NetworkFaults{};
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->nodes[i].pausedUntil = Duration(0);
    if (!this->nodes[i].raft) {
      this->Restart(i);
    }
  }
}

// The local clock must not jump, so this is for the start of a run.
void
Simulation::SetClockRate(std::size_t aNode, double aRate)
{
  this->nodes[aNode].rate = aRate;
}

void
Simulation::Propose(std::size_t aNode)
{
  const std::uint64_t token = ++this->nextToken;
  this->proposals[token] = "value " + std::to_string(token);
  this->Step(aNode, raft::Propose{ token, this->proposals[token] });
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
    this->Step(*leader, raft::TransferLeadership{});
  }
}

// The leader with the highest term: an older one may not know yet.
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
Simulation::AllRemember() const
{
  return std::all_of(
    this->nodes.begin(), this->nodes.end(), [](const Node& aNode) {
      return aNode.disk.content.remembersVotes;
    });
}

raft::Configuration
Simulation::AllVoters() const
{
  return this->nodes.front().initial;
}

void
Simulation::Carry(std::size_t aNode, raft::SendMessage aEffect)
{
  const auto target =
    std::find_if(this->nodes.begin(),
                 this->nodes.end(),
                 [&](const Node& aOther) { return aOther.id == aEffect.to; });
  ++this->sent[KindOf(aEffect.message)];
  if (const auto* chunk = std::get_if<raft::SnapshotChunk>(&aEffect.message)) {
    this->chunkBytes += chunk->data.size();
  }
  const auto to =
    static_cast<std::size_t>(std::distance(this->nodes.begin(), target));
  if (target == this->nodes.end() || this->cuts.contains({ aNode, to }) ||
      this->random.Fraction() < this->faults.loss) {
    return;
  }
  const Duration delay =
    this->random.Between(this->faults.minDelay, this->faults.maxDelay);
  this->Schedule(
    this->now + delay,
    to,
    0,
    raft::MessageReceived{ this->nodes[aNode].id, std::move(aEffect.message) });
}

void
Simulation::Carry(std::size_t aNode, raft::Persist aEffect)
{
  Node& node = this->nodes[aNode];
  const Duration sync = this->random.Between(Duration(1), this->maxSync);
  const std::uint64_t sequence = aEffect.sequence;
  node.writing.push_back(std::move(aEffect));
  this->Schedule(
    this->now + sync, aNode, node.life, raft::Persisted{ sequence });
}

void
Simulation::Carry(std::size_t aNode, const raft::ApplyEntries& aEffect)
{
  Node& node = this->nodes[aNode];
  for (const raft::LogEntry& entry : aEffect.entries) {
    if (entry.index != node.applied + 1) {
      this->Fault("entry " + std::to_string(entry.index) + " applied after " +
                  std::to_string(node.applied));
    }
    node.applied = entry.index;
    node.chain = Mix(node.chain, entry.payload);
    if (!this->committed.contains(entry.index)) {
      this->CheckDurableOnMajority(aNode, entry);
    }
    this->Check(entry, node.chain);
  }
}

void
Simulation::Check(const raft::LogEntry& aEntry, std::uint64_t aChain)
{
  const auto [found, isNew] = this->committed.try_emplace(aEntry.index, aEntry);
  if (!isNew && found->second != aEntry) {
    this->Fault("committed entry " + std::to_string(aEntry.index) + " changed");
  }
  this->chains.try_emplace(aEntry.index, aChain);
  this->acknowledged = std::max(this->acknowledged, aEntry.index);
}

// Whoever commits an entry first must have it on the disks of a majority.
void
Simulation::CheckDurableOnMajority(std::size_t aNode,
                                   const raft::LogEntry& aEntry)
{
  if (this->anyWiped) {
    return;
  }
  const auto& voters = this->nodes[aNode].raft->ActiveConfiguration().voters;
  std::size_t copies = 0;
  for (const Node& node : this->nodes) {
    const auto& disk = node.disk.content;
    const bool has =
      disk.snapshotMeta.index >= aEntry.index ||
      std::find(disk.entries.begin(), disk.entries.end(), aEntry) !=
        disk.entries.end();
    const bool votes =
      std::binary_search(voters.begin(), voters.end(), node.id);
    copies += has && votes ? 1 : 0;
  }
  if (copies < voters.size() / 2 + 1) {
    this->Fault("entry " + std::to_string(aEntry.index) +
                " committed with only " + std::to_string(copies) +
                " durable copies");
  }
}

void
Simulation::Carry(std::size_t aNode, const raft::RestoreSnapshot& aEffect)
{
  Node& node = this->nodes[aNode];
  node.applied = aEffect.meta.index;
  node.chain = std::stoull(aEffect.bytes);
  ++this->snapshotsInstalled;
  const auto known = this->chains.find(aEffect.meta.index);
  if (known == this->chains.end() || known->second != node.chain) {
    this->Fault("snapshot at " + std::to_string(aEffect.meta.index) +
                " differs from the applied entries");
  }
}

void
Simulation::Carry(std::size_t aNode, const raft::TakeSnapshot& aEffect)
{
  Node& node = this->nodes[aNode];
  if (aEffect.meta.index != node.applied) {
    this->Fault("snapshot asked for an index that is not the applied one");
  }
  // Padded, so that it takes several chunks.
  std::string bytes = std::to_string(node.chain) + std::string(3000, ' ');
  raft::Persist write;
  write.snapshotMeta = aEffect.meta;
  write.snapshotBytes = bytes;
  WriteTo(node.disk.content, write);
  this->Schedule(this->now + Duration(1),
                 aNode,
                 node.life,
                 raft::SnapshotTaken{ aEffect.meta, std::move(bytes) });
}

void
Simulation::Carry(std::size_t /*aNode*/, const raft::ProposalCommitted& aEffect)
{
  const auto proposal = this->proposals.find(aEffect.token);
  if (proposal == this->proposals.end()) {
    return; // a configuration change
  }
  ++this->committedProposals;
  if (this->committed[aEffect.index].payload != proposal->second) {
    this->Fault("token " + std::to_string(aEffect.token) +
                " reported at the index of another proposal");
  }
}

void
Simulation::Carry(std::size_t /*aNode*/,
                  const raft::ProposalFailed& /*aEffect*/)
{
  ++this->failedProposals;
}

void
Simulation::Carry(std::size_t /*aNode*/, const raft::ReadReady& aEffect)
{
  ++this->readsAnswered;
  if (aEffect.index < this->reads[aEffect.token]) {
    this->Fault("stale read: index " + std::to_string(aEffect.index) +
                " below " + std::to_string(this->reads[aEffect.token]));
  }
}

void
Simulation::Carry(std::size_t /*aNode*/, const raft::ReadFailed& /*aEffect*/)
{
}

void
Simulation::Carry(std::size_t /*aNode*/, const raft::RoleChanged& /*aEffect*/)
{
}

void
Simulation::Fault(const std::string& aText)
{
  if (this->violation.empty()) {
    this->violation =
      aText + " at " + std::to_string(this->now.count()) + " us";
  }
}

} // namespace hyssoppaddle::test
