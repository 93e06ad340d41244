// Executes the effects of the simulated replicas and checks the safety rules.
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
Mix(std::uint64_t aPayloadHash, const std::string& aPayload)
{
  return Random(aPayloadHash ^ std::hash<std::string>{}(aPayload)).Next();
}

} // namespace

void
Simulation::Execute(std::size_t aNode, raft::SendMessage aEffect)
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
  if (target == this->nodes.end() ||
      this->blockedLinks.contains({ aNode, to }) ||
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
Simulation::Execute(std::size_t aNode, raft::Persist aEffect)
{
  Node& node = this->nodes[aNode];
  const Duration sync = this->random.Between(Duration(1), this->maxSync);
  const std::uint64_t sequence = aEffect.sequence;
  node.pendingWrites.push_back(std::move(aEffect));
  this->Schedule(
    this->now + sync, aNode, node.incarnation, raft::Persisted{ sequence });
}

void
Simulation::Execute(std::size_t aNode, const raft::ApplyEntries& aEffect)
{
  Node& node = this->nodes[aNode];
  for (const raft::LogEntry& entry : aEffect.entries) {
    if (entry.index != node.applied + 1) {
      this->RecordViolation("entry " + std::to_string(entry.index) +
                            " applied after " + std::to_string(node.applied));
    }
    node.applied = entry.index;
    node.payloadHash = Mix(node.payloadHash, entry.payload);
    if (!this->committed.contains(entry.index)) {
      this->CheckDurableOnMajority(aNode, entry);
    }
    this->Check(entry, node.payloadHash);
  }
}

void
Simulation::Check(const raft::LogEntry& aEntry, std::uint64_t aPayloadHash)
{
  const auto [found, isNew] = this->committed.try_emplace(aEntry.index, aEntry);
  if (!isNew && found->second != aEntry) {
    this->RecordViolation("committed entry " + std::to_string(aEntry.index) +
                          " changed");
  }
  this->payloadHashes.try_emplace(aEntry.index, aPayloadHash);
  this->acknowledged = std::max(this->acknowledged, aEntry.index);
}

// When an entry is first committed, it must be on the disks of a majority.
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
    this->RecordViolation("entry " + std::to_string(aEntry.index) +
                          " committed with only " + std::to_string(copies) +
                          " durable copies");
  }
}

void
Simulation::Execute(std::size_t aNode, const raft::RestoreSnapshot& aEffect)
{
  Node& node = this->nodes[aNode];
  node.applied = aEffect.meta.index;
  node.payloadHash = std::stoull(aEffect.bytes);
  ++this->snapshotsInstalled;
  const auto known = this->payloadHashes.find(aEffect.meta.index);
  if (known == this->payloadHashes.end() || known->second != node.payloadHash) {
    this->RecordViolation("snapshot at " + std::to_string(aEffect.meta.index) +
                          " differs from the applied entries");
  }
}

void
Simulation::Execute(std::size_t aNode, const raft::TakeSnapshot& aEffect)
{
  Node& node = this->nodes[aNode];
  if (aEffect.meta.index != node.applied) {
    this->RecordViolation(
      "snapshot requested for an index other than the applied one");
  }
  // Padded, so that the transfer needs several chunks.
  std::string bytes = std::to_string(node.payloadHash) + std::string(3000, ' ');
  raft::Persist write;
  write.snapshotMeta = aEffect.meta;
  write.snapshotBytes = bytes;
  WriteTo(node.disk.content, write);
  this->Schedule(this->now + Duration(1),
                 aNode,
                 node.incarnation,
                 raft::SnapshotTaken{ aEffect.meta, std::move(bytes) });
}

void
Simulation::Execute(std::size_t /*aNode*/,
                    const raft::ProposalCommitted& aEffect)
{
  const auto proposal = this->proposals.find(aEffect.token);
  if (proposal == this->proposals.end()) {
    return; // a configuration change
  }
  ++this->committedProposals;
  if (this->committed[aEffect.index].payload != proposal->second) {
    this->RecordViolation("token " + std::to_string(aEffect.token) +
                          " reported at the index of another proposal");
  }
}

void
Simulation::Execute(std::size_t /*aNode*/,
                    const raft::ProposalFailed& /*aEffect*/)
{
  ++this->failedProposals;
}

void
Simulation::Execute(std::size_t /*aNode*/, const raft::ReadReady& aEffect)
{
  ++this->readsAnswered;
  if (aEffect.index < this->reads[aEffect.token]) {
    this->RecordViolation("stale read: index " + std::to_string(aEffect.index) +
                          " below " +
                          std::to_string(this->reads[aEffect.token]));
  }
}

void
Simulation::Execute(std::size_t /*aNode*/, const raft::ReadFailed& /*aEffect*/)
{
}

void
Simulation::Execute(std::size_t /*aNode*/, const raft::RoleChanged& /*aEffect*/)
{
}

void
Simulation::RecordViolation(const std::string& aText)
{
  if (this->violation.empty()) {
    this->violation =
      aText + " at " + std::to_string(this->now.count()) + " us";
  }
}

} // namespace hyssoppaddle::test
