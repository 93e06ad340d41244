// What a node knows of the leader and of the replicas of its cluster.
#include "node/Cluster.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::node;
using namespace hyssoppaddle::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{ seconds(100) };

} // namespace

Test(Cluster, TheFirstSeedWithADiskCreatesTheCluster)
{
  TestTrace trace;
  const std::vector<std::string> seeds{ "s1", "s2", "s3" };
  Cluster first(InstanceId("s1"), true);
  first.SetSeeds(seeds);
  EXPECT_THAT(trace, first.IsFounder());
  Cluster second(InstanceId("s2"), true);
  second.SetSeeds(seeds);
  EXPECT_THAT(trace, !second.IsFounder());
  trace.Section(
    "the second seed does once the first reports that it has no disk", [&] {
      second.OnStatus(InstanceId("s1"), { false, {}, 0, {} }, kStart);
      EXPECT_THAT(trace, second.IsFounder());
    });
  trace.Section("a node that is not a seed never does", [&] {
    Cluster other(InstanceId("x"), true);
    other.SetSeeds(seeds);
    EXPECT_THAT(trace, !other.IsFounder());
  });
}

// Guards against calls that are sent to a leader without power, whose
// connection stays open, and then count as calls that may have run.
Test(Cluster, ALeaderThatMissesItsStatusIsOverdueUntilItIsHeardAgain)
{
  TestTrace trace;
  const InstanceId leader("l");
  Cluster cluster(InstanceId("a"), false);
  EXPECT_THAT(trace, cluster.IsOverdue(leader, kStart));
  cluster.OnStatus(leader, { true, leader, 4, {} }, kStart);
  EXPECT_THAT(trace, !cluster.IsOverdue(leader, kStart + milliseconds(600)));
  EXPECT_THAT(trace, cluster.IsOverdue(leader, kStart + milliseconds(800)));
  trace.Section("it is still the leader that this node knows", [&] {
    EXPECT_EQUAL(trace, cluster.Leader(kStart + milliseconds(800)), leader);
  });
  trace.Section("any message counts", [&] {
    cluster.RecordContact(leader, kStart + milliseconds(900));
    EXPECT_THAT(trace, !cluster.IsOverdue(leader, kStart + seconds(1)));
  });
}

Test(Cluster, FollowsTheHighestTermWhileItsReportIsRecent)
{
  TestTrace trace;
  Cluster cluster(InstanceId("a"), false);
  const std::vector<InstanceId> replicas{ InstanceId("b"), InstanceId("c") };
  cluster.OnStatus(
    InstanceId("b"), { true, InstanceId("b"), 4, replicas }, kStart);
  EXPECT_EQUAL(trace, cluster.Leader(kStart), InstanceId("b"));
  trace.Section("a report with a lower term is ignored", [&] {
    cluster.OnStatus(
      InstanceId("c"), { true, InstanceId("c"), 3, replicas }, kStart);
    EXPECT_EQUAL(trace, cluster.Leader(kStart), InstanceId("b"));
  });
  trace.Section("reports by other nodes do not refresh it", [&] {
    cluster.OnStatus(InstanceId("c"),
                     { true, InstanceId("b"), 4, replicas },
                     kStart + seconds(2));
    EXPECT_THAT(trace, cluster.Leader(kStart + seconds(2)).empty());
  });
  trace.Section("it connects to the reported replicas",
                [&] { EXPECT_EQUAL(trace, cluster.LinkTargets().size(), 2U); });
}

// Guards against a replica whose term is higher than the leader's, because it
// campaigned in vain before it was removed: it must learn the leader to ask it.
Test(Cluster, FollowsALeaderOfALowerTermOnceItsOwnTermHasNone)
{
  TestTrace trace;
  Cluster cluster(InstanceId("x"), true);
  const wire::NodeStatus status{ true, InstanceId("a"), 7, {} };
  cluster.OnRole(InstanceId(), 9, kStart);
  trace.Section("an old leader is not followed during an election", [&] {
    const Time soon = kStart + milliseconds(500);
    cluster.OnStatus(InstanceId("a"), status, soon);
    EXPECT_EQUAL(trace, cluster.Leader(soon), InstanceId());
  });
  const Time later = kStart + seconds(3);
  trace.Section("the report of another node does not count", [&] {
    cluster.OnStatus(InstanceId("b"), status, later);
    EXPECT_EQUAL(trace, cluster.Leader(later), InstanceId());
  });
  trace.Section("a leader that still leads afterwards is followed", [&] {
    cluster.OnStatus(InstanceId("a"), status, later);
    EXPECT_EQUAL(trace, cluster.Leader(later), InstanceId("a"));
  });
}

// Guards against nodes that send callers to a leader that has ended, because
// other nodes still report it.
Test(Cluster, ALeaderWhoseConnectionBrokeIsRestoredOnlyByItself)
{
  TestTrace trace;
  Cluster cluster(InstanceId("x"), false);
  const wire::NodeStatus status{ true, InstanceId("b"), 4, {} };
  cluster.OnStatus(InstanceId("b"), status, kStart);
  cluster.RemoveNode(InstanceId("b"));
  EXPECT_THAT(trace, cluster.Leader(kStart).empty());
  trace.Section("a report by another node does not restore it", [&] {
    cluster.OnStatus(InstanceId("c"), status, kStart);
    EXPECT_THAT(trace, cluster.Leader(kStart).empty());
  });
  trace.Section("another leader of a higher term is followed", [&] {
    Cluster other = cluster;
    other.OnStatus(InstanceId("c"), { true, InstanceId("d"), 5, {} }, kStart);
    EXPECT_EQUAL(trace, other.Leader(kStart), InstanceId("d"));
  });
  trace.Section("its own report over a new connection restores it", [&] {
    cluster.OnStatus(InstanceId("b"), status, kStart);
    EXPECT_EQUAL(trace, cluster.Leader(kStart), InstanceId("b"));
  });
}

// Guards against calls that are sent to a leader after it has reported that it
// stepped down.
Test(Cluster, ALeaderThatReportsItsStepDownIsForgotten)
{
  TestTrace trace;
  Cluster cluster(InstanceId("x"), false);
  cluster.OnStatus(InstanceId("b"), { true, InstanceId("b"), 4, {} }, kStart);
  trace.Section("a node that knows no leader does not change the view", [&] {
    cluster.OnStatus(InstanceId("c"), { true, {}, 4, {} }, kStart);
    EXPECT_EQUAL(trace, cluster.Leader(kStart), InstanceId("b"));
  });
  cluster.OnStatus(InstanceId("b"), { true, {}, 4, {} }, kStart);
  EXPECT_THAT(trace, cluster.Leader(kStart).empty());
  trace.Section("older reports of others do not restore it", [&] {
    cluster.OnStatus(InstanceId("c"), { true, InstanceId("b"), 4, {} }, kStart);
    EXPECT_THAT(trace, cluster.Leader(kStart).empty());
  });
  trace.Section("a late report of an earlier term changes nothing", [&] {
    cluster.OnStatus(InstanceId("d"), { true, InstanceId("d"), 6, {} }, kStart);
    cluster.OnStatus(InstanceId("d"), { true, {}, 5, {} }, kStart);
    EXPECT_EQUAL(trace, cluster.Leader(kStart), InstanceId("d"));
  });
}

// Guards against a node whose configuration is older than the leader's
// membership: it knew of the leader from others and never connected to it.
Test(Cluster, ConnectsToALeaderThatItsConfigurationLacks)
{
  TestTrace trace;
  Cluster cluster(InstanceId("x"), true);
  agreement::Configuration known;
  known.voters = { InstanceId("a"), InstanceId("b"), InstanceId("c") };
  cluster.SetReplicas(known);
  EXPECT_THAT(trace, !cluster.LinkTargets().contains(InstanceId("d")));
  cluster.OnStatus(InstanceId("a"), { true, InstanceId("d"), 4, {} }, kStart);
  EXPECT_THAT(trace, cluster.LinkTargets().contains(InstanceId("d")));
  trace.Section("also after the connection to it broke", [&] {
    cluster.RemoveNode(InstanceId("d"));
    EXPECT_THAT(trace, cluster.LinkTargets().contains(InstanceId("d")));
  });
}
