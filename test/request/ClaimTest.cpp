// Tests of claims of non-idempotent requests.
#include "request/Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

ClaimNeeded
SubmitForClaim(Fleet& aFleet, const std::string& aKey)
{
  const Effects effects =
    aFleet.Step(aFleet.NonIdempotentRequest("team-a", aKey));
  cr_assert(EffectsOf<StartAttempt>(effects).empty(),
            "expected no attempt before the decision about the claim");
  return FirstEffect<ClaimNeeded>(effects);
}

Refuse
Refusal(const Effects& aEffects)
{
  return FirstEffect<Refuse>(aEffects);
}

state::ClaimState
StateOf(const Fleet& aFleet, const std::string& aKey)
{
  return aFleet.state.Claims().at({ TeamId("team-a"), aKey }).state;
}

void
ApplyEnds(Fleet& aFleet, const Effects& aEffects)
{
  for (const ClaimEnded& ended : EffectsOf<ClaimEnded>(aEffects)) {
    aFleet.Apply(ended.finish);
  }
}

} // namespace

// Guards against running a request twice when its caller sent it twice.
Test(Claims, ASecondRequestLearnsTheStateOfTheFirst)
{
  TestTrace trace;
  Fleet fleet;
  const auto start =
    FirstEffect<StartAttempt>(fleet.Decide(SubmitForClaim(fleet, "payslip")));
  trace.Section("while the first request runs", [&] {
    const Refuse refuse =
      Refusal(fleet.Decide(SubmitForClaim(fleet, "payslip")));
    EXPECT_EQUAL(trace, refuse.problem, Problem::AlreadyRunning);
    EXPECT_THAT(trace, !refuse.notRun);
  });
  trace.Section("after the first request finished", [&] {
    ApplyEnds(fleet, fleet.Finish(start, Seconds(0.1), 201));
    const Refuse refuse =
      Refusal(fleet.Decide(SubmitForClaim(fleet, "payslip")));
    EXPECT_EQUAL(trace, refuse.problem, Problem::AlreadyDone);
    EXPECT_EQUAL(trace, refuse.detail, "status 201");
  });
  trace.Section("the key is used for another request", [&] {
    RequestArrived other = fleet.NonIdempotentRequest("team-a", "payslip");
    other.requestDigest = "another";
    const auto claim = FirstEffect<ClaimNeeded>(fleet.Step(other));
    const Refuse refuse = Refusal(fleet.Decide(claim));
    EXPECT_EQUAL(trace, refuse.problem, Problem::KeyReused);
  });
}

// Guards against a claim that is finished as NotRun after a byte may have been
// sent, and against one that blocks resends although nothing was sent.
Test(Claims, AreFinishedWithTheKnownState)
{
  TestTrace trace;
  Fleet fleet;
  const auto startOf = [&](const std::string& aKey) {
    return FirstEffect<StartAttempt>(fleet.Decide(SubmitForClaim(fleet, aKey)));
  };
  trace.Section("connection reset after a byte was sent: Unknown", [&] {
    ApplyEnds(fleet, fleet.Fail(startOf("a"), AttemptPhase::Sending));
    EXPECT_EQUAL(trace, StateOf(fleet, "a"), state::ClaimState::Unknown);
    const Refuse refuse = Refusal(fleet.Decide(SubmitForClaim(fleet, "a")));
    EXPECT_EQUAL(trace, refuse.problem, Problem::OutcomeUnknown);
    EXPECT_THAT(trace, !refuse.notRun);
  });
  trace.Section("caller disconnected while it ran: Unknown", [&] {
    ApplyEnds(fleet, fleet.Step(CallerDisconnected{ startOf("b").request }));
    EXPECT_EQUAL(trace, StateOf(fleet, "b"), state::ClaimState::Unknown);
  });
  trace.Section("caller disconnected during the claim: NotRun", [&] {
    const ClaimNeeded claim = SubmitForClaim(fleet, "c");
    fleet.Step(CallerDisconnected{ claim.request });
    ApplyEnds(fleet, fleet.Decide(claim));
    EXPECT_EQUAL(trace, StateOf(fleet, "c"), state::ClaimState::NotRun);
    EXPECT_EQUAL(trace, startOf("c").attempt, 1U);
  });
  trace.Section("the deadline passed while it ran: Unknown", [&] {
    startOf("d");
    const Effects effects = fleet.AdvanceWithTicks(Seconds(10), Seconds(1));
    ApplyEnds(fleet, effects);
    EXPECT_EQUAL(trace, StateOf(fleet, "d"), state::ClaimState::Unknown);
    EXPECT_EQUAL(trace, Refusal(effects).problem, Problem::DeadlinePassed);
    EXPECT_THAT(trace, !Refusal(effects).notRun);
  });
}

// Guards against running a request without a durable claim, and against a claim
// that blocks resends for 24 h because its decision was lost.
Test(Claims, LostDecisionsSendNothing)
{
  TestTrace trace;
  Fleet fleet;
  trace.Section("the claim does not exist", [&] {
    const ClaimNeeded claim = SubmitForClaim(fleet, "a");
    const Effects effects =
      fleet.Step(ClaimDecided{ claim.request, false, false, {} });
    EXPECT_EQUAL(trace, Refusal(effects).problem, Problem::NoQuorum);
    EXPECT_THAT(trace, Refusal(effects).notRun);
    EXPECT_THAT(trace, EffectsOf<StartAttempt>(effects).empty());
  });
  trace.Section("the claim may exist: it is released once it appears", [&] {
    const ClaimNeeded claim = SubmitForClaim(fleet, "b");
    const Effects effects =
      fleet.Step(ClaimDecided{ claim.request, false, true, {} });
    EXPECT_THAT(trace, Refusal(effects).notRun);
    EXPECT_THAT(trace, EffectsOf<StartAttempt>(effects).empty());
    EXPECT_THAT(trace, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    fleet.Apply(claim.claim);
    ApplyEnds(fleet, fleet.Step(Tick{}));
    EXPECT_EQUAL(trace, StateOf(fleet, "b"), state::ClaimState::NotRun);
  });
  trace.Section("not released if a resend here holds the claim", [&] {
    const ClaimNeeded lost = SubmitForClaim(fleet, "c");
    fleet.Step(ClaimDecided{ lost.request, false, true, {} });
    const ClaimNeeded resend = SubmitForClaim(fleet, "c");
    EXPECT_EQUAL(
      trace, EffectsOf<StartAttempt>(fleet.Decide(resend)).size(), 1U);
    EXPECT_THAT(trace, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    EXPECT_EQUAL(trace, StateOf(fleet, "c"), state::ClaimState::Running);
  });
  trace.Section("not released before the log contains its finish", [&] {
    const ClaimNeeded lost = SubmitForClaim(fleet, "e");
    const auto start =
      FirstEffect<StartAttempt>(fleet.Decide(SubmitForClaim(fleet, "e")));
    const Effects ended = fleet.Finish(start);
    fleet.Step(ClaimDecided{ lost.request, false, true, {} });
    EXPECT_THAT(trace, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    trace.Section("the finish is sent again", [&] {
      fleet.AdvanceTime(Seconds(3));
      const auto again = FirstEffect<ClaimEnded>(fleet.Step(Tick{}));
      EXPECT_EQUAL(trace, again.finish.state, state::ClaimState::Done);
      ApplyEnds(fleet, ended);
      fleet.AdvanceTime(Seconds(3));
      EXPECT_THAT(trace, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    });
  });
  trace.Section("a repeated decision is ignored", [&] {
    fleet.Renew();
    const ClaimNeeded claim = SubmitForClaim(fleet, "d");
    EXPECT_EQUAL(
      trace, EffectsOf<StartAttempt>(fleet.Decide(claim)).size(), 1U);
    EXPECT_THAT(trace, EffectsOf<StartAttempt>(fleet.Decide(claim)).empty());
    EXPECT_EQUAL(trace, StateOf(fleet, "d"), state::ClaimState::Running);
  });
}

// Guards against running a request again after its claim was deleted at the end
// of the retention time.
Test(Claims, RequestsOlderThanTheRetentionAreRefused)
{
  TestTrace trace;
  Fleet fleet;
  RequestArrived old = fleet.NonIdempotentRequest("team-a", "old");
  old.createdAt = fleet.wall - Seconds(24 * 3600);
  const Refuse refuse = Refusal(fleet.Step(old));
  EXPECT_EQUAL(trace, refuse.problem, Problem::ClaimExpired);
  EXPECT_THAT(trace, !refuse.notRun);
}
