// Model check of the Raft implementation: explores all interleavings of three
// replicas up to a fixed depth, with timeouts, deliveries in any order, message
// losses, completed writes, crashes with restart, proposals and a voter change.
// States are identified by a hash of all replicas, disks, messages and
// remaining action budgets.
#include "agreement/Raft.h"
#include "support/TestTrace.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <set>
#include <unordered_set>

using namespace hyssoppaddle;
using namespace hyssoppaddle::agreement;
using hyssoppaddle::test::TestTrace;

namespace {

constexpr std::size_t kReplicas = 3;
#ifdef __SANITIZE_ADDRESS__
// With the sanitizer the full depth takes over a minute.
constexpr int kDepthReduction = 1;
#else
constexpr int kDepthReduction = 0;
#endif

RaftTimes
FixedTimes()
{
  RaftTimes times;
  times.maxElectionTimeout = times.minElectionTimeout;
  return times;
}

struct InFlightMessage
{
  std::size_t from = 0;
  std::size_t to = 0;
  Message message;
  std::uint64_t hash = 0;
};

struct Replica
{
  std::optional<Raft> raft;
  RecoveredLog disk;
  std::deque<Persist> pendingWrites;
  Time clock{};

  Replica() = default;
  Replica(const Replica& aOther)
    : disk(aOther.disk)
    , pendingWrites(aOther.pendingWrites)
    , clock(aOther.clock)
  {
    if (aOther.raft) {
      this->raft.emplace(aOther.raft->Copy());
    }
  }
  Replica(Replica&&) = default;
  Replica& operator=(Replica&&) = default;
};

// Remaining number of faults and client actions on a path.
struct ActionBudget
{
  int timeouts = 0;
  int losses = 0;
  int crashes = 0;
  int proposals = 0;
  int changes = 0;
};

struct ClusterState
{
  std::vector<Replica> replicas;
  std::vector<InFlightMessage> messages;
  ActionBudget budget;
  std::map<Term, std::size_t> leaders;
  std::map<LogIndex, LogEntry> committed;
  std::string violation;
};

Configuration
Voters(std::size_t aCount)
{
  Configuration voters;
  for (std::size_t i = 0; i < aCount; ++i) {
    voters.voters.emplace_back("n" + std::to_string(i));
  }
  return voters;
}

void
Start(ClusterState& aState, std::size_t aIndex, const Configuration& aInitial)
{
  Replica& replica = aState.replicas[aIndex];
  replica.raft.emplace(InstanceId("n" + std::to_string(aIndex)),
                       aInitial,
                       replica.disk,
                       aIndex,
                       replica.clock,
                       FixedTimes());
}

void
Write(RecoveredLog& aDisk, const Persist& aPersist)
{
  aDisk.hardState = aPersist.hardState.value_or(aDisk.hardState);
  if (aPersist.truncateFrom) {
    std::erase_if(aDisk.entries, [&](const LogEntry& aEntry) {
      return aEntry.index >= *aPersist.truncateFrom;
    });
  }
  aDisk.entries.insert(
    aDisk.entries.end(), aPersist.entries.begin(), aPersist.entries.end());
}

void
Commit(ClusterState& aState, const Raft& aRaft, const LogEntry& aEntry)
{
  const auto [found, isNew] =
    aState.committed.try_emplace(aEntry.index, aEntry);
  if (!isNew && found->second != aEntry) {
    aState.violation = "a committed entry changed";
  }
  const auto& voters = aRaft.ActiveConfiguration().voters;
  std::size_t copies = 0;
  for (const InstanceId& voter : voters) {
    const auto index = static_cast<std::size_t>(voter.value[1] - '0');
    const auto& entries = aState.replicas[index].disk.entries;
    copies +=
      std::find(entries.begin(), entries.end(), aEntry) != entries.end();
  }
  if (isNew && copies < voters.size() / 2 + 1) {
    aState.violation = "committed without a durable majority";
  }
}

void
Step(ClusterState& aState, std::size_t aIndex, const Event& aEvent)
{
  Replica& replica = aState.replicas[aIndex];
  Effects effects = replica.raft->Step(aEvent, replica.clock);
  for (Effect& effect : effects) {
    if (auto* send = std::get_if<SendMessage>(&effect)) {
      const auto to = static_cast<std::size_t>(send->to.value[1] - '0');
      const std::uint64_t hash =
        FingerprintOf(send->message) * 31 + aIndex * 7 + to;
      aState.messages.push_back({ aIndex, to, std::move(send->message), hash });
    } else if (auto* persist = std::get_if<Persist>(&effect)) {
      replica.pendingWrites.push_back(std::move(*persist));
    } else if (const auto* apply = std::get_if<ApplyEntries>(&effect)) {
      for (const LogEntry& entry : apply->entries) {
        Commit(aState, *replica.raft, entry);
      }
    }
  }
  if (replica.raft->CurrentRole() == Role::Leader) {
    const auto [found, isNew] =
      aState.leaders.try_emplace(replica.raft->CurrentTerm(), aIndex);
    if (found->second != aIndex) {
      aState.violation = "two leaders in one term";
    }
  }
}

void
Deliver(ClusterState& aState, std::size_t aMessageIndex)
{
  InFlightMessage inFlightMessage = std::move(aState.messages[aMessageIndex]);
  aState.messages.erase(aState.messages.begin() +
                        static_cast<std::ptrdiff_t>(aMessageIndex));
  Step(aState,
       inFlightMessage.to,
       MessageReceived{ InstanceId("n" + std::to_string(inFlightMessage.from)),
                        std::move(inFlightMessage.message) });
}

void
FinishWrite(ClusterState& aState, std::size_t aIndex)
{
  Replica& replica = aState.replicas[aIndex];
  const Persist done = std::move(replica.pendingWrites.front());
  replica.pendingWrites.pop_front();
  Write(replica.disk, done);
  Step(aState, aIndex, Persisted{ done.sequence });
}

void
TimeOut(ClusterState& aState, std::size_t aIndex)
{
  Replica& replica = aState.replicas[aIndex];
  replica.clock = std::max(replica.clock, replica.raft->NextTick());
  Step(aState, aIndex, Tick{});
}

std::uint64_t
HashOf(const ClusterState& aState)
{
  std::uint64_t hash = 14695981039346656037ULL;
  const auto mix = [&](std::uint64_t aValue) {
    hash = (hash ^ aValue) * 1099511628211ULL;
    hash ^= hash >> 29U;
  };
  for (const Replica& replica : aState.replicas) {
    mix(replica.raft->Fingerprint());
    mix(replica.disk.hardState.term);
    mix(std::hash<std::string>{}(replica.disk.hardState.votedFor.value));
    for (const LogEntry& entry : replica.disk.entries) {
      mix(entry.index * 1000 + entry.term);
    }
    mix(replica.pendingWrites.size());
  }
  // Undelivered messages are hashed in sorted order, as any may arrive next.
  std::multiset<std::uint64_t> hashes;
  for (const InFlightMessage& inFlightMessage : aState.messages) {
    hashes.insert(inFlightMessage.hash);
  }
  std::for_each(hashes.begin(), hashes.end(), mix);
  const ActionBudget& left = aState.budget;
  for (const int part : { left.timeouts,
                          left.losses,
                          left.crashes,
                          left.proposals,
                          left.changes }) {
    mix(static_cast<std::uint64_t>(part));
  }
  for (const auto& [term, leader] : aState.leaders) {
    mix(term * 10 + leader);
  }
  mix(aState.committed.size());
  return hash;
}

struct Explorer
{
  Configuration initial = Voters(kReplicas);
  std::unordered_set<std::uint64_t> seen;
  std::vector<ClusterState> nextLevel;
  std::string violation;

  template<typename Action>
  void Try(const ClusterState& aState,
           int ActionBudget::*aCost,
           Action&& aAction)
  {
    if (!this->violation.empty() ||
        (aCost != nullptr && aState.budget.*aCost == 0)) {
      return;
    }
    ClusterState state = aState;
    if (aCost != nullptr) {
      --(state.budget.*aCost);
    }
    aAction(state);
    this->violation = state.violation;
    if (this->seen.insert(HashOf(state)).second) {
      this->nextLevel.push_back(std::move(state));
    }
  }

  void Expand(const ClusterState& aState)
  {
    for (std::size_t at = 0; at < aState.messages.size(); ++at) {
      this->Try(
        aState, nullptr, [&](ClusterState& aNew) { Deliver(aNew, at); });
      this->Try(aState, &ActionBudget::losses, [&](ClusterState& aNew) {
        aNew.messages.erase(aNew.messages.begin() +
                            static_cast<std::ptrdiff_t>(at));
      });
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const Replica& replica = aState.replicas[i];
      if (!replica.pendingWrites.empty()) {
        this->Try(
          aState, nullptr, [&](ClusterState& aNew) { FinishWrite(aNew, i); });
      }
      // A replica outside the configuration without a leader has no timer.
      if (replica.raft->NextTick() != Time::max()) {
        this->Try(aState, &ActionBudget::timeouts, [&](ClusterState& aNew) {
          TimeOut(aNew, i);
        });
      }
      this->Try(aState, &ActionBudget::crashes, [&](ClusterState& aNew) {
        aNew.replicas[i].pendingWrites.clear();
        Start(aNew, i, this->initial);
      });
      if (replica.raft->CurrentRole() == Role::Leader) {
        this->Try(aState, &ActionBudget::proposals, [&](ClusterState& aNew) {
          Step(aNew, i, Propose{ 1, "value" });
        });
        this->Try(aState, &ActionBudget::changes, [&](ClusterState& aNew) {
          const InstanceId other("n" + std::to_string((i + 1) % kReplicas));
          Step(aNew, i, ChangeConfiguration{ 2, ChangeKind::Remove, other });
        });
      }
    }
  }

  // Breadth-first search; returns the number of distinct states.
  std::size_t Run(ClusterState aStart, int aDepth)
  {
    std::vector<ClusterState> level;
    level.push_back(std::move(aStart));
    for (int depth = 0; depth < aDepth && this->violation.empty(); ++depth) {
      this->nextLevel.clear();
      for (const ClusterState& state : level) {
        this->Expand(state);
      }
      level = std::move(this->nextLevel);
    }
    return this->seen.size();
  }
};

ClusterState
StateWithoutLeader(const Configuration& aInitial)
{
  ClusterState state;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    state.replicas.emplace_back();
  }
  for (std::size_t i = 0; i < kReplicas; ++i) {
    Start(state, i, aInitial);
  }
  return state;
}

// n0 is the leader and all replicas have committed one entry.
ClusterState
StateWithLeader(const Configuration& aInitial)
{
  ClusterState state = StateWithoutLeader(aInitial);
  TimeOut(state, 0);
  const auto deliverAll = [&] {
    bool busy = true;
    while (busy) {
      busy = !state.messages.empty();
      if (busy) {
        Deliver(state, 0);
      }
      for (std::size_t i = 0; i < kReplicas; ++i) {
        while (!state.replicas[i].pendingWrites.empty()) {
          busy = true;
          FinishWrite(state, i);
        }
      }
    }
  };
  deliverAll();
  // Moves past the leader lease, so that another replica can campaign at once.
  for (Replica& replica : state.replicas) {
    replica.clock += Duration(std::chrono::milliseconds(100));
  }
  return state;
}

void
Explore(TestTrace& aTrace,
        const char* aName,
        ClusterState (*aStart)(const Configuration&),
        ActionBudget aActionBudget,
        int aDepth)
{
  aTrace.Section(aName, [&] {
    Explorer explorer;
    ClusterState start = aStart(explorer.initial);
    start.budget = aActionBudget;
    const std::size_t states =
      explorer.Run(std::move(start), aDepth - kDepthReduction);
    std::fprintf(stderr,
                 "%s: %zu states to depth %d\n",
                 aName,
                 states,
                 aDepth - kDepthReduction);
    EXPECT_EQUAL(aTrace, explorer.violation, "");
    EXPECT_THAT(aTrace, states > 1000);
  });
}

} // namespace

// Guards against an interleaving that elects two leaders in one term, commits
// an entry without a durable majority or changes a committed entry.
Test(RaftExploration, NoInterleavingBreaksSafety)
{
  TestTrace trace;
  Explore(
    trace, "elections", StateWithoutLeader, ActionBudget{ 3, 1, 1, 0, 0 }, 9);
  Explore(trace,
          "append and crash",
          StateWithLeader,
          ActionBudget{ 1, 1, 1, 1, 0 },
          8);
  Explore(
    trace, "voter change", StateWithLeader, ActionBudget{ 2, 0, 1, 1, 1 }, 8);
}
