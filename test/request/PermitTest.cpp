// Tests of permits: limits, recalls, restarts, and abandoned attempts that may
// still run.
#include "request/Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

std::uint32_t
StartMany(Fleet& aFleet, const std::string& aTeam, std::uint32_t aCount)
{
  std::size_t starts = 0;
  for (std::uint32_t number = 0; number < aCount; ++number) {
    starts +=
      EffectsOf<StartAttempt>(aFleet.Step(aFleet.Request(aTeam))).size();
  }
  return static_cast<std::uint32_t>(starts);
}

wire::TeamDemand
DemandOf(const Fleet& aFleet, const std::string& aTeam)
{
  for (const wire::TeamDemand& demand : aFleet.reducer.Demand()) {
    if (demand.team == TeamId(aTeam)) {
      return demand;
    }
  }
  return {};
}

} // namespace

// Guards against running more requests of a team than it has permits, and
// against queued requests that are not reported to the leader.
Test(Permits, LimitRunningRequests)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 3;
  Fleet fleet(options);
  EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 5), 3U);
  EXPECT_EQUAL(trace, DemandOf(fleet, "team-a").inUse, 3U);
  EXPECT_EQUAL(trace, DemandOf(fleet, "team-a").waiting, 2U);
  trace.Section("a grant starts a queued request", [&] {
    fleet.viewEffects.clear();
    fleet.Grant("team-a", 1);
    EXPECT_EQUAL(trace, EffectsOf<StartAttempt>(fleet.viewEffects).size(), 1U);
  });
  trace.Section("a lowered limit applies to new attempts immediately", [&] {
    state::Bundle bundle = fleet.BundleOf(2);
    bundle.teams[1].limit = 1;
    fleet.AcceptBundle(bundle);
    EXPECT_EQUAL(trace, StartMany(fleet, "team-b", 3), 1U);
  });
}

// Guards against a team without permits whose queued requests never cause a
// renewal.
Test(Permits, AreRequestedWhenRequestsAreQueued)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 0;
  Fleet fleet(options);
  const Effects first = fleet.Step(fleet.Request("team-a"));
  EXPECT_EQUAL(trace, EffectsOf<RenewNow>(first).size(), 1U);
  trace.Section("at most every 100 ms", [&] {
    EXPECT_THAT(
      trace, EffectsOf<RenewNow>(fleet.Step(fleet.Request("team-a"))).empty());
    fleet.AdvanceTime(Seconds(0.1));
    EXPECT_EQUAL(trace, EffectsOf<RenewNow>(fleet.Step(Tick{})).size(), 1U);
  });
}

// Guards against using a permit after its return was sent: two entry instances
// could use it at the same time.
Test(Permits, AreNotUsedAfterTheirReturn)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 4;
  Fleet fleet(options);
  const auto running =
    FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  const auto returned = [&](const Effects& aEffects) {
    std::uint32_t count = 0;
    for (const auto& effect : EffectsOf<SendReturnPermits>(aEffects)) {
      count += effect.permits.count;
    }
    return count;
  };
  const Effects recall = fleet.Renew({ { TeamId("team-a"), 6 } });
  EXPECT_EQUAL(trace, returned(recall), 3U);
  trace.Section("before the log contains the return", [&] {
    EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 2), 0U);
  });
  trace.Section("the permit in use is returned when its request ends", [&] {
    const Effects effects = fleet.Finish(running);
    EXPECT_EQUAL(
      trace, returned(effects) + EffectsOf<StartAttempt>(effects).size(), 1U);
  });
}

// Guards against losing the permits of a return that never reached the log, and
// against using them while the return can still be applied.
Test(Permits, ALostReturnIsSettledByALaterOne)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 4;
  Fleet fleet(options);
  fleet.Renew({ { TeamId("team-a"), 3 } }); // sequence 1, lost
  const auto second =
    FirstEffect<SendReturnPermits>(fleet.Renew({ { TeamId("team-b"), 1 } }));
  EXPECT_EQUAL(trace, second.permits.sequence, 2U);
  EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 4), 1U);
  trace.Section("the log applied return 2 and will skip return 1", [&] {
    fleet.viewEffects.clear();
    fleet.Apply(second.permits);
    EXPECT_EQUAL(trace, EffectsOf<StartAttempt>(fleet.viewEffects).size(), 3U);
    EXPECT_EQUAL(trace, StartMany(fleet, "team-b", 4), 3U);
  });
}

// Guards against using the permits of an earlier boot after a restart.
Test(Permits, OfAnEarlierBootAreNotUsed)
{
  TestTrace trace;
  Fleet fleet;
  fleet.reducer = RequestReducer(ReducerOptions(2, "boot-2"), fleet.state);
  fleet.Renew();
  EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 1), 0U);
  trace.Section("not used after the registration of the new boot either", [&] {
    fleet.Apply(state::RegisterEntry{ InstanceId("entry-1"), "boot-2" });
    EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 1), 0U);
  });
  trace.Section("a new grant is used", [&] {
    fleet.viewEffects.clear();
    fleet.Apply(state::GrantPermits{
      InstanceId("entry-1"), "boot-2", TeamId("team-a"), 1 });
    EXPECT_EQUAL(trace, EffectsOf<StartAttempt>(fleet.viewEffects).size(), 1U);
  });
}

// Guards against freeing a permit while the upstream may still run an abandoned
// or failed attempt, and against losing permits when an upstream restarts.
Test(Permits, StayInUseWhileAnAttemptMayRun)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 1;
  Fleet fleet(options);
  const auto used = [&] { return DemandOf(fleet, "team-a").inUse; };
  const auto start = [&] {
    return FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  };
  trace.Section("free after a connect failure or a refusal", [&] {
    const auto refused = start();
    fleet.Step(AttemptRefused{ refused.request, 1 });
    fleet.Step(CallerDisconnected{ refused.request });
    const auto failed = start();
    fleet.Fail(failed, AttemptPhase::Connecting);
    fleet.Step(CallerDisconnected{ failed.request });
    EXPECT_EQUAL(trace, used(), 0U);
  });
  trace.Section("in use after a reset or a caller disconnect", [&] {
    const auto reset = start();
    fleet.Fail(reset, AttemptPhase::Sending);
    fleet.Step(CallerDisconnected{ reset.request });
    fleet.Step(CallerDisconnected{ start().request });
    EXPECT_EQUAL(trace, used(), 2U);
  });
  trace.Section("free after a new boot of the upstream", [&] {
    state::Announcement restarted = fleet.Announcement(0);
    restarted.bootedAtMs = 2000;
    restarted.boot = "up-2";
    fleet.Announce(restarted);
    EXPECT_EQUAL(trace, used(), 0U);
  });
}

// Guards against a graceful stop that keeps idle permits or admits new
// requests.
Test(Permits, AreReturnedOnAGracefulStop)
{
  TestTrace trace;
  Fleet fleet;
  const auto running =
    FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.reducer.StopAdmission();
  const auto returns = EffectsOf<SendReturnPermits>(fleet.Step(Tick{}));
  EXPECT_EQUAL(trace, returns.size(), 3U);
  EXPECT_EQUAL(trace, returns[0].permits.count, 19U);
  const auto refused = EffectsOf<Refuse>(fleet.Step(fleet.Request("team-b")));
  EXPECT_EQUAL(trace, refused.at(0).problem, Problem::Stopping);
  EXPECT_EQUAL(
    trace, EffectsOf<SendReturnPermits>(fleet.Finish(running)).size(), 1U);
}
