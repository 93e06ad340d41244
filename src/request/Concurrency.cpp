// Latency baseline and adaptive concurrency limit.
#include "request/Concurrency.h"

#include <algorithm>

namespace hyssoppaddle::request {

void
LatencyBaseline::Add(Duration aLatency, Time aNow)
{
  if (this->samples == 0 || aNow - this->windowStart >= kWindowLength) {
    this->StartWindow(aNow);
  }
  // Stochastic median estimate: moves towards each sample by a fixed fraction.
  // The fraction is larger while there are few samples.
  const auto sample =
    static_cast<double>(std::max<Duration::rep>(aLatency.count(), 1));
  const double step = std::max(0.02, 0.5 / (1.0 + this->samples));
  if (this->median <= 0) {
    this->median = sample;
  } else if (sample > this->median) {
    this->median = std::min(sample, this->median * (1 + step));
  } else {
    this->median = std::max(sample, this->median * (1 - step));
  }
  ++this->samples;
}

void
LatencyBaseline::StartWindow(Time aNow)
{
  if (this->samples >= kMinSamples) {
    this->closedMedians.at(this->next) = this->median;
    this->next = (this->next + 1) % kWindows;
  }
  this->samples = 0;
  this->windowStart = aNow;
}

std::optional<Duration>
LatencyBaseline::BaselineLatency() const
{
  double lowest = this->samples >= kMinSamples ? this->median : 0;
  for (const double value : this->closedMedians) {
    if (value > 0 && (lowest <= 0 || value < lowest)) {
      lowest = value;
    }
  }
  if (lowest <= 0) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(lowest));
}

void
ConcurrencyLimit::SetCeiling(std::uint32_t aCeiling)
{
  const std::uint32_t ceilingNow = std::max(aCeiling, 1U);
  if (ceilingNow == this->ceiling) {
    return;
  }
  // The limit starts at the declared number: slow start limits a new upstream,
  // and the first responses lower the limit of a shared one.
  this->ceiling = ceilingNow;
  this->value = ceilingNow;
}

void
ConcurrencyLimit::OnAnswer(Duration aLatency,
                           std::optional<Duration> aBaselineLatency,
                           bool aBusy,
                           Time aNow)
{
  const auto sample = static_cast<double>(aLatency.count());
  this->latency =
    this->latency <= 0
      ? sample
      : this->latency + kSmoothingFactor * (sample - this->latency);
  if (!aBaselineLatency) {
    return;
  }
  const double slowdown =
    this->latency /
    (kOverloadSlowdown * static_cast<double>(aBaselineLatency->count()));
  if (slowdown > 1) {
    this->Decrease(
      std::clamp(1 / slowdown, kLargestDecreaseFactor, kSmallestDecreaseFactor),
      aNow);
  } else if (aBusy) {
    this->value = std::min(this->value + 1 / this->value,
                           static_cast<double>(this->ceiling));
  }
}

void
ConcurrencyLimit::OnRejected(Time aNow)
{
  this->Decrease(kLargestDecreaseFactor, aNow);
}

void
ConcurrencyLimit::Decrease(double aFactor, Time aNow)
{
  // Decreases at most once per response time: the requests already in flight
  // report the same overload again.
  const Duration gap = std::max(
    kMinDecreaseGap, Duration(static_cast<Duration::rep>(this->latency)));
  if (this->decreasedAt != Time{} && aNow - this->decreasedAt < gap) {
    return;
  }
  this->decreasedAt = aNow;
  this->value = std::max(1.0, this->value * aFactor);
}

} // namespace hyssoppaddle::request
