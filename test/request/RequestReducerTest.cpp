// Tests of the request life cycle: admission, attempts, retries and ends.
#include "request/Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

std::uint32_t
InUse(const Fleet& aFleet)
{
  std::uint32_t inUse = 0;
  for (const wire::TeamDemand& demand : aFleet.reducer.Demand()) {
    inUse += demand.inUse;
  }
  return inUse;
}

} // namespace

// Guards against a valid request that is neither finished nor refused.
Test(RequestReducer, AdmitsRoutesAndFinishes)
{
  TestTrace trace;
  Fleet fleet;
  trace.Section("a request with a key arrives", [&] {
    const auto starts =
      EffectsOf<StartAttempt>(fleet.Step(fleet.Request("team-a")));
    EXPECT_EQUAL(trace, starts.size(), 1U);
    EXPECT_EQUAL(trace, starts[0].timeLeft, Seconds(10));
    trace.Section("its upstream is in the own data centre", [&] {
      const auto& record = fleet.state.Upstreams().at(starts[0].upstream);
      EXPECT_EQUAL(trace, record.announcement.dataCentre, DataCentreId("dc-0"));
    });
    trace.Section("its response ends it and frees the permit", [&] {
      EXPECT_EQUAL(trace, InUse(fleet), 1U);
      fleet.Finish(starts[0]);
      EXPECT_EQUAL(trace, fleet.reducer.Active(), 0U);
      EXPECT_EQUAL(trace, InUse(fleet), 0U);
    });
  });
}

// Guards against charging a request to a team whose key was not presented.
Test(RequestReducer, RefusesInvalidKeys)
{
  TestTrace trace;
  Fleet fleet;
  const auto refusal = [&](const RequestArrived& aRequest) {
    const auto refused = EffectsOf<Refuse>(fleet.Step(aRequest));
    cr_assert_eq(refused.size(), 1U, "expected one refusal");
    EXPECT_THAT(trace, refused[0].notRun);
    return refused[0].problem;
  };
  trace.Section("unknown key, wrong secret, no key", [&] {
    RequestArrived request = fleet.Request("team-x");
    EXPECT_EQUAL(trace, refusal(request), Problem::UnknownKey);
    request = fleet.Request("team-a");
    request.keyDigest[31] ^= 1;
    EXPECT_EQUAL(trace, refusal(request), Problem::UnknownKey);
    request = fleet.Request("team-a");
    request.keyDigest.clear();
    EXPECT_EQUAL(trace, refusal(request), Problem::UnknownKey);
    request = fleet.Request("team-a");
    request.key.reset();
    EXPECT_EQUAL(trace, refusal(request), Problem::UnknownKey);
  });
  trace.Section("an operator key may not run requests", [&] {
    fleet.Apply(state::GrantKey{
      KeyId("key-op"), state::KeyRole::Operator, "", DigestOf("op") });
    EXPECT_EQUAL(trace, refusal(fleet.Request("op")), Problem::WrongTeam);
  });
  trace.Section("an unknown service", [&] {
    EXPECT_EQUAL(
      trace, refusal(fleet.Request("team-a", "none")), Problem::UnknownService);
  });
  trace.Section("an invalid key is refused on an open service too", [&] {
    fleet.Serve(9, "board");
    EXPECT_EQUAL(
      trace, refusal(fleet.Request("team-x", "board")), Problem::UnknownKey);
    RequestArrived open = fleet.Request("team-x", "board");
    open.key.reset();
    EXPECT_EQUAL(trace, EffectsOf<StartAttempt>(fleet.Step(open)).size(), 1U);
  });
}

// Guards against a second run of a non-idempotent request after a byte was
// sent, and against a refusal that states "not run" in this case.
Test(RequestReducer, NeverRetriesAfterAByteMayHaveBeenSent)
{
  TestTrace trace;
  Fleet fleet;
  trace.Section("the connection is reset after the first byte", [&] {
    RequestArrived request = fleet.Request("team-a");
    request.idempotent = false;
    const auto start = FirstEffect<StartAttempt>(fleet.Step(request));
    fleet.Step(AttemptAdvanced{ request.request, 1, AttemptPhase::Sending });
    trace.Section(
      "not retried even if the failure reports an earlier phase", [&] {
        const Effects effects = fleet.Fail(start, AttemptPhase::Connecting);
        const auto refused = EffectsOf<Refuse>(effects);
        EXPECT_EQUAL(trace, refused.size(), 1U);
        EXPECT_EQUAL(trace, refused[0].problem, Problem::OutcomeUnknown);
        EXPECT_THAT(trace, !refused[0].notRun);
        const Effects later = fleet.AdvanceWithTicks(Seconds(5), Seconds(0.1));
        EXPECT_THAT(trace, EffectsOf<StartAttempt>(later).empty());
      });
  });
  trace.Section("a connect failure is retried at another upstream", [&] {
    RequestArrived request = fleet.Request("team-a");
    request.idempotent = false;
    const auto first = FirstEffect<StartAttempt>(fleet.Step(request));
    fleet.Fail(first, AttemptPhase::Connecting);
    const auto again = EffectsOf<StartAttempt>(
      fleet.AdvanceWithTicks(Seconds(1), Seconds(0.01)));
    EXPECT_EQUAL(trace, again.size(), 1U);
    EXPECT_EQUAL(trace, again[0].attempt, 2U);
    EXPECT_THAT(trace, again[0].upstream != first.upstream);
    EXPECT_THAT(trace, again[0].timeLeft < Seconds(10));
  });
}

// Guards against treating a refusal by an upstream as a run, and against a
// second attempt where none is allowed.
Test(RequestReducer, RetriesRequestsThatAnUpstreamRefused)
{
  TestTrace trace;
  Fleet fleet;
  const auto attemptsAfterRefusal = [&](const RequestArrived& aRequest) {
    Effects effects = fleet.Step(aRequest);
    for (const ClaimNeeded& claim : EffectsOf<ClaimNeeded>(effects)) {
      effects = fleet.Decide(claim);
    }
    const auto start = FirstEffect<StartAttempt>(effects);
    fleet.Step(AttemptAdvanced{ start.request, 1, AttemptPhase::Answering });
    Effects after = fleet.Step(AttemptRefused{ start.request, 1 });
    const Effects later = fleet.AdvanceWithTicks(Seconds(1), Seconds(0.01));
    after.insert(after.end(), later.begin(), later.end());
    for (const Refuse& refuse : EffectsOf<Refuse>(after)) {
      EXPECT_THAT(trace, refuse.notRun);
    }
    return EffectsOf<StartAttempt>(after).size();
  };
  trace.Section("retried if idempotent or claimed by an idempotency key", [&] {
    EXPECT_EQUAL(trace, attemptsAfterRefusal(fleet.Request("team-a")), 1U);
    EXPECT_EQUAL(
      trace,
      attemptsAfterRefusal(fleet.NonIdempotentRequest("team-a", "crew-7")),
      1U);
  });
  trace.Section("not retried without such a key or without the body", [&] {
    RequestArrived request = fleet.Request("team-a");
    request.idempotent = false;
    EXPECT_EQUAL(trace, attemptsAfterRefusal(request), 0U);
    request = fleet.Request("team-a");
    request.replayable = false;
    EXPECT_EQUAL(trace, attemptsAfterRefusal(request), 0U);
  });
}

// Guards against events of abandoned attempts that affect a later attempt: the
// request would end with the result of the wrong attempt.
Test(RequestReducer, IgnoresLateAndReorderedEvents)
{
  TestTrace trace;
  Fleet fleet;
  const auto first =
    FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.Fail(first, AttemptPhase::Sending);
  const auto second = FirstEffect<StartAttempt>(
    fleet.AdvanceWithTicks(Seconds(1), Seconds(0.01)));
  trace.Section("events of the first attempt arrive during the second", [&] {
    fleet.Finish(first);
    fleet.Fail(first, AttemptPhase::Relaying);
    fleet.Step(AttemptRefused{ first.request, first.attempt });
    EXPECT_EQUAL(trace, fleet.reducer.Active(), 1U);
  });
  trace.Section("events after the end of the request have no effect", [&] {
    fleet.Finish(second);
    EXPECT_EQUAL(trace, fleet.reducer.Active(), 0U);
    EXPECT_THAT(trace, fleet.Finish(second).empty());
    EXPECT_THAT(trace, fleet.Fail(first, AttemptPhase::Sending).empty());
    EXPECT_THAT(trace, fleet.Step(CallerDisconnected{ first.request }).empty());
    EXPECT_EQUAL(trace, fleet.reducer.Counters().finished, 1U);
  });
}

// Guards against a truncated response that looks complete to the caller.
Test(RequestReducer, AbortsTheCallerOnATruncatedResponse)
{
  TestTrace trace;
  Fleet fleet;
  const auto start =
    FirstEffect<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.Step(AttemptAdvanced{ start.request, 1, AttemptPhase::Relaying });
  const Effects effects = fleet.Fail(start, AttemptPhase::Relaying);
  EXPECT_EQUAL(trace, EffectsOf<AbortCaller>(effects).size(), 1U);
  EXPECT_THAT(trace, EffectsOf<Refuse>(effects).empty());
  EXPECT_EQUAL(trace, fleet.reducer.Active(), 0U);
}

// Guards against a disconnected caller whose request still counts against the
// queue limit, and against reusing its permit while the upstream may still run
// the request.
Test(RequestReducer, DisconnectedCallersAreDequeued)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 1;
  options.queueLimit = 1;
  Fleet fleet(options);
  const RequestArrived running = fleet.Request("team-a");
  fleet.Step(running);
  const RequestArrived waiting = fleet.Request("team-a");
  fleet.Step(waiting);
  trace.Section("the queue is full", [&] {
    const auto refused = EffectsOf<Refuse>(fleet.Step(fleet.Request("team-a")));
    EXPECT_EQUAL(trace, refused.at(0).problem, Problem::QueueFull);
    EXPECT_THAT(trace, refused.at(0).retryAfter.has_value());
  });
  trace.Section("the queued caller disconnects, another one is queued", [&] {
    fleet.Step(CallerDisconnected{ waiting.request });
    EXPECT_THAT(trace,
                EffectsOf<Refuse>(fleet.Step(fleet.Request("team-a"))).empty());
  });
  trace.Section("the running caller disconnects, its permit stays in use", [&] {
    const Effects effects = fleet.Step(CallerDisconnected{ running.request });
    EXPECT_EQUAL(trace, EffectsOf<AbandonAttempt>(effects).size(), 1U);
    EXPECT_THAT(trace, EffectsOf<StartAttempt>(effects).empty());
    EXPECT_EQUAL(trace, InUse(fleet), 1U);
  });
  trace.Section("the permit is free after the deadline and clock margin", [&] {
    fleet.AdvanceWithTicks(Seconds(10), Seconds(10));
    EXPECT_EQUAL(trace, InUse(fleet), 1U);
    fleet.AdvanceWithTicks(Seconds(0.2), Seconds(0.2));
    EXPECT_EQUAL(trace, InUse(fleet), 0U);
  });
}
