// Tests of elections, commits and restarts without random faults.
#include "agreement/Simulation.h"
#include "support/TestTrace.h"

using hyssoppaddle::Duration;
using hyssoppaddle::test::Simulation;
using hyssoppaddle::test::TestTrace;

namespace {

constexpr Duration kSecond{ std::chrono::seconds(1) };

} // namespace

// Guards against a single voter that waits for other voters, and against one
// that loses its entries in a restart.
Test(Raft, SingleVoterCommitsAndRestarts)
{
  TestTrace trace;
  Simulation cluster(1, 1);
  trace.Section("one voter starts", [&] {
    EXPECT_THAT(
      trace,
      cluster.RunUntil([&] { return cluster.LeaderNode().has_value(); },
                       3 * kSecond));
    cluster.Propose(0);
    cluster.Run(kSecond);
    EXPECT_EQUAL(trace, cluster.committedProposals, 1U);
    trace.Section("it restarts", [&] {
      cluster.Crash(0);
      cluster.Restart(0);
      EXPECT_THAT(
        trace,
        cluster.RunUntil([&] { return cluster.Converged(); }, 3 * kSecond));
      EXPECT_EQUAL(trace, cluster.Applied(0), 3U);
    });
  });
  EXPECT_EQUAL(trace, cluster.violation, "");
}

// Guards against a cluster that elects no leader, commits without a majority or
// does not replace a lost leader within the 2 s that the design states.
Test(Raft, ThreeVotersSurviveTheLossOfTheLeader)
{
  TestTrace trace;
  Simulation cluster(3, 2);
  trace.Section("three voters elect a leader", [&] {
    EXPECT_THAT(
      trace,
      cluster.RunUntil([&] { return cluster.LeaderNode().has_value(); },
                       3 * kSecond));
    const std::size_t first = *cluster.LeaderNode();
    cluster.Propose(first);
    EXPECT_THAT(trace,
                cluster.RunUntil([&] { return cluster.Converged(); }, kSecond));
    EXPECT_EQUAL(trace, cluster.committedProposals, 1U);
    trace.Section("the leader is lost", [&] {
      cluster.Crash(first);
      EXPECT_THAT(
        trace,
        cluster.RunUntil([&] { return cluster.LeaderNode().has_value(); },
                         Duration(std::chrono::milliseconds(2500))));
      cluster.Propose(*cluster.LeaderNode());
      cluster.Run(kSecond);
      EXPECT_EQUAL(trace, cluster.committedProposals, 2U);
      trace.Section("it restarts and catches up", [&] {
        cluster.Restart(first);
        EXPECT_THAT(
          trace,
          cluster.RunUntil([&] { return cluster.Converged(); }, 3 * kSecond));
      });
    });
  });
  EXPECT_EQUAL(trace, cluster.violation, "");
}
