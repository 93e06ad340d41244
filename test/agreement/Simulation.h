// Virtual-time cluster of real Raft copies with seeded faults. After every step
// it checks the safety rules and records the first violation.
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
  Duration minDelay{ 500 };
  Duration maxDelay{ 500 }; // a spread reorders messages
};

class Simulation
{
public:
  // aVoters voters named n0, n1, ... with empty storage that remembers votes.
  Simulation(std::size_t aVoters,
             std::uint64_t aSeed,
             raft::RaftLimits aLimits = {});

  void Run(Duration aFor);
  // Until aDone() or the time is over; true when done.
  bool RunUntil(const std::function<bool()>& aDone, Duration aAtMost);

  void AddNode(raft::Configuration aInitial, bool aRemembersVotes);
  void Crash(std::size_t aNode); // loses what is not durable
  void Restart(std::size_t aNode);
  void Wipe(std::size_t aNode); // the storage of a stopped node is lost
  void Pause(std::size_t aNode, Duration aFor);
  void Cut(std::size_t aFrom, std::size_t aTo, bool aCut);
  void HealAll();
  void SetClockRate(std::size_t aNode, double aRate);
  void SetFaults(NetworkFaults aFaults) { this->faults = aFaults; }
  void SetSyncTime(Duration aMax) { this->maxSync = aMax; }

  void Propose(std::size_t aNode); // a new unique payload
  void Read(std::size_t aNode);
  void Change(raft::ChangeKind aKind, std::size_t aNode); // at the leader
  void Transfer();

  [[nodiscard]] std::optional<std::size_t> LeaderNode() const;
  [[nodiscard]] raft::Raft& At(std::size_t aNode);
  [[nodiscard]] bool IsUp(std::size_t aNode) const;
  [[nodiscard]] std::size_t Size() const { return this->nodes.size(); }
  [[nodiscard]] raft::LogIndex Applied(std::size_t aNode) const;
  // A leader exists and every running node has applied all it has.
  [[nodiscard]] bool Converged() const;
  // No storage that was lost is still being recovered.
  [[nodiscard]] bool AllRemember() const;
  [[nodiscard]] raft::Configuration AllVoters() const;

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
    std::deque<raft::Persist> writing; // lost in a crash
    std::uint64_t life = 0;
    double rate = 1;
    Duration pausedUntil{};
    raft::LogIndex applied = 0;
    std::uint64_t chain = 0; // hash over all applied payloads
  };
  struct Item
  {
    Duration at{};
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t life = 0; // 0: a message, valid in any life
    raft::Event event;
    bool operator<(const Item& aOther) const
    {
      return std::tie(aOther.at, aOther.order) <
             std::tie(this->at, this->order);
    }
  };

  [[nodiscard]] Time LocalTime(const Node& aNode) const;
  void Step(std::size_t aNode, const raft::Event& aEvent);
  void Schedule(Duration aAt,
                std::size_t aNode,
                std::uint64_t aLife,
                raft::Event aEvent);
  [[nodiscard]] bool RunNext(Duration aEnd);
  void Carry(std::size_t aNode, raft::SendMessage aEffect);
  void Carry(std::size_t aNode, raft::Persist aEffect);
  void Carry(std::size_t aNode, const raft::ApplyEntries& aEffect);
  void Carry(std::size_t aNode, const raft::RestoreSnapshot& aEffect);
  void Carry(std::size_t aNode, const raft::TakeSnapshot& aEffect);
  void Carry(std::size_t aNode, const raft::ProposalCommitted& aEffect);
  void Carry(std::size_t aNode, const raft::ProposalFailed& aEffect);
  void Carry(std::size_t aNode, const raft::ReadReady& aEffect);
  void Carry(std::size_t aNode, const raft::ReadFailed& aEffect);
  void Carry(std::size_t aNode, const raft::RoleChanged& aEffect);
  void Check(const raft::LogEntry& aEntry, std::uint64_t aChain);
  void CheckDurableOnMajority(std::size_t aNode, const raft::LogEntry& aEntry);
  void Fault(const std::string& aText);
  static void WriteTo(raft::RecoveredLog& aDisk, const raft::Persist& aPersist);

  raft::RaftLimits limits;
  NetworkFaults faults;
  Duration maxSync{ 2000 };
  std::deque<Node> nodes;
  std::priority_queue<Item> items;
  std::uint64_t nextOrder = 0;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::map<raft::Term, std::size_t> leaders;
  std::map<raft::LogIndex, raft::LogEntry> committed;
  std::map<raft::LogIndex, std::uint64_t> chains; // state after each index
  raft::LogIndex acknowledged = 0; // highest index that any client may know
  std::map<std::uint64_t, std::string> proposals;
  std::map<std::uint64_t, raft::LogIndex> reads; // token to lowest answer
  std::uint64_t nextToken = 0;
  bool anyWiped = false;
};

} // namespace hyssoppaddle::test

#endif
