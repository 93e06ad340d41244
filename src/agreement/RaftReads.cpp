// Confirmed reads: one round of appends, answered by a majority, proves that no
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
  this->waitingReads.push_back(aEvent.token);
  this->StartReadRound();
}

// An earlier leader may have committed entries that this one does not yet know
// to be committed.
bool
Raft::Impl::CommittedInTerm() const
{
  return this->commitIndex >= this->termStart;
}

// At most one round at a time: reads that arrive meanwhile share the next one,
// so that the number of messages does not grow with the number of reads.
void
Raft::Impl::StartReadRound()
{
  const bool busy = this->reading.round != 0;
  if (busy || this->waitingReads.empty() || !this->CommittedInTerm()) {
    return;
  }
  this->reading.round = ++this->round;
  this->reading.index = this->commitIndex;
  this->reading.tokens = std::exchange(this->waitingReads, {});
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
  if (this->reading.round == 0 || !this->RoundConfirmed()) {
    return;
  }
  const ReadRound done = std::exchange(this->reading, {});
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
             found->second.ackedRound >= this->reading.round;
    }));
  return answered >= this->Majority();
}

} // namespace hyssoppaddle::agreement
