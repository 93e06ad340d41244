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
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  EXPECT_THAT(trace, CodeOf(fleet.Announce("p9", 1)) == ErrorCode::NotFound);
  EXPECT_THAT(trace, fleet.Announce("p1", 5).Ok());
  EXPECT_THAT(trace, CodeOf(fleet.Announce("p1", 4)) == ErrorCode::Conflict);
  trace.Section("a later boot with a lower sequence wins", [&] {
    EXPECT_THAT(
      trace, fleet.Announce("p1", 1, "boot0", UpstreamState::Serving, 2).Ok());
    EXPECT_THAT(trace, !fleet.Announce("p1", 9).Ok());
  });
  trace.Section("the refusal states the stored values", [&] {
    EXPECT_THAT(
      trace,
      RefusedWith(fleet.Announce("p1", 9), "booted_at_ms 2, boot boot0"));
  });
}

// Guards against an instance that counts as serving while it is gone.
Test(Upstreams, SilentOnesAreLostUntilTheyAnnounceAgain)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Announce("p1", 5);
  trace.Section("a report of silence from before changes nothing", [&] {
    EXPECT_THAT(trace, !fleet.Ok(Silence("p1", 4)));
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), InstancePhase::Serving);
  });
  trace.Section("a current one makes the instance lost", [&] {
    EXPECT_THAT(trace, fleet.Ok(Silence("p1", 7)));
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), InstancePhase::Lost);
    EXPECT_EQUAL(trace, fleet.state.AvailableIn(kP), 2U);
    EXPECT_THAT(trace, !fleet.Announce("p1", 6).Ok());
  });
  trace.Section("a new boot soaks before it counts again", [&] {
    fleet.Announce("p1", 1, "boot2", UpstreamState::Serving, 2);
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), InstancePhase::Soaking);
    EXPECT_THAT(
      trace,
      !fleet.Phase("p1", InstancePhase::Soaking, InstancePhase::Serving).Ok());
    fleet.Pass(120 * kSecond);
    EXPECT_THAT(
      trace,
      fleet.Phase("p1", InstancePhase::Soaking, InstancePhase::Serving).Ok());
  });
}

// Guards against an upstream that leaves by itself while its pool still counts
// it, and against new work for it.
Test(Upstreams, DepartingOnesLeaveTheBudget)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Announce("p1", 2, "boot1", UpstreamState::Departing);
  EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), InstancePhase::Draining);
  EXPECT_EQUAL(trace, fleet.state.AvailableIn(kP), 2U);
  fleet.Submit("j", 1, true);
  EXPECT_THAT(trace, !fleet.Place("j", "p1", 1).Ok());
}

// Guards against planned stops that break min_available, also after unplanned
// losses.
Test(Instances, KeepTheBudget)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  EXPECT_THAT(trace, fleet.Phase("p1", Serving, Draining).Ok());
  EXPECT_THAT(trace, !fleet.Phase("p2", Serving, Draining).Ok());
  trace.Section("losses go below it, and then nothing is granted", [&] {
    fleet.Phase("p1", Draining, Serving);
    fleet.Apply(Silence("p1", 1));
    fleet.Apply(Silence("p2", 1));
    EXPECT_EQUAL(trace, fleet.state.AvailableIn(kP), 1U);
    EXPECT_THAT(trace, !fleet.Phase("p3", Serving, Draining).Ok());
    EXPECT_THAT(trace, !fleet.Phase("p3", Serving, Lost).Ok());
  });
}

// Guards against a reboot that is believed without proof, and phases that skip
// the drain.
Test(Instances, FollowThePhasesOfMaintenance)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  EXPECT_THAT(trace, !fleet.Phase("p1", Serving, Stopped).Ok());
  EXPECT_THAT(trace, !fleet.Phase("p1", Draining, Stopped).Ok());
  Reboot(fleet, "p1");
  EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Rebooting);
  trace.Section("the stopped boot announces itself once more", [&] {
    fleet.Announce("p1", 9);
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Rebooting);
  });
  trace.Section("silence is expected meanwhile", [&] {
    fleet.Apply(Silence("p1", 9));
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Rebooting);
  });
  trace.Section("another boot proves the reboot", [&] {
    fleet.Announce("p1", 1, "boot2", UpstreamState::Serving, 2);
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Soaking);
    EXPECT_THAT(trace,
                fleet.state.Instances().at(InstanceId("p1")).lastMaintained ==
                  fleet.now);
  });
}

// Guards against an instance that is in two pools or moves while it serves.
Test(Instances, MoveInOneStepAfterTheDrain)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  const MoveInstance move{ InstanceId("p1"), kP, kQ };
  EXPECT_THAT(trace, !fleet.Ok(move));
  fleet.Apply(RequestInstance{ InstanceId("p1"), InstanceRequest::Move, kQ });
  fleet.Phase("p1", Serving, Draining);
  fleet.Phase("p1", Draining, Moving);
  const auto& record = fleet.state.Instances().at(InstanceId("p1"));
  EXPECT_EQUAL(trace, record.pool, kP);
  EXPECT_EQUAL(trace, record.movingTo, kQ);
  EXPECT_THAT(trace, fleet.Ok(move));
  EXPECT_THAT(trace, !fleet.Ok(move));
  EXPECT_EQUAL(trace, record.pool, kQ);
  EXPECT_THAT(trace, !record.requested.has_value());
  EXPECT_EQUAL(trace, fleet.state.InstancesOf(kP).size(), 2U);
}

// Guards against a bundle that moves or removes a serving instance silently.
Test(Instances, FollowABundleByWishes)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  Bundle next = MakeBundle(2);
  auto& pools = next.pools;
  pools[1].instances.push_back(pools[0].instances[0]); // p1 goes to q
  pools[0].instances.erase(pools[0].instances.begin());
  pools[1].instances.erase(pools[1].instances.begin()); // q1 vanishes
  fleet.Accept(next);
  const auto& instances = fleet.state.Instances();
  trace.Section("a changed pool is a wish", [&] {
    const InstanceRecord& moved = instances.at(InstanceId("p1"));
    EXPECT_EQUAL(trace, moved.pool, kP);
    EXPECT_THAT(trace, moved.requested == InstanceRequest::Move);
    EXPECT_EQUAL(trace, moved.requestedPool, kQ);
    EXPECT_EQUAL(trace, moved.phase, InstancePhase::Serving);
  });
  trace.Section("a vanished one drains before it leaves", [&] {
    EXPECT_THAT(trace, instances.at(InstanceId("q1")).retired);
    fleet.Phase("q1", InstancePhase::Serving, InstancePhase::Draining);
    fleet.Phase("q1", InstancePhase::Draining, InstancePhase::Stopped);
    EXPECT_THAT(trace, !instances.contains(InstanceId("q1")));
    EXPECT_THAT(trace, !fleet.state.Upstreams().contains(InstanceId("q1")));
  });
}

// Guards against a finished wave that runs again, and records without end.
Test(Waves, FinishOnce)
{
  TestTrace trace;
  Fleet fleet;
  for (int i = 0; i < 20; ++i) {
    const WaveId wave("w" + std::to_string(i));
    EXPECT_THAT(trace, fleet.Ok(SetWave{ wave, WaveState::Running, "", {} }));
    EXPECT_THAT(trace, fleet.Ok(SetWave{ wave, WaveState::Finished, "", {} }));
    EXPECT_THAT(trace, !fleet.Ok(SetWave{ wave, WaveState::Running, "", {} }));
    fleet.Pass(kSecond);
  }
  EXPECT_EQUAL(trace, fleet.state.Waves().size(), 16U);
}

// Guards against a damaged snapshot that replaces a good state.
Test(Snapshots, ADamagedOneLeavesTheStateAlone)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  const std::string bytes = fleet.state.Snapshot();
  for (const std::string& bad :
       { std::string(), bytes.substr(0, bytes.size() / 2), bytes + "x" }) {
    EXPECT_THAT(trace, !fleet.state.Restore(bad).has_value());
    EXPECT_THAT(trace, fleet.state.Snapshot() == bytes);
  }
}
