// Tests of upstreams, instances, waves and damaged snapshots.
#include "Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;
using namespace hyssoppaddle::test;

namespace {

const PoolId kP("p");
const PoolId kQ("q");

MarkUpstreamSilent
MakeMarkSilent(const std::string& aInstance, std::uint64_t aSequence)
{
  return { InstanceId(aInstance), "boot1", aSequence };
}

void
Reboot(Fleet& aFleet, const std::string& aInstance)
{
  using enum InstancePhase;
  aFleet.SetPhase(aInstance, Serving, Draining);
  aFleet.SetPhase(aInstance, Draining, Stopped);
  aFleet.SetPhase(aInstance, Stopped, Rebooting);
}

} // namespace

// Guards against accepting unknown instances, and against delayed announcements
// that overwrite a newer state.
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
      IsRefusedWith(fleet.Announce("p1", 9), "booted_at_ms 2, boot boot0"));
  });
}

// Guards against counting an instance as serving after its upstream fell
// silent.
Test(Upstreams, AreLostWhenSilentUntilTheNextAnnouncement)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Announce("p1", 5);
  trace.Section("an outdated report of silence is refused", [&] {
    EXPECT_THAT(trace, !fleet.Ok(MakeMarkSilent("p1", 4)));
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), InstancePhase::Serving);
  });
  trace.Section("a current report makes the instance lost", [&] {
    EXPECT_THAT(trace, fleet.Ok(MakeMarkSilent("p1", 7)));
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), InstancePhase::Lost);
    EXPECT_EQUAL(trace, fleet.state.AvailableIn(kP), 2U);
    EXPECT_THAT(trace, !fleet.Announce("p1", 6).Ok());
  });
  trace.Section("a new boot soaks before it counts as serving", [&] {
    fleet.Announce("p1", 1, "boot2", UpstreamState::Serving, 2);
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), InstancePhase::Soaking);
    EXPECT_THAT(
      trace,
      !fleet.SetPhase("p1", InstancePhase::Soaking, InstancePhase::Serving)
         .Ok());
    fleet.AdvanceTime(120 * kSecond);
    EXPECT_THAT(
      trace,
      fleet.SetPhase("p1", InstancePhase::Soaking, InstancePhase::Serving)
        .Ok());
  });
}

// Guards against counting a departing upstream as serving, and against placing
// new work on it.
Test(Upstreams, AreNotAvailableWhenDeparting)
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

// Guards against planned stops that violate min_available, also after unplanned
// losses.
Test(Instances, RespectMinAvailable)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  EXPECT_THAT(trace, fleet.SetPhase("p1", Serving, Draining).Ok());
  EXPECT_THAT(trace, !fleet.SetPhase("p2", Serving, Draining).Ok());
  trace.Section("losses below min_available block further planned stops", [&] {
    fleet.SetPhase("p1", Draining, Serving);
    fleet.Apply(MakeMarkSilent("p1", 1));
    fleet.Apply(MakeMarkSilent("p2", 1));
    EXPECT_EQUAL(trace, fleet.state.AvailableIn(kP), 1U);
    EXPECT_THAT(trace, !fleet.SetPhase("p3", Serving, Draining).Ok());
    EXPECT_THAT(trace, !fleet.SetPhase("p3", Serving, Lost).Ok());
  });
}

// Guards against accepting a reboot without a new boot ID, and against phase
// changes that skip the drain.
Test(Instances, FollowThePhasesOfMaintenance)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  EXPECT_THAT(trace, !fleet.SetPhase("p1", Serving, Stopped).Ok());
  EXPECT_THAT(trace, !fleet.SetPhase("p1", Draining, Stopped).Ok());
  Reboot(fleet, "p1");
  EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Rebooting);
  trace.Section("an announcement of the stopped boot changes nothing", [&] {
    fleet.Announce("p1", 9);
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Rebooting);
  });
  trace.Section("silence is expected during the reboot", [&] {
    fleet.Apply(MakeMarkSilent("p1", 9));
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Rebooting);
  });
  trace.Section("a new boot ID proves the reboot", [&] {
    fleet.Announce("p1", 1, "boot2", UpstreamState::Serving, 2);
    EXPECT_EQUAL(trace, fleet.PhaseOf("p1"), Soaking);
    EXPECT_THAT(trace,
                fleet.state.Instances().at(InstanceId("p1")).lastMaintainedAt ==
                  fleet.now);
  });
}

// Guards against an instance that is in two pools or that moves while it is
// serving.
Test(Instances, MoveAtomicallyAfterTheDrain)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  using enum InstancePhase;
  const MoveInstance move{ InstanceId("p1"), kP, kQ };
  EXPECT_THAT(trace, !fleet.Ok(move));
  fleet.Apply(
    RequestInstanceAction{ InstanceId("p1"), InstanceAction::Move, kQ });
  fleet.SetPhase("p1", Serving, Draining);
  fleet.SetPhase("p1", Draining, Moving);
  const auto& record = fleet.state.Instances().at(InstanceId("p1"));
  EXPECT_EQUAL(trace, record.pool, kP);
  EXPECT_EQUAL(trace, record.movingToPool, kQ);
  EXPECT_THAT(trace, fleet.Ok(move));
  EXPECT_THAT(trace, !fleet.Ok(move));
  EXPECT_EQUAL(trace, record.pool, kQ);
  EXPECT_THAT(trace, !record.requested.has_value());
  EXPECT_EQUAL(trace, fleet.state.InstancesOf(kP).size(), 2U);
}

// Guards against a bundle that moves or removes a serving instance without a
// drain.
Test(Instances, RequestTheMovesOfABundle)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  Bundle next = MakeBundle(2);
  auto& pools = next.pools;
  pools[1].instances.push_back(pools[0].instances[0]); // p1 moves to q
  pools[0].instances.erase(pools[0].instances.begin());
  pools[1].instances.erase(pools[1].instances.begin()); // q1 is removed
  fleet.Accept(next);
  const auto& instances = fleet.state.Instances();
  trace.Section("a changed pool becomes a requested move", [&] {
    const InstanceRecord& moved = instances.at(InstanceId("p1"));
    EXPECT_EQUAL(trace, moved.pool, kP);
    EXPECT_THAT(trace, moved.requested == InstanceAction::Move);
    EXPECT_EQUAL(trace, moved.requestedPool, kQ);
    EXPECT_EQUAL(trace, moved.phase, InstancePhase::Serving);
  });
  trace.Section("a removed instance drains before its record is dropped", [&] {
    EXPECT_THAT(trace, instances.at(InstanceId("q1")).retired);
    fleet.SetPhase("q1", InstancePhase::Serving, InstancePhase::Draining);
    fleet.SetPhase("q1", InstancePhase::Draining, InstancePhase::Stopped);
    EXPECT_THAT(trace, !instances.contains(InstanceId("q1")));
    EXPECT_THAT(trace, !fleet.state.Upstreams().contains(InstanceId("q1")));
  });
}

// Guards against restarting a finished wave, and against an unbounded number of
// wave records.
Test(Waves, FinishOnce)
{
  TestTrace trace;
  Fleet fleet;
  for (int i = 0; i < 20; ++i) {
    const WaveId wave("w" + std::to_string(i));
    EXPECT_THAT(trace, fleet.Ok(SetWave{ wave, WaveState::Running, "", {} }));
    EXPECT_THAT(trace, fleet.Ok(SetWave{ wave, WaveState::Finished, "", {} }));
    EXPECT_THAT(trace, !fleet.Ok(SetWave{ wave, WaveState::Running, "", {} }));
    fleet.AdvanceTime(kSecond);
  }
  EXPECT_EQUAL(trace, fleet.state.Waves().size(), 16U);
}

// Guards against a damaged snapshot that overwrites a valid state.
Test(Snapshots, DamagedOnesLeaveTheStateUnchanged)
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
