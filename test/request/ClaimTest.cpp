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
  Story story;
  Fleet fleet;
  const auto start =
    FirstEffect<StartAttempt>(fleet.Decide(SubmitForClaim(fleet, "payslip")));
  story.Section("while the first request runs", [&] {
    const Refuse refuse =
      Refusal(fleet.Decide(SubmitForClaim(fleet, "payslip")));
    EXPECT_EQUAL(story, refuse.problem, Problem::AlreadyRunning);
    EXPECT_THAT(story, !refuse.notRun);
  });
  story.Section("after the first request finished", [&] {
    ApplyEnds(fleet, fleet.Finish(start, Seconds(0.1), 201));
    const Refuse refuse =
      Refusal(fleet.Decide(SubmitForClaim(fleet, "payslip")));
    EXPECT_EQUAL(story, refuse.problem, Problem::AlreadyDone);
    EXPECT_EQUAL(story, refuse.detail, "status 201");
  });
  story.Section("the key is used for another request", [&] {
    RequestArrived other = fleet.NonIdempotentRequest("team-a", "payslip");
    other.requestDigest = "another";
    const auto claim = FirstEffect<ClaimNeeded>(fleet.Step(other));
    const Refuse refuse = Refusal(fleet.Decide(claim));
    EXPECT_EQUAL(story, refuse.problem, Problem::KeyReused);
  });
}

// Guards against a claim that is finished as NotRun after a byte may have been
// sent, and against one that blocks resends although nothing was sent.
Test(Claims, AreFinishedWithTheKnownState)
{
  Story story;
  Fleet fleet;
  const auto startOf = [&](const std::string& aKey) {
    return FirstEffect<StartAttempt>(fleet.Decide(SubmitForClaim(fleet, aKey)));
  };
  story.Section("connection reset after a byte was sent: Unknown", [&] {
    ApplyEnds(fleet, fleet.Fail(startOf("a"), AttemptPhase::Sending));
    EXPECT_EQUAL(story, StateOf(fleet, "a"), state::ClaimState::Unknown);
    const Refuse refuse = Refusal(fleet.Decide(SubmitForClaim(fleet, "a")));
    EXPECT_EQUAL(story, refuse.problem, Problem::OutcomeUnknown);
    EXPECT_THAT(story, !refuse.notRun);
  });
  story.Section("caller disconnected while it ran: Unknown", [&] {
    ApplyEnds(fleet, fleet.Step(CallerDisconnected{ startOf("b").request }));
    EXPECT_EQUAL(story, StateOf(fleet, "b"), state::ClaimState::Unknown);
  });
  story.Section("caller disconnected during the claim: NotRun", [&] {
    const ClaimNeeded claim = SubmitForClaim(fleet, "c");
    fleet.Step(CallerDisconnected{ claim.request });
    ApplyEnds(fleet, fleet.Decide(claim));
    EXPECT_EQUAL(story, StateOf(fleet, "c"), state::ClaimState::NotRun);
    EXPECT_EQUAL(story, startOf("c").attempt, 1U);
  });
  story.Section("the deadline passed while it ran: Unknown", [&] {
    startOf("d");
    const Effects effects = fleet.AdvanceWithTicks(Seconds(10), Seconds(1));
    ApplyEnds(fleet, effects);
    EXPECT_EQUAL(story, StateOf(fleet, "d"), state::ClaimState::Unknown);
    EXPECT_EQUAL(story, Refusal(effects).problem, Problem::DeadlinePassed);
    EXPECT_THAT(story, !Refusal(effects).notRun);
  });
}

// Guards against running a request without a durable claim, and against a claim
// that blocks resends for 24 h because its decision was lost.
Test(Claims, LostDecisionsSendNothing)
{
  Story story;
  Fleet fleet;
  story.Section("the claim does not exist", [&] {
    const ClaimNeeded claim = SubmitForClaim(fleet, "a");
    const Effects effects =
      fleet.Step(ClaimDecided{ claim.request, false, false, {} });
    EXPECT_EQUAL(story, Refusal(effects).problem, Problem::NoQuorum);
    EXPECT_THAT(story, Refusal(effects).notRun);
    EXPECT_THAT(story, EffectsOf<StartAttempt>(effects).empty());
  });
  story.Section("the claim may exist: it is released once it appears", [&] {
    const ClaimNeeded claim = SubmitForClaim(fleet, "b");
    const Effects effects =
      fleet.Step(ClaimDecided{ claim.request, false, true, {} });
    EXPECT_THAT(story, Refusal(effects).notRun);
    EXPECT_THAT(story, EffectsOf<StartAttempt>(effects).empty());
    EXPECT_THAT(story, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    fleet.Apply(claim.claim);
    ApplyEnds(fleet, fleet.Step(Tick{}));
    EXPECT_EQUAL(story, StateOf(fleet, "b"), state::ClaimState::NotRun);
  });
  story.Section("not released if a resend here holds the claim", [&] {
    const ClaimNeeded lost = SubmitForClaim(fleet, "c");
    fleet.Step(ClaimDecided{ lost.request, false, true, {} });
    const ClaimNeeded resend = SubmitForClaim(fleet, "c");
    EXPECT_EQUAL(
      story, EffectsOf<StartAttempt>(fleet.Decide(resend)).size(), 1U);
    EXPECT_THAT(story, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    EXPECT_EQUAL(story, StateOf(fleet, "c"), state::ClaimState::Running);
  });
  story.Section("not released before the log contains its finish", [&] {
    const ClaimNeeded lost = SubmitForClaim(fleet, "e");
    const auto start =
      FirstEffect<StartAttempt>(fleet.Decide(SubmitForClaim(fleet, "e")));
    const Effects ended = fleet.Finish(start);
    fleet.Step(ClaimDecided{ lost.request, false, true, {} });
    EXPECT_THAT(story, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    story.Section("the finish is sent again", [&] {
      fleet.AdvanceTime(Seconds(3));
      const auto again = FirstEffect<ClaimEnded>(fleet.Step(Tick{}));
      EXPECT_EQUAL(story, again.finish.state, state::ClaimState::Done);
      ApplyEnds(fleet, ended);
      fleet.AdvanceTime(Seconds(3));
      EXPECT_THAT(story, EffectsOf<ClaimEnded>(fleet.Step(Tick{})).empty());
    });
  });
  story.Section("a repeated decision is ignored", [&] {
    fleet.Renew();
    const ClaimNeeded claim = SubmitForClaim(fleet, "d");
    EXPECT_EQUAL(
      story, EffectsOf<StartAttempt>(fleet.Decide(claim)).size(), 1U);
    EXPECT_THAT(story, EffectsOf<StartAttempt>(fleet.Decide(claim)).empty());
    EXPECT_EQUAL(story, StateOf(fleet, "d"), state::ClaimState::Running);
  });
}

// Guards against running a request again after its claim was deleted at the end
// of the retention time.
Test(Claims, RequestsOlderThanTheRetentionAreRefused)
{
  Story story;
  Fleet fleet;
  RequestArrived old = fleet.NonIdempotentRequest("team-a", "old");
  old.createdAt = fleet.wall - Seconds(24 * 3600);
  const Refuse refuse = Refusal(fleet.Step(old));
  EXPECT_EQUAL(story, refuse.problem, Problem::ClaimExpired);
  EXPECT_THAT(story, !refuse.notRun);
}
