// Tests of leadership that moves to a chosen voter, and of voters that let the
// others campaign first.
#include "agreement/Simulation.h"
#include "support/TestTrace.h"

using hyssoppaddle::Duration;
using hyssoppaddle::test::Simulation;
using hyssoppaddle::test::TestTrace;

namespace {

constexpr Duration kSecond{ std::chrono::seconds(1) };

bool
HasLeader(Simulation& aCluster)
{
  return aCluster.RunUntil([&] { return aCluster.LeaderNode().has_value(); },
                           3 * kSecond);
}

} // namespace

Test(Handover, TheChosenVoterBecomesTheLeader)
{
  TestTrace trace;
  Simulation cluster(5, 4);
  EXPECT_THAT(trace, HasLeader(cluster));
  cluster.Run(kSecond);
  for (std::size_t node = 0; node < cluster.Size(); ++node) {
    if (node != *cluster.LeaderNode()) {
      cluster.TransferTo(node);
      cluster.Run(Duration(std::chrono::milliseconds(300)));
      EXPECT_EQUAL(trace, *cluster.LeaderNode(), node);
    }
  }
  trace.Section("a voter that is down does not get the leadership", [&] {
    const std::size_t leader = *cluster.LeaderNode();
    const std::size_t down = (leader + 1) % cluster.Size();
    cluster.Crash(down);
    cluster.Run(3 * kSecond);
    cluster.TransferTo(down);
    cluster.Propose(leader);
    cluster.Run(kSecond);
    EXPECT_EQUAL(trace, *cluster.LeaderNode(), leader);
    EXPECT_EQUAL(trace, cluster.committedProposals, 1U);
  });
  EXPECT_EQUAL(trace, cluster.violation, "");
}

// Guards against a handover that a slow leader does not finish, because it has
// to handle the answers of the next one first.
Test(Handover, NeedsNoFurtherStepOfTheOldLeader)
{
  TestTrace trace;
  Simulation cluster(5, 4);
  EXPECT_THAT(trace, HasLeader(cluster));
  cluster.Run(kSecond);
  const std::size_t leader = *cluster.LeaderNode();
  const std::size_t next = (leader + 1) % cluster.Size();
  cluster.Propose(leader);
  cluster.TransferTo(next);
  cluster.Pause(leader, 2 * kSecond);
  cluster.Run(Duration(std::chrono::milliseconds(300)));
  EXPECT_EQUAL(trace, *cluster.LeaderNode(), next);
  trace.Section("the entry that was on its way is kept", [&] {
    cluster.Run(5 * kSecond);
    EXPECT_THAT(trace, cluster.Converged());
    EXPECT_EQUAL(trace, *cluster.LeaderNode(), next);
  });
  EXPECT_EQUAL(trace, cluster.violation, "");
}

// Guards against an election that a slow machine wins while sound ones stand
// by.
Test(Handover, AVoterWithDelayedCampaignsLeavesTheElectionToTheOthers)
{
  TestTrace trace;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulation cluster(3, seed);
    EXPECT_THAT(trace, HasLeader(cluster));
    cluster.Run(kSecond);
    const std::size_t leader = *cluster.LeaderNode();
    const std::size_t slow = (leader + 1) % cluster.Size();
    const std::size_t sound = (leader + 2) % cluster.Size();
    cluster.At(slow).DelayCampaigns(Duration(std::chrono::milliseconds(900)));
    cluster.Crash(leader);
    EXPECT_THAT(trace, HasLeader(cluster));
    cluster.Run(2 * kSecond);
    EXPECT_EQUAL(trace, *cluster.LeaderNode(), sound);
    trace.Section("alone with a restarted voter it leads again", [&] {
      cluster.Crash(sound);
      cluster.Restart(leader);
      cluster.Run(6 * kSecond);
      EXPECT_THAT(trace, cluster.LeaderNode().has_value());
    });
    EXPECT_EQUAL(trace, cluster.violation, "");
  }
}

// Guards against a leader that proposes again without a pause what it rejects
// itself during a transfer.
Test(Handover, ShowsATransferUntilItsTimeLimit)
{
  TestTrace trace;
  Simulation cluster(5, 4);
  EXPECT_THAT(trace, HasLeader(cluster));
  cluster.Run(kSecond);
  const std::size_t leader = *cluster.LeaderNode();
  const std::size_t next = (leader + 1) % cluster.Size();
  EXPECT_THAT(trace, !cluster.At(leader).IsTransferring());
  cluster.TransferTo(next);
  cluster.Pause(next, 3 * kSecond);
  EXPECT_THAT(trace, cluster.At(leader).IsTransferring());
  cluster.Run(2 * kSecond);
  EXPECT_THAT(trace, !cluster.At(leader).IsTransferring());
  EXPECT_EQUAL(trace, *cluster.LeaderNode(), leader);
}
