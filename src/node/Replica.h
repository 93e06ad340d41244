// One replica of the state of stepped jobs: the replicated log, its storage and
// the state machine, and the proposals and reads that wait for it.
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

// What a proposal came to. Undecided: it may still be committed by a later
// leader.
enum class ProposalResult : std::uint8_t
{
  Committed,
  Rejected, // surely not recorded
  Undecided,
};

struct ReplicaHooks
{
  std::function<void(const InstanceId&, agreement::Message)> send;
  std::function<void(agreement::Persist)> persist;
  std::function<void(agreement::SnapshotMeta, std::string)> saveSnapshot;
  // After the batch was applied here.
  std::function<void(const work::Batch&, std::span<const work::Verdict>)>
    applied;
  std::function<void()> restored; // the state came as a snapshot
  std::function<void(const agreement::RoleChanged&)> roleChanged;
  // Bytes of the log or of a snapshot that this version cannot read.
  std::function<void(const Error&)> unreadable;
};

class Replica
{
public:
  using ProposalCallback =
    std::function<void(ProposalResult, std::span<const work::Verdict>)>;
  using ReadCallback = std::function<void(bool aConfirmed)>;

  Replica(agreement::Raft aRaft, ReplicaHooks aHooks);

  void Step(const agreement::Event& aEvent, Time aNow);
  // Proposes on the leader; ends at once as Rejected elsewhere.
  void Propose(const work::Batch& aBatch, Time aNow, ProposalCallback aDone);
  // Confirms that this replica leads and has applied all that was committed
  // before the call.
  void Confirm(Time aNow, ReadCallback aDone);

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
  void Execute(agreement::Effects aEffects);
  void Execute(agreement::ApplyEntries& aEffect);
  void Execute(agreement::RestoreSnapshot& aEffect);
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
  // Events of callbacks wait until the effects before them are carried out.
  std::deque<QueuedEvent> eventQueue;
  bool stepping = false;
  work::WorkState state;
  agreement::Term appliedTerm = 0; // of the last entry applied
  std::uint64_t lastToken = 0;
  std::map<std::uint64_t, ProposalCallback> pendingProposals;
  std::map<std::uint64_t, ReadCallback> pendingReads;
  // Verdicts of entries whose proposal is not yet answered, by index.
  std::map<agreement::LogIndex, std::vector<work::Verdict>> verdicts;
};

} // namespace hyssoppaddle::node

#endif
