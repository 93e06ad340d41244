// One replica of the state of jobs made of steps: the Raft log, its storage
// hooks and the state machine, and the pending proposals and reads.
#ifndef hyssoppaddle_node_Replica_h
#define hyssoppaddle_node_Replica_h

#include "agreement/Raft.h"
#include "work/WorkState.h"

#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace hyssoppaddle::node {

// Result of a proposal. An undecided proposal may still be committed by a later
// leader.
enum class ProposalResult : std::uint8_t
{
  Committed,
  Rejected, // will never be committed
  Undecided,
};

struct ReplicaHooks
{
  std::function<void(const InstanceId&, agreement::Message)> send;
  std::function<void(agreement::Persist)> persist;
  std::function<void(agreement::SnapshotMeta, std::string)> saveSnapshot;
  // Called after the batch was applied to the state of this replica.
  std::function<void(const work::Batch&, std::span<const work::Verdict>)>
    applied;
  std::function<void()> restored; // the state was replaced by a snapshot
  std::function<void(const agreement::RoleChanged&)> roleChanged;
  // Called for log entries or snapshots that this version cannot decode.
  std::function<void(const Error&)> unreadable;
};

class Replica
{
public:
  using ProposalCallback =
    std::function<void(ProposalResult, std::span<const work::Verdict>)>;
  using ReadCallback = std::function<void(bool aConfirmed)>;

  Replica(agreement::Raft aRaft, ReplicaHooks aHooks);

  // An exception ends the process: the replica would be in the middle of a
  // step, and its state could differ from that of the others.
  void Step(const agreement::Event& aEvent, Time aNow) noexcept;
  // Proposes a batch. On a node that is not the leader, the result is Rejected
  // at once.
  void Propose(const work::Batch& aBatch, Time aNow, ProposalCallback aDone);
  // Confirms that this replica is the leader and has applied every entry that
  // was committed before the call.
  void Confirm(Time aNow, ReadCallback aDone);

  void DelayCampaigns(Duration aDelay) { this->raft.DelayCampaigns(aDelay); }

  [[nodiscard]] const work::WorkState& State() const { return this->state; }
  [[nodiscard]] const agreement::Raft& RaftState() const { return this->raft; }
  [[nodiscard]] bool IsLeader() const
  {
    return this->raft.CurrentRole() == agreement::Role::Leader;
  }
  // True on a leader that has applied an entry of its own term: its state then
  // contains everything committed by earlier leaders.
  [[nodiscard]] bool HasCaughtUp() const
  {
    return this->IsLeader() && this->appliedTerm == this->raft.CurrentTerm();
  }

private:
  void ExecuteEffect(agreement::Effects aEffects);
  void ExecuteEffect(agreement::ApplyEntries& aEffect);
  void ExecuteEffect(agreement::RestoreSnapshot& aEffect);
  void FinishProposal(std::uint64_t aToken,
                      ProposalResult aResult,
                      agreement::LogIndex aIndex);
  void FinishRead(std::uint64_t aToken, bool aConfirmed);

  struct QueuedEvent
  {
    agreement::Event event;
    Time time{};
  };

  agreement::Raft raft;
  ReplicaHooks hooks;
  // Events raised by callbacks are queued until all effects of the current
  // event are executed.
  std::deque<QueuedEvent> eventQueue;
  bool stepping = false;
  work::WorkState state;
  agreement::Term appliedTerm = 0; // term of the last applied entry
  std::uint64_t lastToken = 0;
  std::map<std::uint64_t, ProposalCallback> pendingProposals;
  std::map<std::uint64_t, ReadCallback> pendingReads;
  // Verdicts of applied entries whose proposal is not yet answered, by log
  // index.
  std::map<agreement::LogIndex, std::vector<work::Verdict>> verdicts;
};

} // namespace hyssoppaddle::node

#endif
