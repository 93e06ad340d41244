// Sends snapshots in chunks to replicas that need entries which the leader has
// compacted away.
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace hyssoppaddle::agreement {

namespace {

// Number of chunks sent without waiting for a reply. Hides the round-trip time
// and bounds the memory in use.
constexpr std::uint64_t kChunksInFlight = 4;

} // namespace

std::uint64_t
SnapshotDigest(std::string_view aBytes)
{
  return XXH64(aBytes.data(), aBytes.size(), 0);
}

void
Raft::Impl::StartSnapshot(const InstanceId& aTo, Progress& aProgress)
{
  if (!this->snapshot) {
    return; // without a snapshot the log begins at 1, so none is needed
  }
  aProgress.state = FlowState::Snapshot;
  aProgress.snapshot = this->snapshot;
  aProgress.ackedOffset = 0;
  aProgress.sentOffset = 0;
  aProgress.inFlight.clear();
  this->SendChunks(aTo, aProgress);
}

void
Raft::Impl::SendChunks(const InstanceId& aTo, Progress& aProgress)
{
  const std::uint64_t total = aProgress.snapshot->bytes.size();
  const std::uint64_t window =
    kChunksInFlight * this->limits.snapshotChunkBytes;
  // An empty snapshot is sent as one empty chunk.
  bool idle = aProgress.sentOffset == aProgress.ackedOffset;
  while (idle || (aProgress.sentOffset < total &&
                  aProgress.sentOffset < aProgress.ackedOffset + window)) {
    this->SendChunk(aTo, aProgress);
    idle = false;
  }
}

void
Raft::Impl::SendChunk(const InstanceId& aTo, Progress& aProgress)
{
  const StoredSnapshot& source = *aProgress.snapshot;
  SnapshotChunk chunk;
  chunk.term = this->currentHardState.term;
  chunk.meta = source.meta;
  chunk.offset = aProgress.sentOffset;
  chunk.totalBytes = source.bytes.size();
  chunk.digest = source.digest;
  chunk.data =
    source.bytes.substr(aProgress.sentOffset, this->limits.snapshotChunkBytes);
  chunk.round = this->round;
  aProgress.sentOffset += chunk.data.size();
  aProgress.lastSent = this->now;
  this->Send(aTo, std::move(chunk));
}

// aNextOffset normally increases; it decreases if the receiver lost its chunks.
void
Raft::Impl::OnChunkAcknowledged(Progress& aProgress, std::uint64_t aNextOffset)
{
  const std::uint64_t total = aProgress.snapshot->bytes.size();
  const bool isRewind = aNextOffset < aProgress.ackedOffset;
  aProgress.ackedOffset = std::min(aNextOffset, total);
  aProgress.sentOffset =
    isRewind ? aProgress.ackedOffset
             : std::max(aProgress.sentOffset, aProgress.ackedOffset);
}

void
Raft::Impl::On(const InstanceId& aFrom, const SnapshotReply& aReply)
{
  Progress* state =
    this->RecordReply(aFrom, aReply.term, aReply.round, aReply.recovery);
  if (state == nullptr) {
    return;
  }
  const bool expected = state->state == FlowState::Snapshot &&
                        state->snapshot->meta.index == aReply.index;
  if (expected && aReply.installed) {
    state->match = std::max(state->match, aReply.index);
    state->state = FlowState::Replicate;
    state->next = state->match + 1;
    state->snapshot.reset();
    state->sentCommit = 0;
    this->SendPending(aFrom, *state);
  } else if (expected && aReply.nextOffset != state->ackedOffset) {
    this->OnChunkAcknowledged(*state, aReply.nextOffset);
    this->SendChunks(aFrom, *state);
  }
  this->AdvanceCommit();
  if (this->role == Role::Leader) {
    this->CheckReadRound();
  }
}

} // namespace hyssoppaddle::agreement
