// Tests of upstreams whose entry instances change, with real reducers.
#include "matrix/Fleet.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using test::Fleet;
using test::TestTrace;

// Guards against an upstream that is marked lost because one of the two entry
// instances it alternates between was lost: the other one reports only changes,
// so the leader has to ask it.
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
      fleet.RunFor(Duration(1000000));
    }
    trace.Section("the one that heard it last is lost for good", [&] {
      fleet.Kill(lost);
      fleet.Upstream(0).entry = survivor;
      fleet.RunFor(Duration(20000000));
      const auto& instances = fleet.View(leader).Instances();
      EXPECT_EQUAL(trace,
                   instances.at(InstanceId("u1")).phase,
                   state::InstancePhase::Serving);
      EXPECT_EQUAL(
        trace, instances.at(InstanceId("u1")).reason, std::string("announced"));
    });
  });
}
