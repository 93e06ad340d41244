// Tests of the seeded random numbers.
#include "base/Random.h"
#include "support/TestTrace.h"

using hyssoppaddle::Duration;
using hyssoppaddle::Random;
using hyssoppaddle::test::TestTrace;

// Guards against a change of the generator, which would silently invalidate
// every recorded seed.
Test(Random, SameSeedGivesTheSameSequence)
{
  TestTrace trace;
  trace.Section("two generators start from seed 7", [&] {
    Random first(7);
    Random second(7);
    trace.Section(
      "their numbers agree and match the published SplitMix64 value", [&] {
        EXPECT_EQUAL(trace, first.Next(), 7191089600892374487ULL);
        second.Next();
        EXPECT_EQUAL(trace, first.Next(), second.Next());
      });
  });
}

// Guards against values outside the requested range, which would give wrong
// election timeouts.
Test(Random, BetweenStaysInsideItsBounds)
{
  TestTrace trace;
  trace.Section("ten thousand draws between 3 and 5 us", [&] {
    Random random(1);
    bool sawLow = false;
    bool sawHigh = false;
    for (int draw = 0; draw < 10000; ++draw) {
      const Duration value = random.Between(Duration(3), Duration(5));
      EXPECT_THAT(trace, value >= Duration(3) && value <= Duration(5));
      sawLow = sawLow || value == Duration(3);
      sawHigh = sawHigh || value == Duration(5);
    }
    EXPECT_THAT(trace, sawLow && sawHigh);
  });
}
