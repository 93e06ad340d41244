// Executes the effects of the Raft state machine.
#include "node/Replica.h"

#include <utility>

namespace hyssoppaddle::node {

Replica::Replica(agreement::Raft aRaft, ReplicaHooks aHooks)
  : raft(std::move(aRaft))
  , hooks(std::move(aHooks))
{
}

void
Replica::Step(const agreement::Event& aEvent, Time aNow) noexcept
{
  this->eventQueue.push_back({ aEvent, aNow });
  if (this->stepping) {
    return;
  }
  this->stepping = true;
  while (!this->eventQueue.empty()) {
    const QueuedEvent next = std::move(this->eventQueue.front());
    this->eventQueue.pop_front();
    this->ExecuteEffect(this->raft.Step(next.event, next.time));
  }
  this->stepping = false;
}

void
Replica::Propose(const work::Batch& aBatch, Time aNow, ProposalCallback aDone)
{
  const std::uint64_t token = ++this->lastToken;
  this->pendingProposals[token] = std::move(aDone);
  this->Step(agreement::Propose{ token, work::EncodeBatch(aBatch) }, aNow);
}

void
Replica::Confirm(Time aNow, ReadCallback aDone)
{
  const std::uint64_t token = ++this->lastToken;
  this->pendingReads[token] = std::move(aDone);
  this->Step(agreement::ReadRequest{ token }, aNow);
}

void
Replica::ExecuteEffect(agreement::Effects aEffects)
{
  for (agreement::Effect& effect : aEffects) {
    std::visit(
      [this](auto& aConcrete) {
        using T = std::decay_t<decltype(aConcrete)>;
        if constexpr (std::is_same_v<T, agreement::SendMessage>) {
          this->hooks.send(aConcrete.to, std::move(aConcrete.message));
        } else if constexpr (std::is_same_v<T, agreement::Persist>) {
          this->hooks.persist(std::move(aConcrete));
        } else if constexpr (std::is_same_v<T, agreement::TakeSnapshot>) {
          this->hooks.saveSnapshot(aConcrete.meta,
                                   work::EncodeTables(this->state.Tables()));
        } else if constexpr (std::is_same_v<T, agreement::ProposalCommitted>) {
          this->FinishProposal(
            aConcrete.token, ProposalResult::Committed, aConcrete.index);
        } else if constexpr (std::is_same_v<T, agreement::ProposalFailed>) {
          this->FinishProposal(aConcrete.token,
                               aConcrete.unknown ? ProposalResult::Undecided
                                                 : ProposalResult::Rejected,
                               0);
        } else if constexpr (std::is_same_v<T, agreement::ReadReady>) {
          this->FinishRead(aConcrete.token, true);
        } else if constexpr (std::is_same_v<T, agreement::ReadFailed>) {
          this->FinishRead(aConcrete.token, false);
        } else if constexpr (std::is_same_v<T, agreement::RoleChanged>) {
          this->hooks.roleChanged(aConcrete);
        } else {
          this->ExecuteEffect(aConcrete);
        }
      },
      effect);
  }
  this->verdicts.clear();
}

void
Replica::ExecuteEffect(agreement::ApplyEntries& aEffect)
{
  for (const agreement::LogEntry& entry : aEffect.entries) {
    this->appliedTerm = entry.term;
    if (entry.kind != agreement::EntryKind::Command) {
      continue;
    }
    const Result<work::Batch> batch = work::DecodeBatch(entry.payload);
    if (!batch) {
      // Every replica skips the same undecodable entry, so the states stay
      // equal.
      this->hooks.unreadable(batch.error());
      continue;
    }
    std::vector<work::Verdict> result = this->state.Apply(*batch);
    this->hooks.applied(*batch, result);
    if (this->IsLeader()) {
      this->verdicts[entry.index] = std::move(result);
    }
  }
}

void
Replica::ExecuteEffect(agreement::RestoreSnapshot& aEffect)
{
  Result<work::WorkTables> tables = work::DecodeTables(aEffect.bytes);
  if (!tables) {
    this->hooks.unreadable(tables.error());
    return;
  }
  this->state.Restore(std::move(*tables));
  this->appliedTerm = aEffect.meta.term;
  this->hooks.restored();
}

void
Replica::FinishProposal(std::uint64_t aToken,
                        ProposalResult aResult,
                        agreement::LogIndex aIndex)
{
  const auto found = this->pendingProposals.find(aToken);
  if (found == this->pendingProposals.end()) {
    return;
  }
  const ProposalCallback done = std::move(found->second);
  this->pendingProposals.erase(found);
  const auto result = this->verdicts.find(aIndex);
  std::vector<work::Verdict> verdict;
  if (result != this->verdicts.end()) {
    verdict = std::move(result->second);
    this->verdicts.erase(result);
  }
  done(aResult, verdict);
}

void
Replica::FinishRead(std::uint64_t aToken, bool aConfirmed)
{
  const auto found = this->pendingReads.find(aToken);
  if (found != this->pendingReads.end()) {
    const ReadCallback done = std::move(found->second);
    this->pendingReads.erase(found);
    done(aConfirmed);
  }
}

} // namespace hyssoppaddle::node
