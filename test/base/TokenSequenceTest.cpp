// Tests of the numbers of messages whose replies are matched by number.
#include "base/TokenSequence.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using test::TestTrace;

// Guards against processes of one instance that use the same numbers.
Test(TokenSequence, DiffersBetweenSeeds)
{
  TestTrace trace;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    TokenSequence earlier(seed);
    TokenSequence later(seed + 1);
    for (int i = 0; i < 1000; ++i) {
      const std::uint64_t token = earlier.Next();
      (void)later.Next();
      EXPECT_THAT(trace, token != 0);
      EXPECT_THAT(trace, earlier.HasIssued(token));
      EXPECT_THAT(trace, !later.HasIssued(token));
      EXPECT_THAT(trace, !earlier.HasIssued(token + 1));
    }
  }
}
