// Linearizable reads: a round of appends that a majority answers proves that no
// later leader had committed anything when the round began.
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::agreement {

void
Raft::Impl::Handle(const ReadRequest& aEvent)
{
  if (this->role != Role::Leader) {
    this->effects.emplace_back(ReadFailed{ aEvent.token, this->leader });
    return;
  }
  this->pendingReads.push_back(aEvent.token);
  this->StartReadRound();
}

// Until this leader has committed an entry of its own term, an earlier leader
// may have committed entries that are beyond this leader's commit index.
bool
Raft::Impl::CommittedInTerm() const
{
  return this->commitIndex >= this->termStart;
}

// Runs at most one round at a time. Reads that arrive during a round share the
// next one, so the number of messages does not grow with the number of reads.
void
Raft::Impl::StartReadRound()
{
  const bool busy = this->activeReadRound.round != 0;
  if (busy || this->pendingReads.empty() || !this->CommittedInTerm()) {
    return;
  }
  this->activeReadRound.round = ++this->round;
  this->activeReadRound.index = this->commitIndex;
  this->activeReadRound.tokens = std::exchange(this->pendingReads, {});
  for (auto& [replica, state] : this->progress) {
    if (this->IsVoter(replica)) {
      this->SendAppend(replica, state, false);
    }
  }
  this->CheckReadRound();
}

void
Raft::Impl::CheckReadRound()
{
  if (this->activeReadRound.round == 0 || !this->RoundConfirmed()) {
    return;
  }
  const ReadRound done = std::exchange(this->activeReadRound, {});
  for (const std::uint64_t token : done.tokens) {
    this->effects.emplace_back(ReadReady{ token, done.index });
  }
  this->StartReadRound();
}

bool
Raft::Impl::RoundConfirmed() const
{
  const auto& voters = this->log.ActiveConfiguration().voters;
  const auto answered = static_cast<std::size_t>(
    std::count_if(voters.begin(), voters.end(), [&](const InstanceId& aVoter) {
      if (aVoter == this->self) {
        return true;
      }
      const auto found = this->progress.find(aVoter);
      return found != this->progress.end() && found->second.recovery == 0 &&
             found->second.ackedRound >= this->activeReadRound.round;
    }));
  return answered >= this->Majority();
}

} // namespace hyssoppaddle::agreement
