// Tests of leases, key withdrawal and the directory of upstreams.
#include "request/Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

RequestArrived
Open(Fleet& aFleet)
{
  RequestArrived request = aFleet.Request("team-c", "board");
  request.key.reset();
  return request;
}

std::vector<Problem>
Problems(const Effects& aEffects)
{
  std::vector<Problem> problems;
  for (const Refuse& refuse : Of<Refuse>(aEffects)) {
    cr_assert(refuse.notRun, "expected a refusal that states not run");
    problems.push_back(refuse.problem);
  }
  return problems;
}

Problem
FirstProblem(const Effects& aEffects)
{
  const std::vector<Problem> problems = Problems(aEffects);
  cr_assert(!problems.empty(), "expected a refusal, actual none");
  return problems.front();
}

bool
Starts(Fleet& aFleet, const RequestArrived& aRequest)
{
  const auto starts = Of<StartAttempt>(aFleet.Step(aRequest));
  if (starts.empty()) {
    aFleet.Step(CallerGone{ aRequest.request });
    return false;
  }
  aFleet.Finish(starts[0]);
  return true;
}

} // namespace

// Guards against a partitioned entry instance that goes on with keyed work
// beyond 4 s, with open work beyond 20 s, or with upstreams it does not hear.
Test(Leases, ACutOffInstanceStopsInSteps)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Serve(9, "board");
  fleet.Serve(10, "board");
  fleet.Renew();
  const auto hear = [&] { fleet.Announce(fleet.Announcement(9, "board")); };
  const auto hearQuotes = [&] { fleet.Announce(fleet.Announcement(4)); };
  trace.Section("1.9 s: everything works", [&] {
    fleet.Pass(Seconds(1.9));
    EXPECT_THAT(trace, Starts(fleet, fleet.Request("team-a")));
    EXPECT_THAT(trace, Starts(fleet, Open(fleet)));
  });
  trace.Section("2 s: only upstreams that are heard here", [&] {
    fleet.Pass(Seconds(0.1));
    EXPECT_THAT(trace, !Starts(fleet, fleet.Request("team-a")));
    hearQuotes();
    const RequestArrived request = fleet.Request("team-a");
    const auto start = First<StartAttempt>(fleet.Step(request));
    EXPECT_EQUAL(trace, start.upstream, InstanceId("u4"));
    fleet.Finish(start);
    fleet.Pass(Seconds(1.99));
    EXPECT_THAT(trace, Starts(fleet, fleet.Request("team-a")));
  });
  trace.Section("4 s: keyed work is refused, open work goes on", [&] {
    fleet.Pass(Seconds(0.01));
    hear();
    hearQuotes();
    const Effects effects = fleet.Step(fleet.Request("team-a"));
    EXPECT_EQUAL(trace, FirstProblem(effects), Problem::StaleView);
    EXPECT_THAT(trace, !fleet.reducer.IsViewFresh(fleet.now));
    EXPECT_THAT(trace, Starts(fleet, Open(fleet)));
  });
  trace.Section("an announcement counts for 2 s", [&] {
    fleet.Pass(Seconds(2));
    EXPECT_THAT(trace, !Starts(fleet, Open(fleet)));
  });
  trace.Section("20 s: nothing new at all", [&] {
    fleet.Pass(Seconds(13.9));
    hear();
    EXPECT_THAT(trace, Starts(fleet, Open(fleet)));
    fleet.Pass(Seconds(0.1));
    hear();
    EXPECT_EQUAL(
      trace, FirstProblem(fleet.Step(Open(fleet))), Problem::StaleView);
  });
  trace.Section("a renewal brings all of it back", [&] {
    fleet.Renew();
    EXPECT_THAT(trace, Starts(fleet, fleet.Request("team-a")));
  });
}

// Guards against a lease that runs from the receipt of the answer: a slow
// answer would then add its delay to the time a withdrawn key works.
Test(Leases, RunFromTheSendingOfTheRenewal)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Pass(Seconds(3));
  trace.Section("the answer took 3 s", [&] {
    fleet.Step(Renewed{ fleet.now - Seconds(2.5), {} });
    fleet.Step(Renewed{ fleet.now - Seconds(3), {} });
    EXPECT_THAT(trace, fleet.reducer.IsViewFresh(fleet.now));
    fleet.Pass(Seconds(1.49));
    EXPECT_THAT(trace, fleet.reducer.IsViewFresh(fleet.now));
    fleet.Pass(Seconds(0.01));
    EXPECT_THAT(trace, !fleet.reducer.IsViewFresh(fleet.now));
  });
}

// Guards against queued work that runs, or waits until its deadline, although
// its key was withdrawn or the view has become stale.
Test(Leases, QueuedKeyedWorkEndsWithItsKeyOrLease)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 1;
  Fleet fleet(options);
  const auto running = First<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.Step(fleet.Request("team-a"));
  fleet.Step(fleet.Request("team-a"));
  trace.Section("the key is withdrawn", [&] {
    fleet.viewEffects.clear();
    fleet.Apply(state::WithdrawKey{ KeyId("key-team-a"), Duration(0) });
    const auto problems = Problems(fleet.viewEffects);
    EXPECT_EQUAL(trace, problems.size(), 2U);
    EXPECT_EQUAL(trace, problems[0], Problem::UnknownKey);
    trace.Section("running work goes on", [&] {
      EXPECT_EQUAL(trace, fleet.reducer.Active(), 1U);
      fleet.Finish(running);
    });
  });
  trace.Section("with an overlap the key works until its end", [&] {
    fleet.Apply(state::WithdrawKey{ KeyId("key-team-b"), Seconds(3) });
    const auto start = First<StartAttempt>(fleet.Step(fleet.Request("team-b")));
    fleet.Step(fleet.Request("team-b"));
    fleet.Pass(Seconds(3));
    fleet.Renew();
    const Effects effects = fleet.Finish(start);
    EXPECT_EQUAL(trace, FirstProblem(effects), Problem::UnknownKey);
    EXPECT_THAT(trace, Of<StartAttempt>(effects).empty());
  });
  trace.Section("a slow local clock does not lengthen it", [&] {
    fleet.Apply(state::WithdrawKey{ KeyId("key-team-c"), Seconds(3) });
    const WallTime slow = fleet.wall - Seconds(3600);
    const auto step = [&] {
      return fleet.reducer.Step(fleet.Request("team-c"), fleet.now, slow);
    };
    EXPECT_EQUAL(trace, Of<StartAttempt>(step()).size(), 1U);
    fleet.Pass(Seconds(3));
    fleet.Renew();
    EXPECT_EQUAL(trace, FirstProblem(step()), Problem::UnknownKey);
  });
  trace.Section("the key lease ends", [&] {
    Fleet other(options);
    other.Step(other.Request("team-a"));
    other.Step(other.Request("team-a"));
    other.Pass(Seconds(4));
    const auto problems = Problems(other.Step(Tick{}));
    EXPECT_EQUAL(trace, problems.size(), 1U);
    EXPECT_EQUAL(trace, problems[0], Problem::StaleView);
  });
}

// Guards against new work for an upstream that departs, whichever way this
// instance learns of it, and against announcements that overtake each other.
Test(Directory, DepartingUpstreamsGetNothingNew)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 1;
  Fleet fleet(options);
  const auto works = [&] { return Starts(fleet, fleet.Request("team-a")); };
  state::Announcement serving = fleet.Announcement(0);
  state::Announcement departing = fleet.Announcement(0);
  departing.state = state::UpstreamState::Departing;
  trace.Section("it says so here, before the log has it", [&] {
    fleet.Announce(departing);
    EXPECT_THAT(trace, !works());
    fleet.Announce(serving);
    EXPECT_THAT(trace, !works());
  });
  trace.Section("it serves again after a restart", [&] {
    state::Announcement restarted = fleet.Announcement(0);
    restarted.bootedAtMs = 2000;
    restarted.boot = "up-2";
    fleet.Apply(state::UpdateUpstream{ restarted });
    EXPECT_THAT(trace, works());
  });
  trace.Section("the log says that its instance is being stopped", [&] {
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

// Guards against a request that waits for a claim and then starts at an
// upstream that departed meanwhile.
Test(Directory, ADepartureDuringAClaimMovesTheRequest)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 2;
  Fleet fleet(options);
  const auto claim =
    First<ClaimNeeded>(fleet.Step(fleet.OnceOnly("team-a", "order")));
  state::Announcement departing = fleet.Announcement(0);
  departing.state = state::UpstreamState::Departing;
  fleet.Announce(departing);
  const auto starts = Of<StartAttempt>(fleet.Decide(claim));
  EXPECT_EQUAL(trace, starts.at(0).upstream, InstanceId("u1"));
}

// Guards against an upstream that is marked silent but still heard here being
// lost to this instance, and against one that is not heard being used.
Test(Directory, SilentUpstreamsAreUsedOnlyWhileHeardHere)
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
  fleet.PassWithTicks(Seconds(2), Seconds(1));
  EXPECT_THAT(trace, !Starts(fleet, fleet.Request("team-a")));
}

// Guards against work for an upstream that a restored snapshot no longer has:
// the change names only the upstreams that it does have.
Test(Directory, ARestoredSnapshotCanMissUpstreams)
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
    const auto start = First<StartAttempt>(fleet.Step(fleet.Request("team-a")));
    EXPECT_EQUAL(trace, start.upstream, InstanceId("u1"));
    fleet.Finish(start);
  }
}
