// The memory that the log of a replica takes while entries are large.
#include "agreement/Simulation.h"
#include "support/TestTrace.h"

using hyssoppaddle::Duration;
using hyssoppaddle::agreement::RaftLimits;
using hyssoppaddle::test::Simulation;
using hyssoppaddle::test::TestTrace;

namespace {

constexpr Duration kSecond{ std::chrono::seconds(1) };
constexpr std::size_t kEntryBytes = 4000;
constexpr std::size_t kReplicas = 3;

// The log takes what the limits allow, and the entries of the time that a
// snapshot takes.
constexpr std::size_t kMaxLogBytes = 160000;

RaftLimits
MakeLimits()
{
  RaftLimits limits;
  limits.snapshotAfterBytes = 60000;
  limits.bytesKeptAfterSnapshot = 40000;
  return limits;
}

// Proposes large entries at whichever replica leads.
void
ProposeMany(Simulation& aCluster, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    if (const auto leader = aCluster.LeaderNode()) {
      aCluster.Propose(*leader, kEntryBytes);
    }
    aCluster.Run(kSecond / 20);
  }
}

std::size_t
MostLogBytes(Simulation& aCluster)
{
  std::size_t most = 0;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    most = std::max(most, aCluster.IsUp(i) ? aCluster.At(i).LogBytes() : 0);
  }
  return most;
}

bool
Converges(Simulation& aCluster)
{
  return aCluster.RunUntil([&] { return aCluster.Converged(); }, 8 * kSecond);
}

} // namespace

// Guards against replicas that run out of memory together, because each keeps a
// number of entries after a snapshot whatever their size.
Test(LogMemory, EntriesKeptAfterASnapshotAreLimitedInBytes)
{
  TestTrace trace;
  Simulation cluster(kReplicas, 3, MakeLimits());
  cluster.Run(4 * kSecond);
  ProposeMany(cluster, 300);
  EXPECT_THAT(trace, cluster.committedProposals >= 290);
  EXPECT_THAT(trace, MostLogBytes(cluster) <= kMaxLogBytes);
  trace.Section("small entries are still limited by their number", [&] {
    RaftLimits limits = MakeLimits();
    limits.snapshotAfterEntries = 20;
    limits.entriesKeptAfterSnapshot = 5;
    Simulation small(kReplicas, 4, limits);
    small.Run(4 * kSecond);
    for (int i = 0; i < 100; ++i) {
      small.Propose(*small.LeaderNode());
      small.Run(kSecond / 20);
    }
    EXPECT_THAT(trace, MostLogBytes(small) <= 30 * 200);
  });
  EXPECT_EQUAL(trace, cluster.violation, "");
}

// The same while a replica is away. It is too far behind for the entries that
// are kept, and gets the snapshot, also when entries go on to arrive.
Test(LogMemory, AReplicaThatWasAwayCatchesUpWithoutTheEntries)
{
  TestTrace trace;
  Simulation cluster(kReplicas, 5, MakeLimits());
  cluster.Run(4 * kSecond);
  const std::size_t away = (*cluster.LeaderNode() + 1) % kReplicas;
  cluster.Crash(away);
  ProposeMany(cluster, 200);
  EXPECT_THAT(trace, MostLogBytes(cluster) <= kMaxLogBytes);
  trace.Section("it returns while entries go on to arrive", [&] {
    cluster.Restart(away);
    ProposeMany(cluster, 100);
    EXPECT_THAT(trace, MostLogBytes(cluster) <= kMaxLogBytes);
    EXPECT_THAT(trace, Converges(cluster));
    EXPECT_THAT(trace, cluster.snapshotsInstalled >= 1);
  });
  EXPECT_EQUAL(trace, cluster.violation, "");
}

// Guards against a log that grows without end, because each restart forgets how
// much was written since the last snapshot.
Test(LogMemory, ReplicasThatAreRestartedOftenStillTakeSnapshots)
{
  TestTrace trace;
  Simulation cluster(kReplicas, 6, MakeLimits());
  cluster.Run(4 * kSecond);
  for (int round = 0; round < 12; ++round) {
    ProposeMany(cluster, 12); // fewer bytes than a snapshot is due after
    for (std::size_t i = 0; i < kReplicas; ++i) {
      cluster.Crash(i);
      cluster.Restart(i);
    }
    cluster.Run(4 * kSecond);
  }
  EXPECT_THAT(trace, MostLogBytes(cluster) <= kMaxLogBytes);
  EXPECT_EQUAL(trace, cluster.violation, "");
}
