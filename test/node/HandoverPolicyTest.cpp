// Tests of the decision to hand over the leadership.
#include "node/HandoverPolicy.h"
#include "support/TestTrace.h"

#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct PolicyFixture
{
  Time now{ seconds(100) };
  double own = 1.0;
  double others = 1.0; // b and c report it
  std::vector<InstanceId> voters{ InstanceId("a"),
                                  InstanceId("b"),
                                  InstanceId("c") };
  HandoverPolicy policy;

  // Returns the choices in that time.
  std::vector<InstanceId> Run(Duration aFor, bool aReports = true)
  {
    std::vector<InstanceId> chosen;
    for (const Time end = this->now + aFor; this->now < end;
         this->now += milliseconds(25)) {
      if (aReports) {
        this->policy.Record(InstanceId("b"), this->others * 1.1, this->now);
        this->policy.Record(InstanceId("c"), this->others, this->now);
      }
      const auto next = this->policy.Choose(
        this->own, this->voters, InstanceId("a"), this->now);
      if (next) {
        chosen.push_back(*next);
      }
    }
    return chosen;
  }
};

} // namespace

// Guards against a slow leader that stays in office because its heartbeats
// arrive in time.
Test(HandoverPolicy, ASlowLeaderHandsOverToTheFastestVoter)
{
  TestTrace trace;
  PolicyFixture fixture;
  fixture.policy.OnElected(fixture.now);
  trace.Section("a sound leader stays",
                [&] { EXPECT_THAT(trace, fixture.Run(seconds(5)).empty()); });
  trace.Section("a short slowness is ignored", [&] {
    fixture.own = 5.0;
    EXPECT_THAT(trace, fixture.Run(milliseconds(300)).empty());
    fixture.own = 1.0;
    EXPECT_THAT(trace, fixture.Run(milliseconds(300)).empty());
  });
  trace.Section("a lasting one ends in a choice within half a second", [&] {
    fixture.own = 5.0;
    const auto chosen = fixture.Run(milliseconds(500));
    EXPECT_EQUAL(trace, chosen.size(), 1U);
    EXPECT_EQUAL(trace, chosen.at(0), InstanceId("c"));
  });
  trace.Section("a choice that had no effect is repeated after 3 s", [&] {
    EXPECT_THAT(trace, fixture.Run(milliseconds(2400)).empty());
    EXPECT_EQUAL(trace, fixture.Run(seconds(1)).size(), 1U);
  });
}

Test(HandoverPolicy, TheLeaderStaysWhereNobodyIsFaster)
{
  TestTrace trace;
  PolicyFixture fixture;
  fixture.own = 5.0;
  trace.Section("all voters are slow", [&] {
    fixture.others = 4.0;
    EXPECT_THAT(trace, fixture.Run(seconds(5)).empty());
  });
  trace.Section("nobody reports", [&] {
    fixture.others = 1.0;
    (void)fixture.Run(milliseconds(100));
    fixture.now += seconds(4);
    EXPECT_THAT(trace, fixture.Run(seconds(2), false).empty());
  });
  trace.Section("a voter that left the configuration is not chosen", [&] {
    fixture.voters = { InstanceId("a") };
    EXPECT_THAT(trace, fixture.Run(seconds(5)).empty());
  });
}

Test(HandoverPolicy, TheLeadershipDoesNotMoveBackAndForth)
{
  TestTrace trace;
  PolicyFixture fixture;
  fixture.own = 5.0;
  fixture.policy.OnElected(fixture.now);
  EXPECT_THAT(trace, fixture.Run(milliseconds(1900)).empty());
  EXPECT_EQUAL(trace, fixture.Run(milliseconds(600)).size(), 1U);
}

// Guards against a handover to a voter that has turned slow together with the
// leader, and whose last report is older than that.
Test(HandoverPolicy, AReportFromBeforeTheSlownessDoesNotCount)
{
  TestTrace trace;
  PolicyFixture fixture;
  EXPECT_THAT(trace, fixture.Run(seconds(1)).empty());
  fixture.own = 5.0;
  trace.Section("no voter has reported since", [&] {
    EXPECT_THAT(trace, fixture.Run(milliseconds(1400), false).empty());
  });
  trace.Section("the first report since then counts", [&] {
    EXPECT_EQUAL(trace, fixture.Run(milliseconds(50)).size(), 1U);
  });
}

// Guards against a transfer that is tried with the same voter for ever.
Test(HandoverPolicy, AVoterThatDidNotTakeOverIsPassedOver)
{
  TestTrace trace;
  PolicyFixture fixture;
  fixture.own = 5.0;
  const auto chosen = fixture.Run(seconds(7));
  EXPECT_EQUAL(trace, chosen.size(), 3U);
  EXPECT_EQUAL(trace, chosen.at(0), InstanceId("c"));
  EXPECT_EQUAL(trace, chosen.at(1), InstanceId("b"));
  EXPECT_EQUAL(trace, chosen.at(2), InstanceId("c"));
}
