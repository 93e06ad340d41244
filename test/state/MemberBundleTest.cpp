// Tests of members, bundles and keys.
#include "Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;
using namespace hyssoppaddle::test;

namespace {

MemberId
M(const char* aName)
{
  return MemberId(aName);
}

// Members m1 and m2.
Fleet
MakeTwoMembers()
{
  Fleet fleet;
  fleet.Apply(ProposeMember{ M("m1") });
  fleet.Apply(ProposeMember{ M("m2") });
  fleet.Apply(ApproveMember{ M("m2"), M("m1") });
  return fleet;
}

} // namespace

// Guards against a member that joins without the approval of every other one.
Test(Members, JoinOnlyWithEveryApproval)
{
  TestTrace trace;
  Fleet fleet = MakeTwoMembers();
  EXPECT_EQUAL(trace, fleet.state.Members().size(), 2U);
  trace.Section("two joins are pending", [&] {
    EXPECT_THAT(trace, fleet.Ok(ProposeMember{ M("m3") }));
    EXPECT_THAT(trace, fleet.Ok(ProposeMember{ M("m4") }));
    fleet.Apply(ApproveMember{ M("m3"), M("m1") });
    fleet.Apply(ApproveMember{ M("m4"), M("m1") });
    fleet.Apply(ApproveMember{ M("m4"), M("m2") });
    EXPECT_THAT(trace, fleet.state.Members().contains(M("m4")));
    trace.Section("the other join then needs the new member too", [&] {
      fleet.Apply(ApproveMember{ M("m3"), M("m2") });
      EXPECT_THAT(trace, fleet.state.Joins().contains(M("m3")));
      trace.Section("a withdrawn approval counts as never given", [&] {
        EXPECT_THAT(trace, fleet.Ok(WithdrawApproval{ M("m3"), M("m1") }));
        fleet.Apply(ApproveMember{ M("m3"), M("m4") });
        EXPECT_THAT(trace, fleet.state.Joins().contains(M("m3")));
        trace.Section(
          "the departure of the one it waits for completes it", [&] {
            fleet.Apply(LeaveMember{ M("m1") });
            EXPECT_THAT(trace, fleet.state.Members().contains(M("m3")));
            EXPECT_THAT(trace,
                        CodeOf(fleet.Apply(WithdrawApproval{
                          M("m3"), M("m2") })) == ErrorCode::Conflict);
          });
      });
    });
  });
}

// Guards against approvals by strangers, and approvals of a departed member
// that still count.
Test(Members, OnlyCurrentMembersApprove)
{
  TestTrace trace;
  Fleet fleet = MakeTwoMembers();
  fleet.Apply(ProposeMember{ M("m3") });
  EXPECT_THAT(trace, !fleet.Ok(ApproveMember{ M("m3"), M("m3") }));
  fleet.Apply(ApproveMember{ M("m3"), M("m2") });
  fleet.Apply(LeaveMember{ M("m2") });
  EXPECT_THAT(trace, fleet.state.Joins().at(M("m3")).approvals.empty());
}

// Guards against bundles that skip or repeat a version, and against a race of
// two operators with equal version numbers that both win.
Test(Bundles, OneContentWinsEachVersion)
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
  trace.Section("the first one resends after a lost answer", [&] {
    EXPECT_THAT(trace,
                fleet.Apply(ProposeBundle{ "a", "da", "op1", first }).repeated);
  });
  trace.Section("it is accepted once both members approved", [&] {
    fleet.Apply(ApproveBundle{ 1, "da", M("m1") });
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 0U);
    EXPECT_THAT(trace, !fleet.Ok(ApproveBundle{ 1, "db", M("m2") }));
    fleet.Apply(ApproveBundle{ 1, "da", M("m2") });
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
    EXPECT_THAT(trace, fleet.changes.bundle);
  });
  trace.Section("a later one cannot skip or go back", [&] {
    for (const std::uint64_t version : { 1U, 3U }) {
      EXPECT_THAT(
        trace,
        !fleet.Ok(ProposeBundle{ "c", "dc", "op1", MakeBundle(version) }));
    }
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
  });
}

// Guards against a pending bundle that waits for a member who has left, and one
// that is accepted by nobody.
Test(Bundles, FollowMembersThatJoinAndLeave)
{
  TestTrace trace;
  Fleet fleet = MakeTwoMembers();
  fleet.Apply(ProposeBundle{ "a", "da", "op", MakeBundle(1) });
  fleet.Apply(ApproveBundle{ 1, "da", M("m1") });
  trace.Section("the member it waited for leaves", [&] {
    fleet.Apply(LeaveMember{ M("m2") });
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
    EXPECT_EQUAL(trace, fleet.state.Instances().size(), 7U);
  });
  trace.Section("the next one waits for a member that joins meanwhile", [&] {
    fleet.Apply(ProposeBundle{ "b", "db", "op", MakeBundle(2) });
    fleet.Apply(ProposeMember{ M("m3") });
    fleet.Apply(ApproveMember{ M("m3"), M("m1") });
    fleet.Apply(ApproveBundle{ 2, "db", M("m1") });
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
    fleet.Apply(LeaveMember{ M("m1") });
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 1U);
    fleet.Apply(ApproveBundle{ 2, "db", M("m3") });
    EXPECT_EQUAL(trace, fleet.state.ActiveBundle().version, 2U);
  });
}

// Guards against memory that grows with the number of roll-outs of a large
// fleet.
Test(Bundles, DropTheContentOfOldLargeOnes)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Apply(ProposeMember{ M("m1") });
  for (std::uint64_t version = 1; version <= 20; ++version) {
    const std::string content(100 * 1024, 'c');
    const std::string digest = std::to_string(version);
    fleet.Apply(ProposeBundle{ content, digest, "op", MakeBundle(version) });
    fleet.Apply(ApproveBundle{ version, digest, M("m1") });
  }
  const auto& bundles = fleet.state.Bundles();
  EXPECT_EQUAL(trace, bundles.size(), 16U);
  EXPECT_THAT(trace, !bundles.at(18).content.empty());
  EXPECT_THAT(trace, bundles.at(17).content.empty());
  EXPECT_EQUAL(trace, bundles.at(17).bundle->pools.size(), 0U);
}

// Guards against a withdrawn key that works again or works longer.
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
  trace.Section("a delayed grant does not bring it back", [&] {
    EXPECT_THAT(trace, CodeOf(fleet.Apply(grant)) == ErrorCode::Conflict);
  });
}

// Guards against a resend that runs an operator's command twice, and a request
// ID that hides another command.
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
                CodeOf(fleet.Apply(LeaveMember{ M("m1") }, "r1")) ==
                  ErrorCode::Conflict);
  });
  trace.Section("after 24 h the ID is free", [&] {
    fleet.Pass(86401 * kSecond);
    EXPECT_THAT(trace,
                CodeOf(fleet.Apply(LeaveMember{ M("m1") }, "r1")) ==
                  ErrorCode::NotFound);
  });
}

// Guards against a claim that is granted twice by a repeated request ID.
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
