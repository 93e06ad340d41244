// Tests of elections after the connections to the leader were closed, and after
// all replicas restarted together.
//
// Load pattern: the process of the leader ends while calls and reports arrive.
// Nothing is started and no call is accepted until the next leader is elected.
#include "agreement/Simulation.h"
#include "support/TestTrace.h"

#include <chrono>

using hyssoppaddle::Duration;
using hyssoppaddle::agreement::Raft;
using hyssoppaddle::test::Simulation;
using hyssoppaddle::test::TestTrace;
using std::chrono::milliseconds;

namespace {

constexpr Duration kSecond{ std::chrono::seconds(1) };
constexpr std::uint64_t kSeeds = 20;

// Runs until a leader has been in office for two seconds. Returns it.
std::size_t
SettledLeader(Simulation& aCluster)
{
  aCluster.RunUntil([&] { return aCluster.LeaderNode().has_value(); },
                    5 * kSecond);
  aCluster.Run(2 * kSecond);
  return *aCluster.LeaderNode();
}

} // namespace

// Guards against voters that wait for an election timeout although the process
// of the leader has ended, and against votes that are split between voters that
// notice the loss at the same time.
Test(LeaderLoss, ClosedConnectionsStartAnElectionAtOnce)
{
  TestTrace trace;
  for (const std::size_t voters : { 3U, 5U, 7U }) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Simulation cluster(voters, seed);
      const std::size_t lost = SettledLeader(cluster);
      cluster.Crash(lost);
      cluster.CloseLinks(lost);
      const Duration lostAt = cluster.now;
      const bool isReplaced = cluster.RunUntil(
        [&] { return cluster.LeaderNode().has_value(); }, 3 * kSecond);
      trace.Section("seed " + std::to_string(seed), [&] {
        EXPECT_THAT(trace, isReplaced);
        EXPECT_THAT(trace, cluster.now - lostAt < milliseconds(600));
        EXPECT_EQUAL(trace, cluster.violation, "");
      });
    }
  }
}

// Guards against an election each time the connections of a live leader are
// reset.
Test(LeaderLoss, ALeaderThatIsConnectedAgainStays)
{
  TestTrace trace;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation cluster(5, seed);
    const std::size_t leader = SettledLeader(cluster);
    const auto term = cluster.At(leader).CurrentTerm();
    for (int reset = 0; reset < 3; ++reset) {
      cluster.CloseLinks(leader);
      for (std::size_t node = 0; node < cluster.Size(); ++node) {
        cluster.SetLinkBlocked(leader, node, true);
        cluster.SetLinkBlocked(node, leader, true);
      }
      cluster.Run(milliseconds(200));
      for (std::size_t node = 0; node < cluster.Size(); ++node) {
        cluster.SetLinkBlocked(leader, node, false);
        cluster.SetLinkBlocked(node, leader, false);
        cluster.RestoreLink(leader, node);
      }
      cluster.Run(kSecond);
    }
    EXPECT_EQUAL(trace, *cluster.LeaderNode(), leader);
    EXPECT_EQUAL(trace, cluster.At(leader).CurrentTerm(), term);
  }
}

// Guards against a voter that deposes a leader which only that voter cannot
// reach.
Test(LeaderLoss, AMinorityWithoutConnectionElectsNobody)
{
  TestTrace trace;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation cluster(5, seed);
    const std::size_t leader = SettledLeader(cluster);
    const auto term = cluster.At(leader).CurrentTerm();
    for (std::size_t i = 1; i <= 2; ++i) {
      const std::size_t voter = (leader + i) % cluster.Size();
      cluster.SetLinkBlocked(leader, voter, true);
      cluster.SetLinkBlocked(voter, leader, true);
      cluster.CloseLink(leader, voter);
    }
    cluster.Run(5 * kSecond);
    EXPECT_EQUAL(trace, *cluster.LeaderNode(), leader);
    EXPECT_EQUAL(trace, cluster.At(leader).CurrentTerm(), term);
  }
}

// Guards against a leader that counts voters which may already have elected
// another one, and sends orders on the strength of their earlier replies.
Test(LeaderLoss, AVoterWhoseConnectionWasClosedIsNotHeardUntilItReplies)
{
  TestTrace trace;
  Simulation cluster(3, 1);
  const std::size_t leader = SettledLeader(cluster);
  const std::size_t voter = (leader + 1) % cluster.Size();
  const hyssoppaddle::InstanceId name("n" + std::to_string(voter));
  EXPECT_THAT(trace, cluster.At(leader).LastHeard(name).has_value());
  cluster.SetLinkBlocked(voter, leader, true);
  cluster.CloseLink(leader, voter);
  cluster.Run(milliseconds(1));
  EXPECT_THAT(trace, !cluster.At(leader).LastHeard(name).has_value());
  trace.Section("its next reply counts", [&] {
    cluster.SetLinkBlocked(voter, leader, false);
    cluster.Run(kSecond);
    EXPECT_THAT(trace, cluster.At(leader).LastHeard(name).has_value());
  });
}

// Guards against an outage of all replicas that lasts an election timeout
// longer than the replicas are down.
Test(LeaderLoss, ReplicasThatRestartTogetherElectALeaderAtOnce)
{
  TestTrace trace;
  for (const std::size_t voters : { 3U, 7U }) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Simulation cluster(voters, seed);
      cluster.Propose(SettledLeader(cluster));
      cluster.Run(kSecond);
      for (std::size_t node = 0; node < voters; ++node) {
        cluster.Crash(node);
      }
      cluster.Run(kSecond);
      cluster.times.restartGrace = milliseconds(500);
      cluster.HealAll();
      const Duration backAt = cluster.now;
      const bool isReplaced = cluster.RunUntil(
        [&] { return cluster.LeaderNode().has_value(); }, 3 * kSecond);
      EXPECT_THAT(trace, isReplaced);
      EXPECT_THAT(trace, cluster.now - backAt < milliseconds(800));
      EXPECT_EQUAL(trace, cluster.violation, "");
    }
  }
}

// Guards against a voter that restarts beside a live leader and deposes it.
Test(LeaderLoss, ARestartedVoterLeavesALiveLeaderInOffice)
{
  TestTrace trace;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation cluster(5, seed);
    const std::size_t leader = SettledLeader(cluster);
    const auto term = cluster.At(leader).CurrentTerm();
    const std::size_t voter = (leader + 1) % cluster.Size();
    cluster.SetLinkBlocked(leader, voter, true);
    cluster.Crash(voter);
    cluster.times.restartGrace = milliseconds(500);
    cluster.Restart(voter);
    cluster.Run(2 * kSecond);
    cluster.SetLinkBlocked(leader, voter, false);
    cluster.Run(kSecond);
    EXPECT_EQUAL(trace, *cluster.LeaderNode(), leader);
    EXPECT_EQUAL(trace, cluster.At(leader).CurrentTerm(), term);
  }
}
