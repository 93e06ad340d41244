// Seeded random events with a checker from the outside.
#include "request/RequestSimulation.h"

#include <cstdlib>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

// Guards against every violation that no single test thought of: two runs of a
// non-idempotent request, a false "not run", more running than permits, work
// for departed upstreams or withdrawn keys, and requests without an end.
Test(RandomEvents, KeepTheInvariants)
{
  Story story;
  const char* chosen = std::getenv("HYSSOPPADDLE_SEED");
  const std::uint64_t first =
    chosen == nullptr ? 1 : std::strtoull(chosen, nullptr, 10);
  const std::uint64_t last = chosen == nullptr ? 200 : first;
  std::uint64_t attempts = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    story.Section("seed " + std::to_string(seed), [&] {
      RequestSimulation simulation(seed);
      for (int action = 0; action < 4000 && simulation.Violation().empty();
           ++action) {
        simulation.RunRandomAction();
      }
      const std::string during = simulation.Violation();
      EXPECT_EQUAL(story, during, std::string());
      simulation.Settle();
      attempts += simulation.Attempts();
      const std::string after = simulation.Violation();
      EXPECT_EQUAL(story, after, std::string());
    });
  }
  // Fewer would mean that the simulation mostly refuses and tests little.
  EXPECT_THAT(story, attempts >= 150 * (last - first + 1));
}
