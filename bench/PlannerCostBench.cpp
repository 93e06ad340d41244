// Measures the cost of the planner per event on one core at growing fleet
// sizes, and the time until 95% of a limit is usable after the load moves to
// one entry instance. Usage: PlannerCostBench [seed]
#include "../test/planner/EntryDriver.h"
#include "../test/planner/FleetDriver.h"
#include "../test/planner/Fleets.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

constexpr int kMeasuredSeconds = 10;
constexpr double kJobsPerWorkerAndSecond = 0.2;

struct Cost
{
  std::uint64_t events = 0;
  double seconds = 0;
};

// Submits jobs at a fixed rate per worker. Only Planner::Step is timed.
Cost
Measure(const FleetShape& aShape, std::uint64_t aSeed)
{
  FleetDriver fleet(MakeBundle(aShape));
  EntryDriver entries(fleet, 11);
  Random random(aSeed);
  std::size_t workers = 0;
  for (const std::uint32_t size : aShape.poolSizes) {
    workers += size;
  }
  fleet.Run(5 * kSecond);
  fleet.timed = true;
  std::uint64_t serial = 0;
  const auto perStep = static_cast<std::uint64_t>(static_cast<double>(workers) *
                                                  kJobsPerWorkerAndSecond / 10);
  for (int step = 0; step < kMeasuredSeconds * 10; ++step) {
    for (std::uint64_t job = 0; job <= perStep; ++job) {
      state::SubmitJob body;
      body.job = JobId("job" + std::to_string(++serial));
      body.team = TeamName(random.Below(aShape.shares.size()));
      body.service = ServiceName(random.Below(aShape.poolSizes.size()));
      body.size = { 1000, 1000, 0 };
      JobBehaviour truth;
      truth.runTime = 4 * kSecond;
      truth.usage = { 1000, 1000, 0 };
      fleet.SubmitJob(body, truth);
    }
    entries.SetLoad(random.Below(11),
                    TeamName(random.Below(aShape.shares.size())),
                    static_cast<std::uint32_t>(random.Below(20)));
    fleet.Run(100 * kMillisecond);
  }
  return { fleet.steps, std::chrono::duration<double>(fleet.stepTime).count() };
}

// Milliseconds until 95% of a limit of 60 is in use at one entry instance.
int
MillisecondsUntilUsable(std::uint32_t aOffsetMs)
{
  FleetShape shape = PayrollShape();
  shape.limit = 60;
  FleetDriver fleet(MakeBundle(shape));
  EntryDriver entries(fleet, 11);
  const TeamId team = TeamName(0);
  for (std::size_t entry = 0; entry < 11; ++entry) {
    entries.SetLoad(entry, team, 10);
  }
  fleet.Run(10 * kSecond + aOffsetMs * kMillisecond);
  for (std::size_t entry = 1; entry < 11; ++entry) {
    entries.SetLoad(entry, team, 0);
  }
  entries.SetLoad(0, team, 120);
  for (int elapsed = 1; elapsed < 5000; ++elapsed) {
    fleet.Run(kMillisecond);
    entries.UpdateAll();
    if (entries.InUse(team) >= 57) {
      return elapsed;
    }
  }
  return -1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  struct Size
  {
    std::uint32_t workers;
    std::uint32_t pools;
    std::uint32_t teams;
  };
  constexpr Size kSizes[]{ { 49, 5, 6 }, { 490, 20, 14 }, { 6100, 122, 44 } };
  double first = 0;
  for (const Size& size : kSizes) {
    const Cost cost =
      Measure(ScaledShape(size.workers, size.pools, size.teams), seed);
    const double each = cost.seconds * 1e6 / static_cast<double>(cost.events);
    first = first == 0 ? each : first;
    std::printf(
      "%5u workers: %8llu events, %7.2f us per event, %8.0f events/s, "
      "%.2f times the smallest\n",
      size.workers,
      static_cast<unsigned long long>(cost.events),
      each,
      1e6 / each,
      each / first);
    std::fflush(stdout);
  }
  int worst = 0;
  for (std::uint32_t offset = 0; offset < 1000; offset += 50) {
    const int elapsed = MillisecondsUntilUsable(offset);
    worst = elapsed < 0 ? elapsed : std::max(worst, elapsed);
  }
  std::printf(
    "95%% of a limit usable at one entry instance after at most %d ms "
    "(20 phases)\n",
    worst);
  return 0;
}
