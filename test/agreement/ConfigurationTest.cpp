// Tests of new clusters, configuration changes, leadership transfer and
// snapshot installation, without random faults.
#include "agreement/Simulation.h"
#include "support/Story.h"

using hyssoppaddle::Duration;
using hyssoppaddle::agreement::ChangeKind;
using hyssoppaddle::agreement::RaftLimits;
using hyssoppaddle::test::Simulation;
using hyssoppaddle::test::Story;

namespace {

constexpr Duration kSecond{ std::chrono::seconds(1) };

std::size_t
AwaitLeader(Story& aStory, Simulation& aCluster)
{
  EXPECT_THAT(
    aStory,
    aCluster.RunUntil([&] { return aCluster.LeaderNode().has_value(); },
                      4 * kSecond));
  aCluster.Run(kSecond);
  return *aCluster.LeaderNode();
}

bool
Converges(Simulation& aCluster)
{
  return aCluster.RunUntil([&] { return aCluster.Converged(); }, 8 * kSecond);
}

} // namespace

// Guards against a new cluster that never votes because all its folders are
// empty, and against one that votes before all voters reported an empty folder.
Test(RaftConfiguration, NewClusterStartsOnceAllVotersAreEmpty)
{
  Story story;
  for (const std::size_t voters : { 1U, 3U }) {
    story.Section(std::to_string(voters) + " voters with empty folders", [&] {
      Simulation cluster(voters, 5);
      for (std::size_t i = 0; i < voters; ++i) {
        cluster.Crash(i);
        cluster.Wipe(i);
      }
      for (std::size_t i = 0; i + 1 < voters; ++i) {
        cluster.Restart(i);
      }
      cluster.Run(10 * kSecond);
      EXPECT_THAT(story, !cluster.LeaderNode());
      cluster.Restart(voters - 1);
      cluster.Propose(AwaitLeader(story, cluster));
      EXPECT_THAT(story, Converges(cluster));
      EXPECT_EQUAL(story, cluster.committedProposals, 1U);
      EXPECT_THAT(story, cluster.NoneRecovering());
      EXPECT_EQUAL(story, cluster.violation, "");
    });
  }
}

// Guards against a wiped voter that votes at once: with the only replica that
// has the entry stopped, the other two must not elect a leader without it.
Test(RaftConfiguration, WipedVoterDoesNotVote)
{
  Story story;
  Simulation cluster(3, 6);
  const std::size_t leader = AwaitLeader(story, cluster);
  const std::size_t wiped = (leader + 1) % 3;
  const std::size_t behind = (leader + 2) % 3;
  story.Section("only the leader and one other voter have an entry", [&] {
    cluster.Crash(behind);
    cluster.Propose(leader);
    cluster.Run(kSecond);
    EXPECT_EQUAL(story, cluster.committedProposals, 1U);
  });
  story.Section("the other voter is wiped and the leader stops", [&] {
    cluster.Crash(leader);
    cluster.Crash(wiped);
    cluster.Wipe(wiped);
    cluster.Restart(wiped);
    cluster.Restart(behind);
    cluster.Run(20 * kSecond);
    EXPECT_THAT(story, !cluster.LeaderNode());
  });
  story.Section("the leader restarts and the wiped voter recovers", [&] {
    cluster.Restart(leader);
    AwaitLeader(story, cluster);
    EXPECT_THAT(story, Converges(cluster));
    cluster.Run(2 * kSecond);
    EXPECT_THAT(story, cluster.NoneRecovering());
  });
  EXPECT_EQUAL(story, cluster.violation, "");
}

// Guards against a learner that is promoted before it has caught up, against
// two concurrent changes, and against a removed leader that remains leader or
// starts elections.
Test(RaftConfiguration, LearnerIsPromotedAndLeaderRemoved)
{
  Story story;
  Simulation cluster(3, 8);
  const std::size_t leader = AwaitLeader(story, cluster);
  cluster.AddNode(cluster.AllVoters(), true);
  story.Section("a learner that does not answer is not promoted", [&] {
    cluster.Crash(3);
    cluster.Change(ChangeKind::AddLearner, 3);
    cluster.Run(kSecond);
    cluster.Change(ChangeKind::PromoteToVoter, 3);
    EXPECT_EQUAL(story, cluster.failedProposals, 1U);
  });
  story.Section("it is promoted once it has caught up", [&] {
    cluster.Restart(3);
    cluster.Run(3 * kSecond);
    cluster.Change(ChangeKind::PromoteToVoter, 3);
    EXPECT_EQUAL(story, cluster.failedProposals, 1U);
    cluster.Change(ChangeKind::Remove, 3); // the promotion is not committed yet
    EXPECT_EQUAL(story, cluster.failedProposals, 2U);
    cluster.Run(kSecond);
    EXPECT_EQUAL(
      story, cluster.At(leader).ActiveConfiguration().voters.size(), 4U);
  });
  story.Section("the leader is removed", [&] {
    cluster.Change(ChangeKind::Remove, leader);
    cluster.Run(kSecond);
    const std::size_t next = AwaitLeader(story, cluster);
    EXPECT_THAT(story, next != leader);
    const auto term = cluster.At(next).CurrentTerm();
    cluster.Run(20 * kSecond);
    EXPECT_EQUAL(story, cluster.At(next).CurrentTerm(), term);
    EXPECT_THAT(story, cluster.LeaderNode() == next);
  });
  EXPECT_EQUAL(story, cluster.violation, "");
}

// Guards against a planned stop that takes an election timeout, and against a
// partitioned leader that does not step down after 1.2 s.
Test(RaftConfiguration, LeadershipMovesInTime)
{
  Story story;
  Simulation cluster(3, 9);
  const std::size_t first = AwaitLeader(story, cluster);
  story.Section("a transfer takes less than 100 ms", [&] {
    cluster.Transfer();
    cluster.Run(kSecond / 10);
    EXPECT_THAT(story, cluster.LeaderNode() != first);
    cluster.Run(kSecond);
  });
  const std::size_t second = *cluster.LeaderNode();
  story.Section("the new leader is partitioned", [&] {
    for (std::size_t other = 0; other < 3; ++other) {
      cluster.SetLinkBlocked(second, other, true);
      cluster.SetLinkBlocked(other, second, true);
    }
    const auto term = cluster.At(second).CurrentTerm();
    cluster.Run(Duration(std::chrono::milliseconds(1300)));
    EXPECT_THAT(story,
                cluster.At(second).CurrentRole() !=
                  hyssoppaddle::agreement::Role::Leader);
    cluster.Run(10 * kSecond);
    EXPECT_EQUAL(story, cluster.At(second).CurrentTerm(), term);
  });
  EXPECT_EQUAL(story, cluster.violation, "");
}

// Guards against a snapshot transfer that restarts when the leader changes.
Test(RaftConfiguration, SnapshotInstallSurvivesLeaderChange)
{
  Story story;
  RaftLimits limits;
  limits.snapshotAfterEntries = 20;
  limits.entriesKeptAfterSnapshot = 1;
  limits.snapshotChunkBytes = 100; // the simulated snapshot has 3000 bytes
  Simulation cluster(3, 10, limits);
  const std::size_t leader = AwaitLeader(story, cluster);
  const std::size_t behind = (leader + 1) % 3;
  cluster.Crash(behind);
  // More entries than a snapshot needs, so that the two running replicas have
  // the same snapshot.
  while (cluster.At(leader).LastIndex() < 25) {
    cluster.Propose(leader);
    cluster.Run(kSecond / 20);
  }
  story.Section("half of the snapshot has arrived", [&] {
    cluster.Restart(behind);
    EXPECT_THAT(story,
                cluster.RunUntil([&] { return cluster.chunkBytes >= 1500; },
                                 kSecond * 4));
    EXPECT_EQUAL(story, cluster.snapshotsInstalled, 0U);
    story.Section("the leader changes", [&] {
      cluster.Crash(leader);
      AwaitLeader(story, cluster);
      EXPECT_THAT(story, Converges(cluster));
      EXPECT_EQUAL(story, cluster.snapshotsInstalled, 1U);
      // 30 chunks, plus those in flight at the change or sent before the
      // receiver reported its offset. A restarted transfer would send 4500
      // bytes.
      EXPECT_THAT(story, cluster.chunkBytes < 4200);
    });
  });
  EXPECT_EQUAL(story, cluster.violation, "");
}
