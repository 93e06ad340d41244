// Carries out the effects of the replicated log.
#include "node/Replica.h"

#include <utility>

namespace hyssoppaddle::node {

Replica::Replica(agreement::Raft aRaft, ReplicaHooks aHooks)
  : raft(std::move(aRaft))
  , hooks(std::move(aHooks))
{
}

void
Replica::Step(const agreement::Event& aEvent, Time aNow)
{
  this->waiting.push_back({ aEvent, aNow });
  if (this->stepping) {
    return;
  }
  this->stepping = true;
  while (!this->waiting.empty()) {
    const Waiting next = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->Carry(this->raft.Step(next.event, next.at));
  }
  this->stepping = false;
}

void
Replica::Propose(const work::Batch& aBatch, Time aNow, ProposalCallback aDone)
{
  const std::uint64_t token = ++this->lastToken;
  this->proposals[token] = std::move(aDone);
  this->Step(agreement::Propose{ token, work::EncodeBatch(aBatch) }, aNow);
}

void
Replica::Confirm(Time aNow, ReadCallback aDone)
{
  const std::uint64_t token = ++this->lastToken;
  this->reads[token] = std::move(aDone);
  this->Step(agreement::ReadRequest{ token }, aNow);
}

void
Replica::Carry(agreement::Effects aEffects)
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
            aConcrete.token, ProposalEnd::Committed, aConcrete.index);
        } else if constexpr (std::is_same_v<T, agreement::ProposalFailed>) {
          this->FinishProposal(aConcrete.token,
                               aConcrete.unknown ? ProposalEnd::Undecided
                                                 : ProposalEnd::Rejected,
                               0);
        } else if constexpr (std::is_same_v<T, agreement::ReadReady>) {
          this->FinishRead(aConcrete.token, true);
        } else if constexpr (std::is_same_v<T, agreement::ReadFailed>) {
          this->FinishRead(aConcrete.token, false);
        } else if constexpr (std::is_same_v<T, agreement::RoleChanged>) {
          this->hooks.roleChanged(aConcrete);
        } else {
          this->Carry(aConcrete);
        }
      },
      effect);
  }
  this->verdicts.clear();
}

void
Replica::Carry(agreement::ApplyEntries& aEffect)
{
  for (const agreement::LogEntry& entry : aEffect.entries) {
    this->appliedTerm = entry.term;
    if (entry.kind != agreement::EntryKind::Command) {
      continue;
    }
    const Result<work::Batch> batch = work::DecodeBatch(entry.payload);
    if (!batch) {
      // Every replica refuses the same bytes, so the states stay equal.
      this->hooks.unreadable(batch.error());
      continue;
    }
    std::vector<work::Verdict> result = this->state.Apply(*batch);
    this->hooks.applied(*batch, result);
    if (this->Leads()) {
      this->verdicts[entry.index] = std::move(result);
    }
  }
}

void
Replica::Carry(agreement::RestoreSnapshot& aEffect)
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
                        ProposalEnd aEnd,
                        agreement::LogIndex aIndex)
{
  const auto found = this->proposals.find(aToken);
  if (found == this->proposals.end()) {
    return;
  }
  const ProposalCallback done = std::move(found->second);
  this->proposals.erase(found);
  const auto result = this->verdicts.find(aIndex);
  std::vector<work::Verdict> verdict;
  if (result != this->verdicts.end()) {
    verdict = std::move(result->second);
    this->verdicts.erase(result);
  }
  done(aEnd, verdict);
}

void
Replica::FinishRead(std::uint64_t aToken, bool aConfirmed)
{
  const auto found = this->reads.find(aToken);
  if (found != this->reads.end()) {
    const ReadCallback done = std::move(found->second);
    this->reads.erase(found);
    done(aConfirmed);
  }
}

} // namespace hyssoppaddle::node
