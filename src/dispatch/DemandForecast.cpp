// Exponentially weighted sum of recent arrivals.
#include "dispatch/DemandForecast.h"

#include <cmath>

namespace hyssoppaddle::dispatch {

namespace {

// Time constant after which the weight of a job has decayed to 1/e: half the
// duration of a move, long enough to include several jobs of a peak.
constexpr Duration kDecayTime = std::chrono::milliseconds(700);

double
Ratio(Duration aPart, Duration aWhole)
{
  return static_cast<double>(aPart.count()) /
         static_cast<double>(aWhole.count());
}

} // namespace

void
DemandForecast::AddJob(const ServiceId& aService, double aCores, Time aNow)
{
  if (aCores <= 0) {
    return; // long-running tasks say nothing about later jobs
  }
  Arrivals& recent = this->arrivals[aService];
  recent.cores =
    recent.cores * std::exp(-Ratio(aNow - recent.at, kDecayTime)) + aCores;
  recent.at = aNow;
}

double
DemandForecast::ExpectedCores(const ServiceId& aService,
                              Duration aAhead,
                              Time aNow) const
{
  const auto found = this->arrivals.find(aService);
  if (found == this->arrivals.end()) {
    return 0;
  }
  const Arrivals& recent = found->second;
  return recent.cores * std::exp(-Ratio(aNow - recent.at, kDecayTime)) *
         Ratio(aAhead, kDecayTime);
}

} // namespace hyssoppaddle::dispatch
