// The limit on the starts that the leader has underway.
#include "dispatch/StartWindow.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::StartWindow;

namespace {

// Observes the same delay every 10 ms.
void
Observe(StartWindow& aWindow,
        Time& aNow,
        Duration aFor,
        Duration aDelay,
        std::size_t aUnderway,
        std::size_t aUpstreams = 0)
{
  for (const Time end = aNow + aFor; aNow < end; aNow += milliseconds(10)) {
    if (aWindow.Observe(aDelay, aNow)) {
      aWindow.Adapt(aUnderway, aUpstreams);
    }
  }
}

} // namespace

Test(StartWindow, LimitsStartsOnlyWhileAllEventsAreLate)
{
  TestTrace trace;
  StartWindow window;
  Time now{ std::chrono::seconds(1000) };
  trace.Section("a leader that keeps up has no limit", [&] {
    Observe(window, now, milliseconds(500), milliseconds(1), 5000);
    EXPECT_THAT(trace, !window.IsLimited());
    EXPECT_THAT(trace, window.IsOpen(100000));
  });
  trace.Section("some events are late", [&] {
    for (int i = 0; i < 50; ++i) {
      Observe(window, now, milliseconds(50), milliseconds(200), 1000);
      Observe(window, now, milliseconds(10), milliseconds(2), 1000);
    }
    EXPECT_THAT(trace, !window.IsLimited());
  });
  trace.Section("all events are late", [&] {
    Observe(window, now, milliseconds(300), milliseconds(60), 1000);
    EXPECT_THAT(trace, window.IsLimited());
    EXPECT_THAT(trace, window.Limit() < 1000);
    EXPECT_THAT(trace, !window.IsOpen(1000));
    EXPECT_EQUAL(trace, window.Room(1000), 0U);
  });
  trace.Section("they stay late", [&] {
    const std::size_t before = window.Limit();
    Observe(window, now, milliseconds(500), milliseconds(60), before);
    EXPECT_THAT(trace, window.Limit() < before);
    Observe(window, now, milliseconds(60000), milliseconds(60), 1);
    EXPECT_THAT(trace, window.Room(0) > 0);
  });
  trace.Section("the leader keeps up again and uses the limit", [&] {
    const std::size_t before = window.Limit();
    Observe(window, now, milliseconds(300), milliseconds(5), before);
    EXPECT_THAT(trace, window.IsLimited());
    EXPECT_THAT(trace, window.Limit() > before);
    EXPECT_THAT(trace, window.Limit() < before * 2);
  });
  trace.Section("few starts are underway", [&] {
    Observe(window, now, milliseconds(2000), milliseconds(5), 0);
    EXPECT_THAT(trace, !window.IsLimited());
  });
}

// Guards against a leader of many upstreams that starts next to nothing, since
// its events are late whatever the limit is.
Test(StartWindow, LowestLimitGrowsWithTheUpstreams)
{
  TestTrace trace;
  Time now{ std::chrono::seconds(1000) };
  StartWindow few;
  Observe(few, now, milliseconds(60000), milliseconds(500), 2000, 100);
  StartWindow many;
  Observe(many, now, milliseconds(60000), milliseconds(500), 2000, 3000);
  EXPECT_THAT(trace, few.Limit() < 100);
  EXPECT_THAT(trace, many.Limit() >= 3000 / 4);
}
