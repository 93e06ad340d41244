// Tests of the life of a request: admission, attempts, retries and ends.
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

// Guards against a path on which a valid request is neither answered nor
// refused.
Test(RequestReducer, AdmitsRoutesAndFinishes)
{
  TestTrace trace;
  Fleet fleet;
  trace.Section("a keyed request arrives", [&] {
    const auto starts = Of<StartAttempt>(fleet.Step(fleet.Request("team-a")));
    EXPECT_EQUAL(trace, starts.size(), 1U);
    EXPECT_EQUAL(trace, starts[0].timeLeft, Seconds(10));
    trace.Section("in the own data centre", [&] {
      const auto& record = fleet.state.Upstreams().at(starts[0].upstream);
      EXPECT_EQUAL(trace, record.announcement.dataCentre, DataCentreId("dc-0"));
    });
    trace.Section("and its answer ends it and frees the permit", [&] {
      EXPECT_EQUAL(trace, InUse(fleet), 1U);
      fleet.Finish(starts[0]);
      EXPECT_EQUAL(trace, fleet.reducer.Active(), 0U);
      EXPECT_EQUAL(trace, InUse(fleet), 0U);
    });
  });
}

// Guards against work charged to a team whose key was not presented.
Test(RequestReducer, RefusesKeysThatDoNotFit)
{
  TestTrace trace;
  Fleet fleet;
  const auto refusal = [&](const RequestArrived& aRequest) {
    const auto refused = Of<Refuse>(fleet.Step(aRequest));
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
  trace.Section("an operator's key does not run requests", [&] {
    fleet.Apply(state::GrantKey{
      KeyId("key-op"), state::KeyRole::Operator, "", DigestOf("op") });
    EXPECT_EQUAL(trace, refusal(fleet.Request("op")), Problem::WrongTeam);
  });
  trace.Section("an unknown service", [&] {
    EXPECT_EQUAL(
      trace, refusal(fleet.Request("team-a", "none")), Problem::UnknownService);
  });
  trace.Section("a bad key on an open service is not charged to it", [&] {
    fleet.Serve(9, "board");
    EXPECT_EQUAL(
      trace, refusal(fleet.Request("team-x", "board")), Problem::UnknownKey);
    RequestArrived open = fleet.Request("team-x", "board");
    open.key.reset();
    EXPECT_EQUAL(trace, Of<StartAttempt>(fleet.Step(open)).size(), 1U);
  });
}

// Guards against a second run of a non-idempotent request after a byte left,
// and against a refusal that denies that run.
Test(RequestReducer, NeverRetriesOnceAByteMayHaveLeft)
{
  TestTrace trace;
  Fleet fleet;
  trace.Section("an attempt is reset after its first byte", [&] {
    RequestArrived request = fleet.Request("team-a");
    request.idempotent = false;
    const auto start = First<StartAttempt>(fleet.Step(request));
    fleet.Step(AttemptAdvanced{ request.request, 1, AttemptPhase::Sending });
    trace.Section("even if the failure names an earlier phase", [&] {
      const Effects effects = fleet.Fail(start, AttemptPhase::Connecting);
      const auto refused = Of<Refuse>(effects);
      EXPECT_EQUAL(trace, refused.size(), 1U);
      EXPECT_EQUAL(trace, refused[0].problem, Problem::OutcomeUnknown);
      EXPECT_THAT(trace, !refused[0].notRun);
      const Effects later = fleet.PassWithTicks(Seconds(5), Seconds(0.1));
      EXPECT_THAT(trace, Of<StartAttempt>(later).empty());
    });
  });
  trace.Section("a connect failure is retried elsewhere", [&] {
    RequestArrived request = fleet.Request("team-a");
    request.idempotent = false;
    const auto first = First<StartAttempt>(fleet.Step(request));
    fleet.Fail(first, AttemptPhase::Connecting);
    const auto again =
      Of<StartAttempt>(fleet.PassWithTicks(Seconds(1), Seconds(0.01)));
    EXPECT_EQUAL(trace, again.size(), 1U);
    EXPECT_EQUAL(trace, again[0].attempt, 2U);
    EXPECT_THAT(trace, again[0].upstream != first.upstream);
    EXPECT_THAT(trace, again[0].timeLeft < Seconds(10));
  });
}

// Guards against a refusal by an upstream being taken for a run, and against a
// second attempt where none is allowed.
Test(RequestReducer, RetriesWhatAnUpstreamDidNotRun)
{
  TestTrace trace;
  Fleet fleet;
  const auto attemptsAfterRefusal = [&](const RequestArrived& aRequest) {
    Effects effects = fleet.Step(aRequest);
    for (const ClaimNeeded& claim : Of<ClaimNeeded>(effects)) {
      effects = fleet.Decide(claim);
    }
    const auto start = First<StartAttempt>(effects);
    fleet.Step(AttemptAdvanced{ start.request, 1, AttemptPhase::Answering });
    Effects after = fleet.Step(AttemptRefused{ start.request, 1 });
    const Effects later = fleet.PassWithTicks(Seconds(1), Seconds(0.01));
    after.insert(after.end(), later.begin(), later.end());
    for (const Refuse& refuse : Of<Refuse>(after)) {
      EXPECT_THAT(trace, refuse.notRun);
    }
    return Of<StartAttempt>(after).size();
  };
  trace.Section("idempotent, and claimed by an idempotency key", [&] {
    EXPECT_EQUAL(trace, attemptsAfterRefusal(fleet.Request("team-a")), 1U);
    EXPECT_EQUAL(
      trace, attemptsAfterRefusal(fleet.OnceOnly("team-a", "crew-7")), 1U);
  });
  trace.Section("not without a key, nor when the body is gone", [&] {
    RequestArrived request = fleet.Request("team-a");
    request.idempotent = false;
    EXPECT_EQUAL(trace, attemptsAfterRefusal(request), 0U);
    request = fleet.Request("team-a");
    request.replayable = false;
    EXPECT_EQUAL(trace, attemptsAfterRefusal(request), 0U);
  });
}

// Guards against events of abandoned attempts changing later ones, which would
// give a caller the end of another attempt.
Test(RequestReducer, IgnoresLateAndReorderedEvents)
{
  TestTrace trace;
  Fleet fleet;
  const auto first = First<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.Fail(first, AttemptPhase::Sending);
  const auto second =
    First<StartAttempt>(fleet.PassWithTicks(Seconds(1), Seconds(0.01)));
  trace.Section("events of the first attempt arrive during the second", [&] {
    fleet.Finish(first);
    fleet.Fail(first, AttemptPhase::Relaying);
    fleet.Step(AttemptRefused{ first.request, first.attempt });
    EXPECT_EQUAL(trace, fleet.reducer.Active(), 1U);
  });
  trace.Section("and after the end nothing happens any more", [&] {
    fleet.Finish(second);
    EXPECT_EQUAL(trace, fleet.reducer.Active(), 0U);
    EXPECT_THAT(trace, fleet.Finish(second).empty());
    EXPECT_THAT(trace, fleet.Fail(first, AttemptPhase::Sending).empty());
    EXPECT_THAT(trace, fleet.Step(CallerGone{ first.request }).empty());
    EXPECT_EQUAL(trace, fleet.reducer.Counters().finished, 1U);
  });
}

// Guards against an answer cut off midway that looks complete to the caller.
Test(RequestReducer, AbortsTheCallerWhenTheAnswerBreaks)
{
  TestTrace trace;
  Fleet fleet;
  const auto start = First<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.Step(AttemptAdvanced{ start.request, 1, AttemptPhase::Relaying });
  const Effects effects = fleet.Fail(start, AttemptPhase::Relaying);
  EXPECT_EQUAL(trace, Of<AbortCaller>(effects).size(), 1U);
  EXPECT_THAT(trace, Of<Refuse>(effects).empty());
  EXPECT_EQUAL(trace, fleet.reducer.Active(), 0U);
}

// Guards against a queue place that a caller who went away still takes, and
// against its permit being used while the upstream may still run the request.
Test(RequestReducer, CallersThatGoAwayFreeTheirPlace)
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
    const auto refused = Of<Refuse>(fleet.Step(fleet.Request("team-a")));
    EXPECT_EQUAL(trace, refused.at(0).problem, Problem::QueueFull);
    EXPECT_THAT(trace, refused.at(0).retryAfter.has_value());
  });
  trace.Section("the waiting caller leaves, another takes the place", [&] {
    fleet.Step(CallerGone{ waiting.request });
    EXPECT_THAT(trace, Of<Refuse>(fleet.Step(fleet.Request("team-a"))).empty());
  });
  trace.Section("the running caller leaves: its permit stays in use", [&] {
    const Effects effects = fleet.Step(CallerGone{ running.request });
    EXPECT_EQUAL(trace, Of<AbandonAttempt>(effects).size(), 1U);
    EXPECT_THAT(trace, Of<StartAttempt>(effects).empty());
    EXPECT_EQUAL(trace, InUse(fleet), 1U);
  });
  trace.Section("until the deadline with the clock margin", [&] {
    fleet.PassWithTicks(Seconds(10), Seconds(10));
    EXPECT_EQUAL(trace, InUse(fleet), 1U);
    fleet.PassWithTicks(Seconds(0.2), Seconds(0.2));
    EXPECT_EQUAL(trace, InUse(fleet), 0U);
  });
}
