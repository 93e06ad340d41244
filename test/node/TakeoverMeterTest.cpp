// Tests of the report about a change of the leader.
#include "node/TakeoverMeter.h"
#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kLost{ seconds(100) };

std::string
FieldOf(const dispatch::Decision& aReport, std::string_view aName)
{
  const auto found =
    std::find_if(aReport.fields.begin(),
                 aReport.fields.end(),
                 [&](const auto& aField) { return aField.first == aName; });
  return found == aReport.fields.end() ? "absent" : found->second;
}

} // namespace

Test(TakeoverMeter, ReportsEachStepSinceTheLoss)
{
  TestTrace trace;
  TakeoverMeter meter;
  meter.OnLeaderLost(kLost);
  EXPECT_THAT(trace, !meter.IsMeasuring());
  meter.OnElected(kLost + milliseconds(400));
  meter.OnStep(TakeoverStep::Ready, kLost + milliseconds(450));
  meter.OnUpstreams(0, 10, kLost + milliseconds(475));
  meter.OnUpstreams(1, 10, kLost + milliseconds(500));
  meter.OnStep(TakeoverStep::FirstStart, kLost + milliseconds(525));
  meter.OnStep(TakeoverStep::FirstStart, kLost + milliseconds(600));
  trace.Section("not before all upstreams have confirmed", [&] {
    EXPECT_THAT(trace, !meter.TakeReport(true, kLost + milliseconds(650)));
  });
  meter.OnUpstreams(10, 10, kLost + milliseconds(700));
  const auto report = meter.TakeReport(true, kLost + milliseconds(700));
  EXPECT_THAT(trace, report.has_value());
  EXPECT_EQUAL(trace, FieldOf(*report, "elected_ms"), "400");
  EXPECT_EQUAL(trace, FieldOf(*report, "ready_ms"), "450");
  EXPECT_EQUAL(trace, FieldOf(*report, "first_upstream_ms"), "500");
  EXPECT_EQUAL(trace, FieldOf(*report, "first_start_ms"), "525");
  EXPECT_EQUAL(trace, FieldOf(*report, "all_upstreams_ms"), "700");
  trace.Section("once", [&] {
    EXPECT_THAT(trace, !meter.TakeReport(true, kLost + seconds(9)));
  });
}

// Guards against a takeover that fails half-way and leaves no trace.
Test(TakeoverMeter, ReportsAnUnfinishedTakeover)
{
  TestTrace trace;
  TakeoverMeter meter;
  meter.OnLeaderLost(kLost);
  meter.OnElected(kLost + milliseconds(400));
  meter.OnUpstreams(3, 10, kLost + milliseconds(500));
  trace.Section("when the leadership is lost again", [&] {
    const auto report = meter.TakeReport(false, kLost + milliseconds(600));
    EXPECT_THAT(trace, report.has_value());
    EXPECT_EQUAL(trace, FieldOf(*report, "ready_ms"), "not reached");
    EXPECT_EQUAL(trace, FieldOf(*report, "confirmed"), "3");
  });
  trace.Section("when some upstreams do not answer", [&] {
    meter.OnLeaderLost(kLost + seconds(5));
    meter.OnElected(kLost + seconds(6));
    meter.OnUpstreams(9, 10, kLost + seconds(7));
    EXPECT_THAT(trace, !meter.TakeReport(true, kLost + seconds(8)));
    const auto report = meter.TakeReport(true, kLost + seconds(9));
    EXPECT_THAT(trace, report.has_value());
    EXPECT_EQUAL(trace, FieldOf(*report, "all_upstreams_ms"), "not reached");
  });
}
