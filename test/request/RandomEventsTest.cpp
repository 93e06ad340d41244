// Seeded random events with a checker from the outside.
#include "request/World.h"

#include <cstdlib>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

// Guards against every violation that no single test thought of: two runs of a
// non-idempotent request, a false "not run", more running than permits, work
// for departed upstreams or withdrawn keys, and requests without an end.
Test(RandomEvents, KeepTheInvariants)
{
  TestTrace trace;
  const char* chosen = std::getenv("HYSSOPPADDLE_SEED");
  const std::uint64_t first =
    chosen == nullptr ? 1 : std::strtoull(chosen, nullptr, 10);
  const std::uint64_t last = chosen == nullptr ? 200 : first;
  std::uint64_t attempts = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    trace.Section("seed " + std::to_string(seed), [&] {
      World world(seed);
      for (int action = 0; action < 4000 && world.Violation().empty();
           ++action) {
        world.Act();
      }
      const std::string during = world.Violation();
      EXPECT_EQUAL(trace, during, std::string());
      world.Settle();
      attempts += world.Attempts();
      const std::string after = world.Violation();
      EXPECT_EQUAL(trace, after, std::string());
    });
  }
  // Fewer would mean that the world mostly refuses and tests little.
  EXPECT_THAT(trace, attempts >= 150 * (last - first + 1));
}
