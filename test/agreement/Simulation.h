// Cluster of real Raft replicas in virtual time with seeded faults. Checks the
// safety rules after each step and records the first violation.
#ifndef hyssoppaddle_test_agreement_Simulation_h
#define hyssoppaddle_test_agreement_Simulation_h

#include "agreement/Raft.h"
#include "base/Random.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::test {

namespace raft = hyssoppaddle::agreement;

struct NetworkFaults
{
  double loss = 0;
  Duration minDelay{ std::chrono::microseconds(500) };
  // Larger than minDelay to reorder messages.
  Duration maxDelay{ std::chrono::microseconds(500) };
};

class Simulation
{
public:
  // Creates voters named n0, n1, ... whose storage is empty but not lost.
  Simulation(std::size_t aVoters,
             std::uint64_t aSeed,
             raft::RaftLimits aLimits = {});

  void Run(Duration aFor);
  // Runs until aDone() returns true or the time is over. Returns whether it is
  // done.
  bool RunUntil(const std::function<bool()>& aDone, Duration aAtMost);

  void AddNode(raft::Configuration aInitial, bool aVoteStateIntact);
  void Crash(std::size_t aNode); // loses data that is not durable
  void Restart(std::size_t aNode);
  void Wipe(std::size_t aNode); // erases the storage of a stopped node
  void Pause(std::size_t aNode, Duration aFor);
  void SetLinkBlocked(std::size_t aFrom, std::size_t aTo, bool aBlocked);
  // The connections between the node and the others are closed, and both ends
  // notice it at once. Messages still arrive unless the links are blocked.
  void CloseLinks(std::size_t aNode);
  void CloseLink(std::size_t aOne, std::size_t aOther);
  void RestoreLink(std::size_t aOne, std::size_t aOther);
  // Replaces the bootstrap configuration that the node uses without a log.
  void SetInitial(std::size_t aNode, raft::Configuration aInitial);
  [[nodiscard]] bool IsLinkBlocked(std::size_t aFrom, std::size_t aTo) const;
  // Ends all network faults and pauses and restarts all stopped nodes.
  void HealAll();
  void SetClockRate(std::size_t aNode, double aRate);
  void SetFaults(NetworkFaults aFaults) { this->faults = aFaults; }
  void SetSyncTime(Duration aMax) { this->maxSync = aMax; }

  // Proposes a unique payload of at least aBytes.
  void Propose(std::size_t aNode, std::size_t aBytes = 0);
  void Read(std::size_t aNode);
  void Change(raft::ChangeKind aKind, std::size_t aNode); // at the leader
  void Transfer();
  void TransferTo(std::size_t aNode);

  [[nodiscard]] std::optional<std::size_t> LeaderNode() const;
  [[nodiscard]] raft::Raft& At(std::size_t aNode);
  [[nodiscard]] bool IsUp(std::size_t aNode) const;
  [[nodiscard]] std::size_t Size() const { return this->nodes.size(); }
  [[nodiscard]] raft::LogIndex Applied(std::size_t aNode) const;
  // True if there is a leader and each running node has applied the whole log
  // of the leader.
  [[nodiscard]] bool Converged() const;
  // True if no node is still recovering from the loss of its storage.
  [[nodiscard]] bool NoneRecovering() const;
  [[nodiscard]] raft::Configuration AllVoters() const;

  raft::RaftTimes times; // of the replicas that are started from now on
  std::string violation; // empty while all rules hold
  std::uint64_t committedProposals = 0;
  std::uint64_t failedProposals = 0;
  std::uint64_t readsAnswered = 0;
  std::uint64_t snapshotsInstalled = 0;
  std::map<std::string, std::uint64_t> sent; // messages by kind
  std::uint64_t chunkBytes = 0;              // snapshot data sent
  Random random;
  Duration now{};

private:
  struct Disk
  {
    raft::RecoveredLog content;
    bool wiped = false;
  };
  struct Node
  {
    InstanceId id;
    raft::Configuration initial;
    std::unique_ptr<raft::Raft> raft;
    Disk disk;
    std::deque<raft::Persist> pendingWrites; // lost in a crash
    std::uint64_t incarnation = 0;
    double rate = 1;
    Duration pausedUntil{};
    raft::LogIndex applied = 0;
    std::uint64_t payloadHash = 0; // hash over all applied payloads
  };
  struct ScheduledEvent
  {
    Duration at{};
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t incarnation = 0; // 0: a message, valid in any incarnation
    raft::Event event;
    bool operator<(const ScheduledEvent& aOther) const
    {
      return std::tie(aOther.at, aOther.order) <
             std::tie(this->at, this->order);
    }
  };

  [[nodiscard]] Time LocalTime(const Node& aNode) const;
  void Step(std::size_t aNode, const raft::Event& aEvent);
  void Schedule(Duration aAt,
                std::size_t aNode,
                std::uint64_t aIncarnation,
                raft::Event aEvent);
  [[nodiscard]] bool RunNext(Duration aEnd);
  void Execute(std::size_t aNode, raft::SendMessage aEffect);
  void Execute(std::size_t aNode, raft::Persist aEffect);
  void Execute(std::size_t aNode, const raft::ApplyEntries& aEffect);
  void Execute(std::size_t aNode, const raft::RestoreSnapshot& aEffect);
  void Execute(std::size_t aNode, const raft::TakeSnapshot& aEffect);
  void Execute(std::size_t aNode, const raft::ProposalCommitted& aEffect);
  void Execute(std::size_t aNode, const raft::ProposalFailed& aEffect);
  void Execute(std::size_t aNode, const raft::ReadReady& aEffect);
  void Execute(std::size_t aNode, const raft::ReadFailed& aEffect);
  void Execute(std::size_t aNode, const raft::RoleChanged& aEffect);
  void Check(const raft::LogEntry& aEntry, std::uint64_t aPayloadHash);
  void CheckDurableOnMajority(std::size_t aNode, const raft::LogEntry& aEntry);
  void RecordViolation(const std::string& aText);
  static void WriteTo(raft::RecoveredLog& aDisk, const raft::Persist& aPersist);

  raft::RaftLimits limits;
  NetworkFaults faults;
  Duration maxSync{ std::chrono::milliseconds(2) };
  std::deque<Node> nodes;
  std::priority_queue<ScheduledEvent> scheduledEvents;
  std::uint64_t nextOrder = 0;
  std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
  std::map<raft::Term, std::size_t> leaders;
  std::map<raft::LogIndex, raft::LogEntry> committed;
  std::map<raft::LogIndex, std::uint64_t> payloadHashes; // hash at each index
  raft::LogIndex acknowledged = 0; // highest index that was applied anywhere
  std::map<std::uint64_t, std::string> proposals;
  std::map<std::uint64_t, raft::LogIndex> reads; // token to lowest valid index
  std::uint64_t nextToken = 0;
  bool anyWiped = false;
};

} // namespace hyssoppaddle::test

#endif
