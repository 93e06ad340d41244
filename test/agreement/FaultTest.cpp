// Seeded fault injection on clusters of three to five replicas. After each step
// the simulation checks that no term has two leaders, that no committed entry
// is lost or changed, that each commit is durable on a majority, that applied
// sequences are prefixes of each other and that reads are linearizable.
#include "agreement/Simulation.h"
#include "support/TestTrace.h"

#include <cstdlib>

using hyssoppaddle::Duration;
using hyssoppaddle::agreement::ChangeKind;
using hyssoppaddle::agreement::Configuration;
using hyssoppaddle::agreement::RaftLimits;
using hyssoppaddle::test::NetworkFaults;
using hyssoppaddle::test::Simulation;
using hyssoppaddle::test::TestTrace;

namespace {

constexpr Duration kSecond{ std::chrono::seconds(1) };
constexpr Duration kStep{ std::chrono::milliseconds(20) };

// Small limits, so that snapshots and full windows occur within seconds.
RaftLimits
SmallLimits()
{
  RaftLimits limits;
  limits.maxEntriesPerAppend = 4;
  limits.maxAppendsInFlight = 3;
  limits.snapshotChunkBytes = 512;
  limits.snapshotAfterEntries = 20;
  limits.entriesKeptAfterSnapshot = 5;
  return limits;
}

struct Scenario
{
  std::size_t voters = 3;
  std::size_t learners = 0;
  bool changes = false;
  bool wipes = false;
};

std::size_t
CountUp(const Simulation& aCluster)
{
  std::size_t up = 0;
  for (std::size_t i = 0; i < aCluster.Size(); ++i) {
    up += aCluster.IsUp(i) ? 1 : 0;
  }
  return up;
}

void
CallClients(Simulation& aCluster)
{
  for (std::size_t i = 0; i < aCluster.Size(); ++i) {
    if (aCluster.IsUp(i) && aCluster.random.Below(3) == 0) {
      aCluster.Propose(i);
      aCluster.Read(i);
    }
  }
}

void
InjectFault(Simulation& aCluster, const Scenario& aScenario)
{
  hyssoppaddle::Random& random = aCluster.random;
  const std::size_t node = random.Below(aCluster.Size());
  const std::size_t other = random.Below(aCluster.Size());
  switch (random.Below(11)) {
    case 0:
      if (aCluster.IsUp(node)) {
        aCluster.Crash(node);
      }
      return;
    case 1:
    case 2:
      if (!aCluster.IsUp(node)) {
        aCluster.Restart(node);
      }
      return;
    case 3:
      aCluster.Pause(node, random.Between(kSecond / 10, 4 * kSecond));
      return;
    case 4:
      aCluster.SetLinkBlocked(node, other, true);
      return;
    case 5:
    case 6:
      aCluster.SetLinkBlocked(node, other, false);
      return;
    case 7:
      aCluster.Transfer();
      return;
    case 8:
      aCluster.CloseLinks(node);
      return;
    case 9:
      aCluster.RestoreLink(node, other);
      return;
    default:
      if (aScenario.changes) {
        aCluster.Change(static_cast<ChangeKind>(random.Below(4)), node);
      }
      return;
  }
}

// Wipes the storage of one replica after the whole cluster is healthy again, as
// the log tolerates only the loss of a minority.
void
WipeOne(Simulation& aCluster)
{
  aCluster.HealAll();
  const auto healthy = [&] {
    return aCluster.Converged() && aCluster.NoneRecovering();
  };
  if (aCluster.RunUntil(healthy, 20 * kSecond)) {
    const std::size_t node = aCluster.random.Below(aCluster.Size());
    aCluster.Crash(node);
    aCluster.Wipe(node);
    aCluster.Restart(node);
  }
}

void
RunScenario(TestTrace& aTrace, const Scenario& aScenario, std::uint64_t aSeed)
{
  aTrace.Section("seed " + std::to_string(aSeed), [&] {
    Simulation cluster(aScenario.voters, aSeed, SmallLimits());
    for (std::size_t i = 0; i < aScenario.learners; ++i) {
      cluster.AddNode(cluster.AllVoters(), true);
    }
    for (std::size_t i = 0; i < cluster.Size(); ++i) {
      cluster.SetClockRate(i, 0.99 + 0.01 * static_cast<double>(i % 3));
    }
    cluster.SetFaults(NetworkFaults{ 0.05, Duration(200), Duration(60000) });
    for (int step = 0; step < 1500 && cluster.violation.empty(); ++step) {
      CallClients(cluster);
      if (cluster.random.Below(12) == 0) {
        InjectFault(cluster, aScenario);
      }
      if (aScenario.wipes && cluster.random.Below(300) == 0) {
        WipeOne(cluster);
      }
      cluster.Run(kStep);
    }
    EXPECT_EQUAL(aTrace, cluster.violation, "");
    aTrace.Section("all faults end", [&] {
      cluster.HealAll();
      const auto healthy = [&] { return cluster.Converged(); };
      const bool converged = cluster.RunUntil(healthy, 60 * kSecond);
      EXPECT_EQUAL(aTrace, cluster.violation, "");
      EXPECT_THAT(aTrace, converged || aScenario.changes);
      EXPECT_THAT(aTrace, CountUp(cluster) == cluster.Size());
      EXPECT_THAT(aTrace, cluster.committedProposals > 0);
      EXPECT_THAT(aTrace, cluster.readsAnswered > 0);
    });
  });
}

// HYSSOPPADDLE_SEEDS=N runs N seeds instead of the default number.
void
RunSeeds(const Scenario& aScenario, std::uint64_t aFirst, std::uint64_t aCount)
{
  TestTrace trace;
  const char* wanted = std::getenv("HYSSOPPADDLE_SEEDS");
  const std::uint64_t count = wanted ? std::stoull(wanted) : aCount;
  for (std::uint64_t seed = aFirst; seed < aFirst + count; ++seed) {
    RunScenario(trace, aScenario, seed);
  }
}

} // namespace

// Guards against message loss, reordering, crashes with unsynced data, pauses
// longer than the leader lease or one-way partitions violating a safety rule,
// and against a cluster that does not recover once the faults end.
Test(RaftFaults, ThreeVotersStaySafe)
{
  RunSeeds(Scenario{ 3, 0, false, false }, 1000, 40);
}

// The same with two learners, which must not count towards a majority.
Test(RaftFaults, ThreeVotersAndTwoLearnersStaySafe)
{
  RunSeeds(Scenario{ 3, 2, true, false }, 2000, 40);
}

Test(RaftFaults, FiveVotersStaySafe)
{
  RunSeeds(Scenario{ 5, 0, false, false }, 3000, 20);
}

// Guards against a replica that votes, or counts towards a majority, after it
// lost its storage.
Test(RaftFaults, LostStorageOfOneVoterLosesNothing)
{
  RunSeeds(Scenario{ 3, 0, false, true }, 4000, 40);
}
