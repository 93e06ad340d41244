// Effects of the simulated replicas, and the safety checks on them.
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
