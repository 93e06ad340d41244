// Tests of upstreams, instances and waves.
#include "Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;
using namespace hyssoppaddle::test;

namespace {

const PoolId kP("p");
const PoolId kQ("q");

MarkUpstreamSilent
Silence(const std::string& aInstance, std::uint64_t aSequence)
{
  return { InstanceId(aInstance), "boot1", aSequence };
}

void
Reboot(Fleet& aFleet, const std::string& aInstance)
{
  using enum InstancePhase;
  aFleet.Phase(aInstance, Serving, Draining);
  aFleet.Phase(aInstance, Draining, Stopped);
  aFleet.Phase(aInstance, Stopped, Rebooting);
}

} // namespace

// Guards against unknown machines in the fleet, and late announcements that
// bring back an older state.
Test(Upstreams, AreOrderedByBootAndSequence)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  EXPECT_THAT(story, CodeOf(fleet.Announce("p9", 1)) == ErrorCode::NotFound);
  EXPECT_THAT(story, fleet.Announce("p1", 5).Ok());
  EXPECT_THAT(story, CodeOf(fleet.Announce("p1", 4)) == ErrorCode::Conflict);
  story.Section("a later boot with a lower sequence wins", [&] {
    EXPECT_THAT(
      story, fleet.Announce("p1", 1, "boot0", UpstreamState::Serving, 2).Ok());
    EXPECT_THAT(story, !fleet.Announce("p1", 9).Ok());
  });
  story.Section("the refusal states the stored values", [&] {
    EXPECT_THAT(
      story,
      RefusedWith(fleet.Announce("p1", 9), "booted_at_ms 2, boot boot0"));
  });
}

// Guards against an instance that counts as serving while it is gone.
Test(Upstreams, SilentOnesAreLostUntilTheyAnnounceAgain)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  fleet.Announce("p1", 5);
  story.Section("a report of silence from before changes nothing", [&] {
    EXPECT_THAT(story, !fleet.Ok(Silence("p1", 4)));
    EXPECT_EQUAL(story, fleet.PhaseOf("p1"), InstancePhase::Serving);
  });
  story.Section("a current one makes the instance lost", [&] {
    EXPECT_THAT(story, fleet.Ok(Silence("p1", 7)));
    EXPECT_EQUAL(story, fleet.PhaseOf("p1"), InstancePhase::Lost);
    EXPECT_EQUAL(story, fleet.state.AvailableIn(kP), 2U);
    EXPECT_THAT(story, !fleet.Announce("p1", 6).Ok());
  });
  story.Section("a new boot soaks before it counts again", [&] {
    fleet.Announce("p1", 1, "boot2", UpstreamState::Serving, 2);
    EXPECT_EQUAL(story, fleet.PhaseOf("p1"), InstancePhase::Soaking);
    EXPECT_THAT(
      story,
      !fleet.Phase("p1", InstancePhase::Soaking, InstancePhase::Serving).Ok());
    fleet.Pass(120 * kSecond);
    EXPECT_THAT(
      story,
      fleet.Phase("p1", InstancePhase::Soaking, InstancePhase::Serving).Ok());
  });
}

// Guards against an upstream that leaves by itself while its pool still counts
// it, and against new work for it.
Test(Upstreams, DepartingOnesLeaveTheBudget)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  fleet.Announce("p1", 2, "boot1", UpstreamState::Departing);
  EXPECT_EQUAL(story, fleet.PhaseOf("p1"), InstancePhase::Draining);
  EXPECT_EQUAL(story, fleet.state.AvailableIn(kP), 2U);
  fleet.Submit("j", 1, true);
  EXPECT_THAT(story, !fleet.Place("j", "p1", 1).Ok());
}

// Guards against planned stops that break min_available, also after unplanned
// losses.
Test(Instances, KeepTheBudget)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  EXPECT_THAT(story, fleet.Phase("p1", Serving, Draining).Ok());
  EXPECT_THAT(story, !fleet.Phase("p2", Serving, Draining).Ok());
  story.Section("losses go below it, and then nothing is granted", [&] {
    fleet.Phase("p1", Draining, Serving);
    fleet.Apply(Silence("p1", 1));
    fleet.Apply(Silence("p2", 1));
    EXPECT_EQUAL(story, fleet.state.AvailableIn(kP), 1U);
    EXPECT_THAT(story, !fleet.Phase("p3", Serving, Draining).Ok());
    EXPECT_THAT(story, !fleet.Phase("p3", Serving, Lost).Ok());
  });
}

// Guards against a reboot that is believed without proof, and phases that skip
// the drain.
Test(Instances, FollowThePhasesOfMaintenance)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  EXPECT_THAT(story, !fleet.Phase("p1", Serving, Stopped).Ok());
  EXPECT_THAT(story, !fleet.Phase("p1", Draining, Stopped).Ok());
  Reboot(fleet, "p1");
  EXPECT_EQUAL(story, fleet.PhaseOf("p1"), Rebooting);
  story.Section("the stopped boot announces itself once more", [&] {
    fleet.Announce("p1", 9);
    EXPECT_EQUAL(story, fleet.PhaseOf("p1"), Rebooting);
  });
  story.Section("silence is expected meanwhile", [&] {
    fleet.Apply(Silence("p1", 9));
    EXPECT_EQUAL(story, fleet.PhaseOf("p1"), Rebooting);
  });
  story.Section("another boot proves the reboot", [&] {
    fleet.Announce("p1", 1, "boot2", UpstreamState::Serving, 2);
    EXPECT_EQUAL(story, fleet.PhaseOf("p1"), Soaking);
    EXPECT_THAT(story,
                fleet.state.Instances().at(InstanceId("p1")).lastMaintainedAt ==
                  fleet.now);
  });
}

// Guards against an instance that is in two pools or moves while it serves.
Test(Instances, MoveInOneStepAfterTheDrain)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  const MoveInstance move{ InstanceId("p1"), kP, kQ };
  EXPECT_THAT(story, !fleet.Ok(move));
  fleet.Apply(
    RequestInstanceAction{ InstanceId("p1"), InstanceAction::Move, kQ });
  fleet.Phase("p1", Serving, Draining);
  fleet.Phase("p1", Draining, Moving);
  const auto& record = fleet.state.Instances().at(InstanceId("p1"));
  EXPECT_EQUAL(story, record.pool, kP);
  EXPECT_EQUAL(story, record.movingToPool, kQ);
  EXPECT_THAT(story, fleet.Ok(move));
  EXPECT_THAT(story, !fleet.Ok(move));
  EXPECT_EQUAL(story, record.pool, kQ);
  EXPECT_THAT(story, !record.requested.has_value());
  EXPECT_EQUAL(story, fleet.state.InstancesOf(kP).size(), 2U);
}

// Guards against a bundle that moves or removes a serving instance silently.
Test(Instances, FollowABundleByWishes)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  Bundle next = MakeBundle(2);
  auto& pools = next.pools;
  pools[1].instances.push_back(pools[0].instances[0]); // p1 goes to q
  pools[0].instances.erase(pools[0].instances.begin());
  pools[1].instances.erase(pools[1].instances.begin()); // q1 vanishes
  fleet.Accept(next);
  const auto& instances = fleet.state.Instances();
  story.Section("a changed pool is a wish", [&] {
    const InstanceRecord& moved = instances.at(InstanceId("p1"));
    EXPECT_EQUAL(story, moved.pool, kP);
    EXPECT_THAT(story, moved.requested == InstanceAction::Move);
    EXPECT_EQUAL(story, moved.requestedPool, kQ);
    EXPECT_EQUAL(story, moved.phase, InstancePhase::Serving);
  });
  story.Section("a vanished one drains before it leaves", [&] {
    EXPECT_THAT(story, instances.at(InstanceId("q1")).retired);
    fleet.Phase("q1", InstancePhase::Serving, InstancePhase::Draining);
    fleet.Phase("q1", InstancePhase::Draining, InstancePhase::Stopped);
    EXPECT_THAT(story, !instances.contains(InstanceId("q1")));
    EXPECT_THAT(story, !fleet.state.Upstreams().contains(InstanceId("q1")));
  });
}

// Guards against a finished wave that runs again, and records without end.
Test(Waves, FinishOnce)
{
  Story story;
  Fleet fleet;
  for (int i = 0; i < 20; ++i) {
    const WaveId wave("w" + std::to_string(i));
    EXPECT_THAT(story, fleet.Ok(SetWave{ wave, WaveState::Running, "", {} }));
    EXPECT_THAT(story, fleet.Ok(SetWave{ wave, WaveState::Finished, "", {} }));
    EXPECT_THAT(story, !fleet.Ok(SetWave{ wave, WaveState::Running, "", {} }));
    fleet.Pass(kSecond);
  }
  EXPECT_EQUAL(story, fleet.state.Waves().size(), 16U);
}

// Guards against a damaged snapshot that replaces a good state.
Test(Snapshots, ADamagedOneLeavesTheStateAlone)
{
  Story story;
  Fleet fleet;
  fleet.Start();
  const std::string bytes = fleet.state.Snapshot();
  for (const std::string& bad :
       { std::string(), bytes.substr(0, bytes.size() / 2), bytes + "x" }) {
    EXPECT_THAT(story, !fleet.state.Restore(bad).has_value());
    EXPECT_THAT(story, fleet.state.Snapshot() == bytes);
  }
}
