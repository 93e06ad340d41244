// Tests of claims of non-idempotent requests.
#include "request/Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

ClaimNeeded
Ask(Fleet& aFleet, const std::string& aKey)
{
  const Effects effects = aFleet.Step(aFleet.OnceOnly("team-a", aKey));
  cr_assert(Of<StartAttempt>(effects).empty(),
            "expected no attempt before the claim is decided");
  return First<ClaimNeeded>(effects);
}

Refuse
Refusal(const Effects& aEffects)
{
  return First<Refuse>(aEffects);
}

state::ClaimState
StateOf(const Fleet& aFleet, const std::string& aKey)
{
  return aFleet.state.Claims().at({ TeamId("team-a"), aKey }).state;
}

void
ApplyEnds(Fleet& aFleet, const Effects& aEffects)
{
  for (const ClaimEnded& ended : Of<ClaimEnded>(aEffects)) {
    aFleet.Apply(ended.finish);
  }
}

} // namespace

// Guards against a second run of a request that was sent twice.
Test(Claims, ASecondRequestLearnsTheStateOfTheFirst)
{
  TestTrace trace;
  Fleet fleet;
  const auto start = First<StartAttempt>(fleet.Decide(Ask(fleet, "payslip")));
  trace.Section("while it runs", [&] {
    const Refuse refuse = Refusal(fleet.Decide(Ask(fleet, "payslip")));
    EXPECT_EQUAL(trace, refuse.problem, Problem::AlreadyRunning);
    EXPECT_THAT(trace, !refuse.notRun);
  });
  trace.Section("after it is done", [&] {
    ApplyEnds(fleet, fleet.Finish(start, Seconds(0.1), 201));
    const Refuse refuse = Refusal(fleet.Decide(Ask(fleet, "payslip")));
    EXPECT_EQUAL(trace, refuse.problem, Problem::AlreadyDone);
    EXPECT_EQUAL(trace, refuse.detail, "status 201");
  });
  trace.Section("the key is used for another request", [&] {
    RequestArrived other = fleet.OnceOnly("team-a", "payslip");
    other.requestDigest = "another";
    const auto claim = First<ClaimNeeded>(fleet.Step(other));
    const Refuse refuse = Refusal(fleet.Decide(claim));
    EXPECT_EQUAL(trace, refuse.problem, Problem::KeyReused);
  });
}

// Guards against a claim that ends as "not run" after a byte may have left, and
// against one that blocks resends although nothing was sent.
Test(Claims, EndAsWhatIsKnown)
{
  TestTrace trace;
  Fleet fleet;
  const auto startOf = [&](const std::string& aKey) {
    return First<StartAttempt>(fleet.Decide(Ask(fleet, aKey)));
  };
  trace.Section("reset after a byte left: unknown", [&] {
    ApplyEnds(fleet, fleet.Fail(startOf("a"), AttemptPhase::Sending));
    EXPECT_EQUAL(trace, StateOf(fleet, "a"), state::ClaimState::Unknown);
    const Refuse refuse = Refusal(fleet.Decide(Ask(fleet, "a")));
    EXPECT_EQUAL(trace, refuse.problem, Problem::OutcomeUnknown);
    EXPECT_THAT(trace, !refuse.notRun);
  });
  trace.Section("the caller left while it ran: unknown", [&] {
    ApplyEnds(fleet, fleet.Step(CallerGone{ startOf("b").request }));
    EXPECT_EQUAL(trace, StateOf(fleet, "b"), state::ClaimState::Unknown);
  });
  trace.Section("the caller left during the claim: free again", [&] {
    const ClaimNeeded claim = Ask(fleet, "c");
    fleet.Step(CallerGone{ claim.request });
    ApplyEnds(fleet, fleet.Decide(claim));
    EXPECT_EQUAL(trace, StateOf(fleet, "c"), state::ClaimState::NotRun);
    EXPECT_EQUAL(trace, startOf("c").attempt, 1U);
  });
  trace.Section("the deadline passed while it ran", [&] {
    startOf("d");
    const Effects effects = fleet.PassWithTicks(Seconds(10), Seconds(1));
    ApplyEnds(fleet, effects);
    EXPECT_EQUAL(trace, StateOf(fleet, "d"), state::ClaimState::Unknown);
    EXPECT_EQUAL(trace, Refusal(effects).problem, Problem::DeadlinePassed);
    EXPECT_THAT(trace, !Refusal(effects).notRun);
  });
}

// Guards against a run without a durable claim, and against a claim whose
// decision was lost blocking resends for 24 h.
Test(Claims, LostDecisionsSendNothing)
{
  TestTrace trace;
  Fleet fleet;
  trace.Section("surely not claimed", [&] {
    const ClaimNeeded claim = Ask(fleet, "a");
    const Effects effects =
      fleet.Step(ClaimDecided{ claim.request, false, false, {} });
    EXPECT_EQUAL(trace, Refusal(effects).problem, Problem::NoQuorum);
    EXPECT_THAT(trace, Refusal(effects).notRun);
    EXPECT_THAT(trace, Of<StartAttempt>(effects).empty());
  });
  trace.Section("perhaps claimed: freed once it is seen", [&] {
    const ClaimNeeded claim = Ask(fleet, "b");
    const Effects effects =
      fleet.Step(ClaimDecided{ claim.request, false, true, {} });
    EXPECT_THAT(trace, Refusal(effects).notRun);
    EXPECT_THAT(trace, Of<StartAttempt>(effects).empty());
    EXPECT_THAT(trace, Of<ClaimEnded>(fleet.Step(Tick{})).empty());
    fleet.Apply(claim.claim);
    ApplyEnds(fleet, fleet.Step(Tick{}));
    EXPECT_EQUAL(trace, StateOf(fleet, "b"), state::ClaimState::NotRun);
  });
  trace.Section("but not when a resend here holds the claim", [&] {
    const ClaimNeeded lost = Ask(fleet, "c");
    fleet.Step(ClaimDecided{ lost.request, false, true, {} });
    const ClaimNeeded resend = Ask(fleet, "c");
    EXPECT_EQUAL(trace, Of<StartAttempt>(fleet.Decide(resend)).size(), 1U);
    EXPECT_THAT(trace, Of<ClaimEnded>(fleet.Step(Tick{})).empty());
    EXPECT_EQUAL(trace, StateOf(fleet, "c"), state::ClaimState::Running);
  });
  trace.Section("nor when the end of its run is not yet in the log", [&] {
    const ClaimNeeded lost = Ask(fleet, "e");
    const auto start = First<StartAttempt>(fleet.Decide(Ask(fleet, "e")));
    const Effects ended = fleet.Finish(start);
    fleet.Step(ClaimDecided{ lost.request, false, true, {} });
    EXPECT_THAT(trace, Of<ClaimEnded>(fleet.Step(Tick{})).empty());
    trace.Section("which is sent again", [&] {
      fleet.Pass(Seconds(3));
      const auto again = First<ClaimEnded>(fleet.Step(Tick{}));
      EXPECT_EQUAL(trace, again.finish.state, state::ClaimState::Done);
      ApplyEnds(fleet, ended);
      fleet.Pass(Seconds(3));
      EXPECT_THAT(trace, Of<ClaimEnded>(fleet.Step(Tick{})).empty());
    });
  });
  trace.Section("a repeated decision is ignored", [&] {
    fleet.Renew();
    const ClaimNeeded claim = Ask(fleet, "d");
    EXPECT_EQUAL(trace, Of<StartAttempt>(fleet.Decide(claim)).size(), 1U);
    EXPECT_THAT(trace, Of<StartAttempt>(fleet.Decide(claim)).empty());
    EXPECT_EQUAL(trace, StateOf(fleet, "d"), state::ClaimState::Running);
  });
}

// Guards against a request that an old claim, already forgotten, may have run.
Test(Claims, RequestsOlderThanTheRetentionAreRefused)
{
  TestTrace trace;
  Fleet fleet;
  RequestArrived old = fleet.OnceOnly("team-a", "old");
  old.createdAt = fleet.wall - Seconds(24 * 3600);
  const Refuse refuse = Refusal(fleet.Step(old));
  EXPECT_EQUAL(trace, refuse.problem, Problem::ClaimExpired);
  EXPECT_THAT(trace, !refuse.notRun);
}
