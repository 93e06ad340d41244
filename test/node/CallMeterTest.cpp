// Tests of the accounting of calls by kind.
#include "node/CallMeter.h"
#include "support/DecisionFields.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(CallMeter, ReportsCountAndTimeOfEachKind)
{
  TestTrace trace;
  CallMeter meter;
  meter.Record(SubmitCall{}, milliseconds(3));
  meter.Record(SubmitCall{}, milliseconds(8));
  meter.Record(GetSetupCall{}, milliseconds(1));
  meter.RecordLateReply();
  meter.RecordForeignReply();
  const auto report = meter.TakeReport(Time(seconds(100)));
  EXPECT_THAT(trace, report.has_value());
  EXPECT_EQUAL(trace, FieldOf(*report, "submit"), "2 in 11 ms, longest 8 ms");
  EXPECT_EQUAL(trace, FieldOf(*report, "get_setup"), "1 in 1 ms, longest 1 ms");
  EXPECT_EQUAL(trace, FieldOf(*report, "cancel"), "missing");
  EXPECT_EQUAL(trace, FieldOf(*report, "late_replies"), "1");
  EXPECT_EQUAL(trace, FieldOf(*report, "foreign_replies"), "1");
  trace.Section("the next report begins anew", [&] {
    meter.Record(GetSetupCall{}, milliseconds(2));
    EXPECT_THAT(trace, !meter.TakeReport(Time(milliseconds(100500))));
    const auto next = meter.TakeReport(Time(seconds(101)));
    EXPECT_THAT(trace, next.has_value());
    EXPECT_EQUAL(trace, FieldOf(*next, "get_setup"), "1 in 2 ms, longest 2 ms");
    EXPECT_EQUAL(trace, FieldOf(*next, "late_replies"), "missing");
  });
  trace.Section("a second without calls needs no line", [&] {
    EXPECT_THAT(trace, !meter.TakeReport(Time(seconds(102))));
  });
  trace.Section("an overloaded leader shows what it does not handle", [&] {
    meter.RecordWait(milliseconds(700));
    meter.RecordWait(milliseconds(30));
    meter.RecordDropped();
    meter.RecordEvicted();
    meter.RecordEvicted();
    const auto overload = meter.TakeReport(Time(seconds(103)));
    EXPECT_THAT(trace, overload.has_value());
    EXPECT_EQUAL(trace, FieldOf(*overload, "dropped"), "1");
    EXPECT_EQUAL(trace, FieldOf(*overload, "evicted"), "2");
    EXPECT_EQUAL(trace, FieldOf(*overload, "longest_wait_ms"), "700");
    EXPECT_THAT(trace, !meter.TakeReport(Time(seconds(104))));
  });
}
