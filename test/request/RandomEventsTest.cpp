// Runs seeded random events against the reducer with an independent checker.
#include "request/RequestSimulation.h"

#include <cstdlib>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

// Guards against violations of the invariants in sequences of events that no
// other test covers: two runs of a non-idempotent request, a false "not run",
// more running requests than permits, requests to departed upstreams or with
// withdrawn keys, and requests that never end.
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
      RequestSimulation simulation(seed);
      for (int action = 0; action < 4000 && simulation.Violation().empty();
           ++action) {
        simulation.RunRandomAction();
      }
      const std::string during = simulation.Violation();
      EXPECT_EQUAL(trace, during, std::string());
      simulation.Settle();
      attempts += simulation.Attempts();
      const std::string after = simulation.Violation();
      EXPECT_EQUAL(trace, after, std::string());
    });
  }
  // With fewer attempts, most requests were refused and little was tested.
  EXPECT_THAT(trace, attempts >= 150 * (last - first + 1));
}
