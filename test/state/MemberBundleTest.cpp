// Tests of members, bundles, keys and remembered outcomes.
#include "Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;
using namespace hyssoppaddle::test;

namespace {

MemberId
MakeMemberId(const char* aName)
{
  return MemberId(aName);
}

// Returns a fleet with the members m1 and m2.
Fleet
MakeTwoMembers()
{
  Fleet fleet;
  fleet.Apply(ProposeMember{ MakeMemberId("m1") });
  fleet.Apply(ProposeMember{ MakeMemberId("m2") });
  fleet.Apply(ApproveMember{ MakeMemberId("m2"), MakeMemberId("m1") });
  return fleet;
}

} // namespace

// Guards against a member that joins without the approval of every other
// member.
Test(Members, JoinOnlyWithEveryApproval)
{
  TestTrace trace;
  Fleet fleet = MakeTwoMembers();
  EXPECT_EQUAL(trace, fleet.state.Members().size(), 2U);
  trace.Section("two joins are pending", [&] {
    EXPECT_THAT(trace, fleet.Ok(ProposeMember{ MakeMemberId("m3") }));
    EXPECT_THAT(trace, fleet.Ok(ProposeMember{ MakeMemberId("m4") }));
    fleet.Apply(ApproveMember{ MakeMemberId("m3"), MakeMemberId("m1") });
    fleet.Apply(ApproveMember{ MakeMemberId("m4"), MakeMemberId("m1") });
    fleet.Apply(ApproveMember{ MakeMemberId("m4"), MakeMemberId("m2") });
    EXPECT_THAT(trace, fleet.state.Members().contains(MakeMemberId("m4")));
    trace.Section("the other join then needs the new member too", [&] {
      fleet.Apply(ApproveMember{ MakeMemberId("m3"), MakeMemberId("m2") });
      EXPECT_THAT(trace, fleet.state.Joins().contains(MakeMemberId("m3")));
      trace.Section("a withdrawn approval does not count", [&] {
        EXPECT_THAT(
          trace,
          fleet.Ok(WithdrawApproval{ MakeMemberId("m3"), MakeMemberId("m1") }));
        fleet.Apply(ApproveMember{ MakeMemberId("m3"), MakeMemberId("m4") });
        EXPECT_THAT(trace, fleet.state.Joins().contains(MakeMemberId("m3")));
        trace.Section(
          "the departure of the member it waits for completes it", [&] {
            fleet.Apply(LeaveMember{ MakeMemberId("m1") });
            EXPECT_THAT(trace,
                        fleet.state.Members().contains(MakeMemberId("m3")));
            EXPECT_THAT(trace,
                        CodeOf(fleet.Apply(WithdrawApproval{
                          MakeMemberId("m3"), MakeMemberId("m2") })) ==
                          ErrorCode::Conflict);
          });
      });
    });
  });
}

// Guards against counting approvals of non-members and of members that have
// left.
Test(Members, OnlyCurrentMembersApprove)
{
  TestTrace trace;
  Fleet fleet = MakeTwoMembers();
  fleet.Apply(ProposeMember{ MakeMemberId("m3") });
  EXPECT_THAT(
    trace, !fleet.Ok(ApproveMember{ MakeMemberId("m3"), MakeMemberId("m3") }));
  fleet.Apply(ApproveMember{ MakeMemberId("m3"), MakeMemberId("m2") });
  fleet.Apply(LeaveMember{ MakeMemberId("m2") });
  EXPECT_THAT(trace,
              fleet.state.Joins().at(MakeMemberId("m3")).approvals.empty());
}

// Guards against bundles that skip or repeat a version, and against accepting
// both bundles when two operators propose the same version concurrently.
Test(Bundles, HaveOneContentPerVersion)
{
  TestTrace trace;
  Fleet fleet = MakeTwoMembers();
  const Bundle first = MakeBundle(1);
  EXPECT_THAT(trace, fleet.Ok(ProposeBundle{ "a", "da", "op1", first }));
  trace.Section("a second operator proposes other content", [&] {
    const Outcome outcome =
      fleet.Apply(ProposeBundle{ "b", "db", "op2", first });
    EXPECT_THAT(trace, CodeOf(outcome) == ErrorCode::Conflict);
    EXPECT_THAT(trace,
                outcome.error->message.find("da") != std::string::npos &&
                  outcome.error->message.find("op1") != std::string::npos);
  });
  trace.Section("the first operator resends after a lost response", [&] {
    EXPECT_THAT(trace,
                fleet.Apply(ProposeBundle{ "a", "da", "op1", first }).repeated);
  });
  trace.Section(
    "the bundle is accepted once both members have approved it", [&] {
      fleet.Apply(ApproveBundle{ 1, "da", MakeMemberId("m1") });
      EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 0U);
      EXPECT_THAT(trace,
                  !fleet.Ok(ApproveBundle{ 1, "db", MakeMemberId("m2") }));
      fleet.Apply(ApproveBundle{ 1, "da", MakeMemberId("m2") });
      EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
      EXPECT_THAT(trace, fleet.changes.bundle);
    });
  trace.Section("a later bundle cannot skip or repeat a version", [&] {
    for (const std::uint64_t version : { 1U, 3U }) {
      EXPECT_THAT(
        trace,
        !fleet.Ok(ProposeBundle{ "c", "dc", "op1", MakeBundle(version) }));
    }
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
  });
}

// Guards against a pending bundle that waits for a member that has left, and
// against a bundle that is accepted without any approval.
Test(Bundles, NeedTheApprovalOfAllCurrentMembers)
{
  TestTrace trace;
  Fleet fleet = MakeTwoMembers();
  fleet.Apply(ProposeBundle{ "a", "da", "op", MakeBundle(1) });
  fleet.Apply(ApproveBundle{ 1, "da", MakeMemberId("m1") });
  trace.Section("the member it waited for leaves", [&] {
    fleet.Apply(LeaveMember{ MakeMemberId("m2") });
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
    EXPECT_EQUAL(trace, fleet.state.Instances().size(), 7U);
  });
  trace.Section(
    "the next bundle waits for a member that joins in the meantime", [&] {
      fleet.Apply(ProposeBundle{ "b", "db", "op", MakeBundle(2) });
      fleet.Apply(ProposeMember{ MakeMemberId("m3") });
      fleet.Apply(ApproveMember{ MakeMemberId("m3"), MakeMemberId("m1") });
      fleet.Apply(ApproveBundle{ 2, "db", MakeMemberId("m1") });
      EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
      fleet.Apply(LeaveMember{ MakeMemberId("m1") });
      EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
      fleet.Apply(ApproveBundle{ 2, "db", MakeMemberId("m3") });
      EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 2U);
    });
}

// Guards against memory use that grows with the number of bundle updates of a
// large fleet.
Test(Bundles, DropTheContentOfOldLargeBundles)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Apply(ProposeMember{ MakeMemberId("m1") });
  for (std::uint64_t version = 1; version <= 20; ++version) {
    const std::string content(100 * 1024, 'c');
    const std::string digest = std::to_string(version);
    fleet.Apply(ProposeBundle{ content, digest, "op", MakeBundle(version) });
    fleet.Apply(ApproveBundle{ version, digest, MakeMemberId("m1") });
  }
  const auto& bundles = fleet.state.Bundles();
  EXPECT_EQUAL(trace, bundles.size(), 16U);
  EXPECT_THAT(trace, !bundles.at(18).content.empty());
  EXPECT_THAT(trace, bundles.at(17).content.empty());
  EXPECT_EQUAL(trace, bundles.at(17).bundle->pools.size(), 0U);
}

// Guards against a withdrawn key that becomes valid again or stays valid
// longer.
Test(Keys, StayWithdrawn)
{
  TestTrace trace;
  Fleet fleet;
  const KeyId key("k");
  const GrantKey grant{ key, KeyRole::Team, "red", std::string(32, 'd') };
  EXPECT_THAT(trace, fleet.Ok(grant));
  EXPECT_THAT(trace, fleet.Apply(grant).repeated);
  EXPECT_THAT(trace, fleet.Ok(WithdrawKey{ key, 60 * kSecond }));
  trace.Section("a second withdrawal can only shorten the overlap", [&] {
    const WallTime end = *fleet.state.Keys().at(key).withdrawnAt;
    fleet.Apply(WithdrawKey{ key, 3600 * kSecond });
    EXPECT_THAT(trace, *fleet.state.Keys().at(key).withdrawnAt == end);
    fleet.Apply(WithdrawKey{ key, Duration(0) });
    EXPECT_THAT(trace, *fleet.state.Keys().at(key).withdrawnAt == fleet.now);
  });
  trace.Section("a delayed grant does not make the key valid again", [&] {
    EXPECT_THAT(trace, CodeOf(fleet.Apply(grant)) == ErrorCode::Conflict);
  });
}

// Guards against a resend that applies an operator's command twice, and against
// a reused request ID that returns the outcome of another command.
Test(Outcomes, RepeatTheFirstOne)
{
  TestTrace trace;
  Fleet fleet;
  const GrantKey grant{
    KeyId("k"), KeyRole::Operator, "", std::string(32, 'd')
  };
  const Outcome first = fleet.Apply(grant, "r1");
  fleet.Apply(WithdrawKey{ KeyId("k"), Duration(0) }, "r2");
  Outcome again = fleet.Apply(grant, "r1");
  EXPECT_THAT(trace, again.repeated);
  again.repeated = false;
  EXPECT_THAT(trace, again == first);
  trace.Section("another body under the same ID is a conflict", [&] {
    EXPECT_THAT(trace,
                CodeOf(fleet.Apply(LeaveMember{ MakeMemberId("m1") }, "r1")) ==
                  ErrorCode::Conflict);
  });
  trace.Section("after 24 h the ID can be reused", [&] {
    fleet.AdvanceTime(86401 * kSecond);
    EXPECT_THAT(trace,
                CodeOf(fleet.Apply(LeaveMember{ MakeMemberId("m1") }, "r1")) ==
                  ErrorCode::NotFound);
  });
}

// Guards against granting a claim twice because a repeated request ID returns
// the first outcome.
Test(Outcomes, AreNotRememberedForClaims)
{
  TestTrace trace;
  Fleet fleet;
  const ClaimRequest claim{
    TeamId("red"), "i", "d", InstanceId("e"), fleet.now
  };
  EXPECT_THAT(trace, fleet.Apply(claim, "r").claim->granted);
  EXPECT_THAT(trace, !fleet.Apply(claim, "r").claim->granted);
}
