// Tests of the measurement of a machine's speed.
#include "node/SpeedProbe.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ProbeFixture
{
  Time now{ seconds(100) };
  Duration sample = microseconds(200);
  SpeedProbe probe{ [this] { return this->sample; } };

  void Run(Duration aFor)
  {
    for (const Time end = this->now + aFor; this->now < end;
         this->now += milliseconds(25)) {
      this->probe.Tick(this->now);
    }
  }
};

} // namespace

Test(SpeedProbe, MeasuresTheSlownessAgainstTheBestSpeed)
{
  TestTrace trace;
  ProbeFixture fixture;
  EXPECT_EQUAL(trace, fixture.probe.Slowness(), 1.0);
  fixture.Run(seconds(2));
  EXPECT_EQUAL(trace, fixture.probe.Slowness(), 1.0);
  trace.Section("one interrupted sample has no effect", [&] {
    fixture.sample = milliseconds(20);
    fixture.Run(milliseconds(200));
    fixture.sample = microseconds(200);
    fixture.Run(milliseconds(200));
    EXPECT_EQUAL(trace, fixture.probe.Slowness(), 1.0);
  });
  trace.Section("a machine at a fifth of its speed shows within 0.7 s", [&] {
    fixture.Run(seconds(1));
    fixture.sample = microseconds(1000);
    fixture.Run(milliseconds(700));
    EXPECT_EQUAL(trace, fixture.probe.Slowness(), 5.0);
  });
  trace.Section("and is sound again as quickly", [&] {
    fixture.sample = microseconds(200);
    fixture.Run(milliseconds(700));
    EXPECT_EQUAL(trace, fixture.probe.Slowness(), 1.0);
  });
}

Test(SpeedProbe, ACoarseClockHasNoEffect)
{
  TestTrace trace;
  ProbeFixture fixture;
  fixture.sample = Duration(0);
  fixture.Run(seconds(2));
  EXPECT_EQUAL(trace, fixture.probe.Slowness(), 1.0);
}
