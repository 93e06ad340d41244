// Tests the rate of the lines about refused clients.
#include "node/RefusalLog.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using std::chrono::milliseconds;

// Guards against a crowd that fills the log.
Test(RefusalLog, WritesOneLineASecondForEachCause)
{
  TestTrace trace;
  node::RefusalLog log;
  Time now{ std::chrono::seconds(100) };
  const auto countOf = [&](std::string_view aCause) {
    const auto line = log.Record(aCause, "127.0.0.1", now);
    return line ? line->fields.at(2).second : std::string("no line");
  };
  EXPECT_EQUAL(trace, countOf("body_timeout"), "1");
  trace.Section("further refusals of the same second are counted", [&] {
    for (int i = 0; i < 5; ++i) {
      now += milliseconds(100);
      EXPECT_EQUAL(trace, countOf("body_timeout"), "no line");
    }
    EXPECT_EQUAL(trace, countOf("memory_exhausted"), "1");
    now += milliseconds(500);
    EXPECT_EQUAL(trace, countOf("body_timeout"), "6");
  });
}
