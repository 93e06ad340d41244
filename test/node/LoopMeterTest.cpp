// Tests of the accounting of the event loop's time.
#include "node/LoopMeter.h"
#include "support/DecisionFields.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(LoopMeter, NamesThePartThatUsesTheTime)
{
  TestTrace trace;
  Time now{ seconds(100) };
  LoopMeter meter([&] { return now; });
  {
    const LoopMeter::Scope outer(meter, LoopPart::Raft);
    now += milliseconds(10);
    {
      const LoopMeter::Scope inner(meter, LoopPart::Apply);
      now += milliseconds(200);
    }
    now += milliseconds(5);
  }
  trace.Section("the time of an inner part does not count twice", [&] {
    EXPECT_EQUAL(
      trace, meter.Total(LoopPart::Raft), Duration(milliseconds(15)));
    EXPECT_EQUAL(
      trace, meter.Total(LoopPart::Apply), Duration(milliseconds(200)));
  });
  trace.Section("the report follows after a second", [&] {
    EXPECT_THAT(trace, !meter.TakeReport(now, true));
    now = Time(seconds(101));
    const auto report = meter.TakeReport(now, true);
    EXPECT_EQUAL(trace, FieldOf(*report, "apply"), "200");
    EXPECT_EQUAL(trace, FieldOf(*report, "raft"), "15");
  });
}

Test(LoopMeter, ReportsALateTimer)
{
  TestTrace trace;
  Time now{ seconds(100) };
  LoopMeter meter([&] { return now; });
  trace.Section("a quiet second needs no line", [&] {
    meter.RecordTimer(now, now + milliseconds(3));
    now += seconds(1);
    EXPECT_THAT(trace, !meter.TakeReport(now, false));
  });
  trace.Section("a late timer does", [&] {
    meter.RecordTimer(now, now + milliseconds(450));
    meter.RecordTimer(now, now + milliseconds(20));
    now += seconds(1);
    const auto report = meter.TakeReport(now, false);
    EXPECT_THAT(trace, report.has_value());
    EXPECT_EQUAL(trace, FieldOf(*report, "max_delay_ms"), "450");
  });
}
