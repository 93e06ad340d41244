// Tests of permits: granted by demand, recalled when work waits elsewhere,
// split by share when the pools are full, and reclaimed from silent holders.
#include "planner/EntryDriver.h"
#include "planner/FleetChecker.h"
#include "planner/FleetDriver.h"
#include "planner/Fleets.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

constexpr std::size_t kEntries = 11;
constexpr std::uint32_t kLimit = 60;

// A bundle in which every team can use its whole limit at once without filling
// a pool.
state::Bundle
RoomyBundle()
{
  state::Bundle bundle = MakeBundle(PayrollShape());
  for (state::TeamSpec& team : bundle.teams) {
    team.limit = kLimit;
  }
  return bundle;
}

} // namespace

// Guards against permits that stay at the entry instance where load used to
// arrive.
Test(Permits, NearlyTheWholeLimitIsUsableWithinASecondOfAMove)
{
  TestTrace trace;
  const state::Bundle bundle = RoomyBundle();
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  EntryDriver entries(fleet, kEntries);
  const TeamId team = TeamName(0);
  trace.Section("load of twice the limit enters evenly", [&] {
    fleet.Run(5 * kSecond);
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      entries.SetLoad(entry, team, 2 * kLimit / kEntries);
    }
    fleet.Run(kSecond);
    entries.UpdateAll();
    EXPECT_THAT(trace, entries.InUse(team) * 100 >= kLimit * 95);
    trace.Section("all load enters at one entry instance", [&] {
      fleet.Run(10 * kSecond);
      for (std::size_t entry = 1; entry < kEntries; ++entry) {
        entries.SetLoad(entry, team, 0);
      }
      entries.SetLoad(0, team, 2 * kLimit);
      fleet.Run(kSecond);
      entries.UpdateAll();
      EXPECT_THAT(trace, entries.InUse(team) * 100 >= kLimit * 95);
    });
    trace.Section("load enters evenly again", [&] {
      fleet.Run(10 * kSecond);
      for (std::size_t entry = 0; entry < kEntries; ++entry) {
        entries.SetLoad(entry, team, 2 * kLimit / kEntries);
      }
      fleet.Run(kSecond);
      entries.UpdateAll();
      EXPECT_THAT(trace, entries.InUse(team) * 100 >= kLimit * 95);
      EXPECT_EQUAL(trace, checker.problems.size(), 0U);
    });
  });
}

// Guards against exceeded limits when the leader changes between the proposal
// of a grant and its entry in the log.
Test(Permits, LimitsHoldUnderAChangingLeader)
{
  TestTrace trace;
  const state::Bundle bundle = RoomyBundle();
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  EntryDriver entries(fleet, kEntries);
  Random random(42);
  trace.Section("load moves at random while the leader changes", [&] {
    for (int round = 0; round < 300; ++round) {
      entries.SetLoad(random.Below(kEntries),
                      TeamName(random.Below(6)),
                      static_cast<std::uint32_t>(random.Below(100)));
      fleet.Run(random.Between(Duration(0), 300 * kMillisecond));
      if (random.Below(4) == 0) {
        fleet.ElectNewLeader();
      }
    }
    EXPECT_EQUAL(trace,
                 checker.problems.empty() ? "" : checker.problems.front(),
                 std::string());
  });
}

// Guards against permits of a dead entry instance that are reclaimed too early,
// while its requests may still run, or never.
Test(Permits, SilentHolderKeepsItsPermitsUntilLeaseDeadlineAndMargin)
{
  TestTrace trace;
  const state::Bundle bundle = RoomyBundle();
  FleetDriver fleet(bundle);
  EntryDriver entries(fleet, 2);
  const TeamId team = TeamName(0);
  fleet.Run(kSecond);
  entries.SetLoad(0, team, kLimit);
  fleet.Run(5 * kSecond);
  trace.Section("an entry instance that holds a whole limit dies", [&] {
    EXPECT_EQUAL(trace, entries.Held(0, team), kLimit);
    entries.entries[0].up = false;
    entries.SetLoad(1, team, kLimit);
    fleet.Run(70 * kSecond);
    EXPECT_EQUAL(trace, entries.Held(1, team), 0U);
    trace.Section("a new leader measures the silence from its election", [&] {
      fleet.ElectNewLeader();
      fleet.Run(79 * kSecond);
      EXPECT_EQUAL(trace, entries.Held(1, team), 0U);
    });
    trace.Section("afterwards the other entry instance gets the limit", [&] {
      fleet.Run(5 * kSecond);
      EXPECT_EQUAL(trace, entries.Held(1, team), kLimit);
    });
  });
}

// Guards against a full pool that the first or the most demanding team keeps.
Test(Permits, FullPoolIsSplitByShare)
{
  TestTrace trace;
  FleetShape shape = PayrollShape();
  shape.shares = { 30, 10 };
  shape.poolSizes = { 5, 4 };
  shape.spare = 1;
  shape.limit = 100;
  state::Bundle bundle = MakeBundle(shape);
  for (state::TeamSpec& team : bundle.teams) {
    team.workspace = bundle.services[0].workspace;
  }
  for (state::ServiceSpec& service : bundle.services) {
    service.workspace = bundle.teams[0].workspace;
  }
  FleetDriver fleet(bundle);
  EntryDriver entries(fleet, 3);
  fleet.Run(kSecond);
  trace.Section(
    "the small team fills 72 slots, then the large team sends load", [&] {
      entries.SetLoad(0, TeamName(1), 90);
      fleet.Run(5 * kSecond);
      EXPECT_EQUAL(trace, entries.Held(0, TeamName(1)), 90U);
      entries.SetLoad(1, TeamName(0), 90);
      fleet.Run(5 * kSecond);
      trace.Section("the large team may use three quarters", [&] {
        EXPECT_EQUAL(trace, entries.Held(1, TeamName(0)), 54U);
      });
      trace.Section("slots that the large team does not demand are lent", [&] {
        entries.SetLoad(1, TeamName(0), 10);
        fleet.Run(10 * kSecond);
        EXPECT_THAT(trace, entries.Held(0, TeamName(1)) >= 62U);
      });
    });
}

// Guards against a lowered limit that entry instances with running work keep
// exceeding.
Test(Permits, LoweredLimitRecallsIdlePermits)
{
  TestTrace trace;
  state::Bundle bundle = RoomyBundle();
  FleetDriver fleet(bundle);
  EntryDriver entries(fleet, 2);
  const TeamId team = TeamName(0);
  fleet.Run(kSecond);
  entries.SetLoad(0, team, kLimit);
  fleet.Run(2 * kSecond);
  trace.Section("the limit is halved while all permits are in use", [&] {
    bundle.version = 2;
    bundle.base = 1;
    bundle.teams[0].limit = kLimit / 2;
    fleet.ApplyNow(state::ProposeBundle{ "", "second", "key", bundle });
    fleet.ApplyNow(state::ApproveBundle{ 2, "second", MemberId("member") });
    trace.Section("half of the work ends and its permits are returned", [&] {
      entries.SetLoad(0, team, kLimit / 2);
      fleet.Run(3 * kSecond);
      EXPECT_EQUAL(trace, entries.Held(0, team), kLimit / 2);
    });
  });
}
