// Tests of upstreams that change the entry instance they announce themselves
// to, with real reducers.
#include "matrix/Fleet.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using test::Fleet;
using test::TestTrace;

// Guards against marking an upstream lost because one of the two entry
// instances between which it alternates was lost. The other one reports only
// changes, so the leader has to query it.
Test(Watch, KeepsAnUpstreamThatASurvivingEntryInstanceHears)
{
  TestTrace trace;
  Fleet fleet(1);
  fleet.SetUp();
  const std::size_t leader = fleet.Leader().value();
  const std::size_t lost = (leader + 1) % Fleet::kEntries;
  const std::size_t survivor = (leader + 2) % Fleet::kEntries;
  trace.Section("u1 alternates between two entry instances", [&] {
    for (int second = 0; second < 8; ++second) {
      fleet.Upstream(0).entry = second % 2 == 0 ? survivor : lost;
      fleet.RunFor(std::chrono::seconds(1));
    }
    trace.Section("the entry instance that heard it last is lost permanently",
                  [&] {
                    fleet.Kill(lost);
                    fleet.Upstream(0).entry = survivor;
                    fleet.RunFor(std::chrono::seconds(20));
                    const auto& instances = fleet.View(leader).Instances();
                    EXPECT_EQUAL(trace,
                                 instances.at(InstanceId("u1")).phase,
                                 state::InstancePhase::Serving);
                    EXPECT_EQUAL(trace,
                                 instances.at(InstanceId("u1")).reason,
                                 std::string("announced"));
                  });
  });
}
