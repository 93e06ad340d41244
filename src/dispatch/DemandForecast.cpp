// Exponentially weighted sum of recent arrivals.
#include "dispatch/DemandForecast.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::dispatch {

namespace {

// Time constant after which the weight of a job has decayed to 1/e: half the
// duration of a move, long enough to include several jobs of a peak.
constexpr Duration kDecayTime = std::chrono::milliseconds(700);

// A rate that rises is higher over the short than over this time.
constexpr Duration kTrendTime = std::chrono::milliseconds(1400);
constexpr double kMaxTrend = 2.5;

double
Ratio(Duration aPart, Duration aWhole)
{
  return static_cast<double>(aPart.count()) /
         static_cast<double>(aWhole.count());
}

} // namespace

void
DemandForecast::AddJob(const ServiceId& aService,
                       double aCores,
                       Duration aLength,
                       Time aNow)
{
  if (aCores <= 0) {
    return; // long-running tasks say nothing about later jobs
  }
  const auto [found, isFirst] = this->arrivals.try_emplace(aService);
  Arrivals& recent = found->second;
  if (isFirst) {
    recent.firstAt = aNow;
  }
  const double weight = std::exp(-Ratio(aNow - recent.at, kDecayTime));
  const double seconds = std::chrono::duration<double>(aLength).count();
  recent.cores = recent.cores * weight + aCores;
  recent.coreSeconds = recent.coreSeconds * weight + aCores * seconds;
  recent.coresOfLonger =
    recent.coresOfLonger * std::exp(-Ratio(aNow - recent.at, kTrendTime)) +
    aCores;
  recent.at = aNow;
}

double
DemandForecast::ExpectedCores(const ServiceId& aService,
                              Duration aAhead,
                              Time aNow) const
{
  const auto found = this->arrivals.find(aService);
  if (found == this->arrivals.end() || found->second.cores <= 0) {
    return 0;
  }
  const Arrivals& arrived = found->second;
  const auto length = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(arrived.coreSeconds / arrived.cores));
  return this->RecentCores(aService, aNow) *
         Ratio(std::min(aAhead, length), kDecayTime) *
         TrendOf(arrived, aAhead, aNow);
}

// Factor by which the rate will be higher in the middle of aAhead, by the line
// through the rates over the two decay times.
double
DemandForecast::TrendOf(const Arrivals& aArrived, Duration aAhead, Time aNow)
{
  const Duration observed = aNow - aArrived.firstAt;
  if (observed < kDecayTime / 2) {
    return 1.0; // the first jobs show no trend
  }
  // Both sums are still short of the jobs that came before the first one.
  const auto rate = [&](double aCores, Duration aDecayTime) {
    return aCores * std::exp(-Ratio(aNow - aArrived.at, aDecayTime)) /
           (static_cast<double>(aDecayTime.count()) *
            (1.0 - std::exp(-Ratio(observed, aDecayTime))));
  };
  const double now = rate(aArrived.cores, kDecayTime);
  const double before = rate(aArrived.coresOfLonger, kTrendTime);
  if (now <= 0) {
    return 1.0;
  }
  const double rise =
    (now - before) / now * Ratio(aAhead / 2, kTrendTime - kDecayTime);
  return std::clamp(1.0 + rise, 1.0, kMaxTrend);
}

double
DemandForecast::RecentCores(const ServiceId& aService, Time aNow) const
{
  const auto found = this->arrivals.find(aService);
  if (found == this->arrivals.end()) {
    return 0;
  }
  const Arrivals& recent = found->second;
  return recent.cores * std::exp(-Ratio(aNow - recent.at, kDecayTime));
}

} // namespace hyssoppaddle::dispatch
