// Tests of leases, key withdrawal and the directory of upstreams.
#include "request/Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

RequestArrived
OpenRequest(Fleet& aFleet)
{
  RequestArrived request = aFleet.Request("team-c", "board");
  request.key.reset();
  return request;
}

std::vector<Problem>
Problems(const Effects& aEffects)
{
  std::vector<Problem> problems;
  for (const Refuse& refuse : EffectsOf<Refuse>(aEffects)) {
    cr_assert(refuse.notRun, "expected a refusal with notRun set");
    problems.push_back(refuse.problem);
  }
  return problems;
}

Problem
FirstProblem(const Effects& aEffects)
{
  const std::vector<Problem> problems = Problems(aEffects);
  cr_assert(!problems.empty(), "expected a refusal, found none");
  return problems.front();
}

bool
Starts(Fleet& aFleet, const RequestArrived& aRequest)
{
  const auto starts = EffectsOf<StartAttempt>(aFleet.Step(aRequest));
  if (starts.empty()) {
    aFleet.Step(CallerDisconnected{ aRequest.request });
    return false;
  }
  aFleet.Finish(starts[0]);
  return true;
}

} // namespace

// Guards against a partitioned entry instance that continues to accept requests
// with a key after 4 s or without a key after 20 s, or that uses upstreams
// which do not announce themselves to it.
Test(Leases, APartitionedInstanceStopsInSteps)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Serve(9, "board");
  fleet.Serve(10, "board");
  fleet.Renew();
  const auto hear = [&] { fleet.Announce(fleet.Announcement(9, "board")); };
  const auto hearQuotes = [&] { fleet.Announce(fleet.Announcement(4)); };
  trace.Section("1.9 s: all requests are accepted", [&] {
    fleet.AdvanceTime(Seconds(1.9));
    EXPECT_THAT(trace, Starts(fleet, fleet.Request("team-a")));
    EXPECT_THAT(trace, Starts(fleet, OpenRequest(fleet)));
  });
  trace.Section("2 s: only upstreams announced to this instance", [&] {
    fleet.AdvanceTime(Seconds(0.1));
    EXPECT_THAT(trace, !Starts(fleet, fleet.Request("team-a")));
    hearQuotes();
    const RequestArrived request = fleet.Request("team-a");
    const auto start = FirstEffect<StartAttempt>(fleet.Step(request));
    EXPECT_EQUAL(trace, start.upstream, InstanceId("u4"));
    fleet.Finish(start);
    fleet.AdvanceTime(Seconds(1.99));
    EXPECT_THAT(trace, Starts(fleet, fleet.Request("team-a")));
  });
  trace.Section("4 s: requests with a key are refused, others are not", [&] {
    fleet.AdvanceTime(Seconds(0.01));
    hear();
    hearQuotes();
    const Effects effects = fleet.Step(fleet.Request("team-a"));
    EXPECT_EQUAL(trace, FirstProblem(effects), Problem::StaleView);
    EXPECT_THAT(trace, !fleet.reducer.IsViewFresh(fleet.now));
    EXPECT_THAT(trace, Starts(fleet, OpenRequest(fleet)));
  });
  trace.Section("an announcement is valid for 2 s", [&] {
    fleet.AdvanceTime(Seconds(2));
    EXPECT_THAT(trace, !Starts(fleet, OpenRequest(fleet)));
  });
  trace.Section("20 s: all requests are refused", [&] {
    fleet.AdvanceTime(Seconds(13.9));
    hear();
    EXPECT_THAT(trace, Starts(fleet, OpenRequest(fleet)));
    fleet.AdvanceTime(Seconds(0.1));
    hear();
    EXPECT_EQUAL(
      trace, FirstProblem(fleet.Step(OpenRequest(fleet))), Problem::StaleView);
  });
  trace.Section("a renewal restores normal operation", [&] {
    fleet.Renew();
    EXPECT_THAT(trace, Starts(fleet, fleet.Request("team-a")));
  });
}

// Guards against a lease that starts when the answer is received: the delay of
// a slow answer would extend the time for which a withdrawn key is accepted.
Test(Leases, RunFromTheSendingOfTheRenewal)
{
  TestTrace trace;
  Fleet fleet;
  fleet.AdvanceTime(Seconds(3));
  trace.Section("the answer was delayed by 3 s", [&] {
    fleet.Step(LeasesRenewed{ fleet.now - Seconds(2.5), {} });
    fleet.Step(LeasesRenewed{ fleet.now - Seconds(3), {} });
    EXPECT_THAT(trace, fleet.reducer.IsViewFresh(fleet.now));
    fleet.AdvanceTime(Seconds(1.49));
    EXPECT_THAT(trace, fleet.reducer.IsViewFresh(fleet.now));
    fleet.AdvanceTime(Seconds(0.01));
    EXPECT_THAT(trace, !fleet.reducer.IsViewFresh(fleet.now));
  });
}

// Guards against queued requests that run, or stay queued until their deadline,
// although their key was withdrawn or the view is stale.
Test(Leases, QueuedKeyedWorkEndsWithItsKeyOrLease)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 1;
  Fleet fleet(options);
  const auto running =
    FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.Step(fleet.Request("team-a"));
  fleet.Step(fleet.Request("team-a"));
  trace.Section("the key is withdrawn", [&] {
    fleet.viewEffects.clear();
    fleet.Apply(state::WithdrawKey{ KeyId("key-team-a"), Duration(0) });
    const auto problems = Problems(fleet.viewEffects);
    EXPECT_EQUAL(trace, problems.size(), 2U);
    EXPECT_EQUAL(trace, problems[0], Problem::UnknownKey);
    trace.Section("the running request continues", [&] {
      EXPECT_EQUAL(trace, fleet.reducer.Active(), 1U);
      fleet.Finish(running);
    });
  });
  trace.Section("with an overlap, the key is valid until its end", [&] {
    fleet.Apply(state::WithdrawKey{ KeyId("key-team-b"), Seconds(3) });
    const auto start =
      FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-b")));
    fleet.Step(fleet.Request("team-b"));
    fleet.AdvanceTime(Seconds(3));
    fleet.Renew();
    const Effects effects = fleet.Finish(start);
    EXPECT_EQUAL(trace, FirstProblem(effects), Problem::UnknownKey);
    EXPECT_THAT(trace, EffectsOf<StartAttempt>(effects).empty());
  });
  trace.Section("a slow local clock does not extend the overlap", [&] {
    fleet.Apply(state::WithdrawKey{ KeyId("key-team-c"), Seconds(3) });
    const WallTime slow = fleet.wall - Seconds(3600);
    const auto step = [&] {
      return fleet.reducer.Step(fleet.Request("team-c"), fleet.now, slow);
    };
    EXPECT_EQUAL(trace, EffectsOf<StartAttempt>(step()).size(), 1U);
    fleet.AdvanceTime(Seconds(3));
    fleet.Renew();
    EXPECT_EQUAL(trace, FirstProblem(step()), Problem::UnknownKey);
  });
  trace.Section("the key lease expires", [&] {
    Fleet other(options);
    other.Step(other.Request("team-a"));
    other.Step(other.Request("team-a"));
    other.AdvanceTime(Seconds(4));
    const auto problems = Problems(other.Step(Tick{}));
    EXPECT_EQUAL(trace, problems.size(), 1U);
    EXPECT_EQUAL(trace, problems[0], Problem::StaleView);
  });
}

// Guards against new requests to a departing upstream, whether it is known from
// an announcement or from the log, and against reordered announcements.
Test(Directory, DepartingUpstreamsGetNoNewRequests)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 1;
  Fleet fleet(options);
  const auto works = [&] { return Starts(fleet, fleet.Request("team-a")); };
  state::Announcement serving = fleet.Announcement(0);
  state::Announcement departing = fleet.Announcement(0);
  departing.state = state::UpstreamState::Departing;
  trace.Section("announced to this instance before the log contains it", [&] {
    fleet.Announce(departing);
    EXPECT_THAT(trace, !works());
    fleet.Announce(serving);
    EXPECT_THAT(trace, !works());
  });
  trace.Section("serving again after a restart", [&] {
    state::Announcement restarted = fleet.Announcement(0);
    restarted.bootedAtMs = 2000;
    restarted.boot = "up-2";
    fleet.Apply(state::UpdateUpstream{ restarted });
    EXPECT_THAT(trace, works());
  });
  trace.Section("the log shows that its instance is being stopped", [&] {
    fleet.Apply(state::SetInstancePhase{ InstanceId("u0"),
                                         state::InstancePhase::Expected,
                                         state::InstancePhase::Serving,
                                         state::StopPurpose::None,
                                         "" });
    EXPECT_THAT(trace, works());
    fleet.Apply(state::SetInstancePhase{ InstanceId("u0"),
                                         state::InstancePhase::Serving,
                                         state::InstancePhase::Draining,
                                         state::StopPurpose::Maintenance,
                                         "wave" });
    EXPECT_THAT(trace, !works());
  });
}

// Guards against starting a request at an upstream that departed while the
// claim of the request was pending.
Test(Directory, ADepartureDuringAClaimMovesTheRequest)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 2;
  Fleet fleet(options);
  const auto claim = FirstEffect<ClaimNeeded>(
    fleet.Step(fleet.NonIdempotentRequest("team-a", "order")));
  state::Announcement departing = fleet.Announcement(0);
  departing.state = state::UpstreamState::Departing;
  fleet.Announce(departing);
  const auto starts = EffectsOf<StartAttempt>(fleet.Decide(claim));
  EXPECT_EQUAL(trace, starts.at(0).upstream, InstanceId("u1"));
}

// Guards against ignoring an upstream that is marked silent but announces
// itself to this instance, and against using one that does not.
Test(Directory, SilentUpstreamsAreUsedOnlyWhileAnnouncedHere)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 1;
  Fleet fleet(options);
  fleet.Apply(state::MarkUpstreamSilent{ InstanceId("u0"), "up-1", 1000 });
  EXPECT_THAT(trace, !Starts(fleet, fleet.Request("team-a")));
  fleet.nextSequence = 2000;
  fleet.Announce(fleet.Announcement(0));
  EXPECT_THAT(trace, Starts(fleet, fleet.Request("team-a")));
  fleet.AdvanceWithTicks(Seconds(2), Seconds(1));
  EXPECT_THAT(trace, !Starts(fleet, fleet.Request("team-a")));
}

// Guards against requests to an upstream that a restored snapshot does not
// contain: the change names only the upstreams in the snapshot.
Test(Directory, ARestoredSnapshotCanRemoveUpstreams)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 0;
  Fleet fleet(options);
  fleet.Serve(1);
  const std::string snapshot = fleet.state.Snapshot();
  fleet.Serve(0);
  EXPECT_THAT(trace, fleet.state.Restore(snapshot).has_value());
  state::Changes changes;
  changes.upstreams = { InstanceId("u1") };
  fleet.Step(ViewChanged{ changes });
  for (int number = 0; number < 4; ++number) {
    const auto start =
      FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-a")));
    EXPECT_EQUAL(trace, start.upstream, InstanceId("u1"));
    fleet.Finish(start);
  }
}
