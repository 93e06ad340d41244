// Explores all interleavings of three copies of the real log to a stated depth:
// timeouts, deliveries in any order, losses, completed writes, crashes with
// restart, proposals and a change of the voters. States are told apart by the
// hash of all replicas, disks, messages and remaining faults.
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
constexpr int kDepthCut = 1; // the full depth takes over a minute sanitized
#else
constexpr int kDepthCut = 0;
#endif

RaftTimes
FixedTimes()
{
  RaftTimes times;
  times.maxElectionTimeout = times.minElectionTimeout;
  return times;
}

struct Flight
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
  std::deque<Persist> writing;
  Time clock{};

  Replica() = default;
  Replica(const Replica& aOther)
    : disk(aOther.disk)
    , writing(aOther.writing)
    , clock(aOther.clock)
  {
    if (aOther.raft) {
      this->raft.emplace(aOther.raft->Copy());
    }
  }
  Replica(Replica&&) = default;
  Replica& operator=(Replica&&) = default;
};

// Faults and calls that may still happen on a path.
struct Budget
{
  int timeouts = 0;
  int losses = 0;
  int crashes = 0;
  int proposals = 0;
  int changes = 0;
};

struct World
{
  std::vector<Replica> replicas;
  std::vector<Flight> flights;
  Budget budget;
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
Start(World& aWorld, std::size_t aIndex, const Configuration& aInitial)
{
  Replica& replica = aWorld.replicas[aIndex];
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
Commit(World& aWorld, const Raft& aRaft, const LogEntry& aEntry)
{
  const auto [found, isNew] =
    aWorld.committed.try_emplace(aEntry.index, aEntry);
  if (!isNew && found->second != aEntry) {
    aWorld.violation = "a committed entry changed";
  }
  const auto& voters = aRaft.ActiveConfiguration().voters;
  std::size_t copies = 0;
  for (const InstanceId& voter : voters) {
    const auto index = static_cast<std::size_t>(voter.value[1] - '0');
    const auto& entries = aWorld.replicas[index].disk.entries;
    copies +=
      std::find(entries.begin(), entries.end(), aEntry) != entries.end();
  }
  if (isNew && copies < voters.size() / 2 + 1) {
    aWorld.violation = "committed without a durable majority";
  }
}

void
Step(World& aWorld, std::size_t aIndex, const Event& aEvent)
{
  Replica& replica = aWorld.replicas[aIndex];
  Effects effects = replica.raft->Step(aEvent, replica.clock);
  for (Effect& effect : effects) {
    if (auto* send = std::get_if<SendMessage>(&effect)) {
      const auto to = static_cast<std::size_t>(send->to.value[1] - '0');
      const std::uint64_t hash =
        FingerprintOf(send->message) * 31 + aIndex * 7 + to;
      aWorld.flights.push_back({ aIndex, to, std::move(send->message), hash });
    } else if (auto* persist = std::get_if<Persist>(&effect)) {
      replica.writing.push_back(std::move(*persist));
    } else if (const auto* apply = std::get_if<ApplyEntries>(&effect)) {
      for (const LogEntry& entry : apply->entries) {
        Commit(aWorld, *replica.raft, entry);
      }
    }
  }
  if (replica.raft->CurrentRole() == Role::Leader) {
    const auto [found, isNew] =
      aWorld.leaders.try_emplace(replica.raft->CurrentTerm(), aIndex);
    if (found->second != aIndex) {
      aWorld.violation = "two leaders in one term";
    }
  }
}

void
Deliver(World& aWorld, std::size_t aFlight)
{
  Flight flight = std::move(aWorld.flights[aFlight]);
  aWorld.flights.erase(aWorld.flights.begin() +
                       static_cast<std::ptrdiff_t>(aFlight));
  Step(aWorld,
       flight.to,
       MessageReceived{ InstanceId("n" + std::to_string(flight.from)),
                        std::move(flight.message) });
}

void
FinishWrite(World& aWorld, std::size_t aIndex)
{
  Replica& replica = aWorld.replicas[aIndex];
  const Persist done = std::move(replica.writing.front());
  replica.writing.pop_front();
  Write(replica.disk, done);
  Step(aWorld, aIndex, Persisted{ done.sequence });
}

void
TimeOut(World& aWorld, std::size_t aIndex)
{
  Replica& replica = aWorld.replicas[aIndex];
  replica.clock = std::max(replica.clock, replica.raft->NextTick());
  Step(aWorld, aIndex, Tick{});
}

std::uint64_t
HashOf(const World& aWorld)
{
  std::uint64_t hash = 14695981039346656037ULL;
  const auto mix = [&](std::uint64_t aValue) {
    hash = (hash ^ aValue) * 1099511628211ULL;
    hash ^= hash >> 29U;
  };
  for (const Replica& replica : aWorld.replicas) {
    mix(replica.raft->Fingerprint());
    mix(replica.disk.hardState.term);
    mix(std::hash<std::string>{}(replica.disk.hardState.votedFor.value));
    for (const LogEntry& entry : replica.disk.entries) {
      mix(entry.index * 1000 + entry.term);
    }
    mix(replica.writing.size());
  }
  // Messages in flight are a set: any of them may arrive next.
  std::multiset<std::uint64_t> hashes;
  for (const Flight& flight : aWorld.flights) {
    hashes.insert(flight.hash);
  }
  std::for_each(hashes.begin(), hashes.end(), mix);
  const Budget& left = aWorld.budget;
  for (const int part : { left.timeouts,
                          left.losses,
                          left.crashes,
                          left.proposals,
                          left.changes }) {
    mix(static_cast<std::uint64_t>(part));
  }
  for (const auto& [term, leader] : aWorld.leaders) {
    mix(term * 10 + leader);
  }
  mix(aWorld.committed.size());
  return hash;
}

struct Explorer
{
  Configuration initial = Voters(kReplicas);
  std::unordered_set<std::uint64_t> seen;
  std::vector<World> next;
  std::string violation;

  template<typename Action>
  void Try(const World& aWorld, int Budget::*aCost, Action&& aAction)
  {
    if (!this->violation.empty() ||
        (aCost != nullptr && aWorld.budget.*aCost == 0)) {
      return;
    }
    World world = aWorld;
    if (aCost != nullptr) {
      --(world.budget.*aCost);
    }
    aAction(world);
    this->violation = world.violation;
    if (this->seen.insert(HashOf(world)).second) {
      this->next.push_back(std::move(world));
    }
  }

  void Expand(const World& aWorld)
  {
    for (std::size_t at = 0; at < aWorld.flights.size(); ++at) {
      this->Try(aWorld, nullptr, [&](World& aNew) { Deliver(aNew, at); });
      this->Try(aWorld, &Budget::losses, [&](World& aNew) {
        aNew.flights.erase(aNew.flights.begin() +
                           static_cast<std::ptrdiff_t>(at));
      });
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const Replica& replica = aWorld.replicas[i];
      if (!replica.writing.empty()) {
        this->Try(aWorld, nullptr, [&](World& aNew) { FinishWrite(aNew, i); });
      }
      // A replica outside the configuration without a leader waits for nothing.
      if (replica.raft->NextTick() != Time::max()) {
        this->Try(
          aWorld, &Budget::timeouts, [&](World& aNew) { TimeOut(aNew, i); });
      }
      this->Try(aWorld, &Budget::crashes, [&](World& aNew) {
        aNew.replicas[i].writing.clear();
        Start(aNew, i, this->initial);
      });
      if (replica.raft->CurrentRole() == Role::Leader) {
        this->Try(aWorld, &Budget::proposals, [&](World& aNew) {
          Step(aNew, i, Propose{ 1, "value" });
        });
        this->Try(aWorld, &Budget::changes, [&](World& aNew) {
          const InstanceId other("n" + std::to_string((i + 1) % kReplicas));
          Step(aNew, i, ChangeConfiguration{ 2, ChangeKind::Remove, other });
        });
      }
    }
  }

  // Breadth first; returns the number of states.
  std::size_t Run(World aStart, int aDepth)
  {
    std::vector<World> level;
    level.push_back(std::move(aStart));
    for (int depth = 0; depth < aDepth && this->violation.empty(); ++depth) {
      this->next.clear();
      for (const World& world : level) {
        this->Expand(world);
      }
      level = std::move(this->next);
    }
    return this->seen.size();
  }
};

World
FreshWorld(const Configuration& aInitial)
{
  World world;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    world.replicas.emplace_back();
  }
  for (std::size_t i = 0; i < kReplicas; ++i) {
    Start(world, i, aInitial);
  }
  return world;
}

// n0 leads and one entry is committed everywhere.
World
LedWorld(const Configuration& aInitial)
{
  World world = FreshWorld(aInitial);
  TimeOut(world, 0);
  const auto settle = [&] {
    bool busy = true;
    while (busy) {
      busy = !world.flights.empty();
      if (busy) {
        Deliver(world, 0);
      }
      for (std::size_t i = 0; i < kReplicas; ++i) {
        while (!world.replicas[i].writing.empty()) {
          busy = true;
          FinishWrite(world, i);
        }
      }
    }
  };
  settle();
  // Past the lease, so that another replica can campaign at once.
  for (Replica& replica : world.replicas) {
    replica.clock += Duration(100000);
  }
  return world;
}

void
Explore(TestTrace& aTrace,
        const char* aName,
        World (*aStart)(const Configuration&),
        Budget aBudget,
        int aDepth)
{
  aTrace.Section(aName, [&] {
    Explorer explorer;
    World start = aStart(explorer.initial);
    start.budget = aBudget;
    const std::size_t states =
      explorer.Run(std::move(start), aDepth - kDepthCut);
    std::fprintf(stderr,
                 "%s: %zu states to depth %d\n",
                 aName,
                 states,
                 aDepth - kDepthCut);
    EXPECT_EQUAL(aTrace, explorer.violation, "");
    EXPECT_THAT(aTrace, states > 1000);
  });
}

} // namespace

// Guards against an interleaving that gives one term two leaders, commits
// without a durable majority or changes what was committed.
Test(RaftExploration, NoInterleavingBreaksSafety)
{
  TestTrace trace;
  Explore(trace, "elections", FreshWorld, Budget{ 3, 1, 1, 0, 0 }, 9);
  Explore(trace, "append and crash", LedWorld, Budget{ 1, 1, 1, 1, 0 }, 8);
  Explore(trace, "voter change", LedWorld, Budget{ 2, 0, 1, 1, 1 }, 8);
}
