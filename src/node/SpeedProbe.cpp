// Takes samples of the speed of the machine.
#include "node/SpeedProbe.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace hyssoppaddle::node {

namespace {

constexpr Duration kSampleInterval = std::chrono::milliseconds(200);
// Long against the resolution of the clock, short against a tick.
constexpr std::uint32_t kRounds = 60000;
// A linear congruential generator: each round depends on the one before it.
constexpr std::uint64_t kMultiplier = 6364136223846793005ULL;
constexpr std::uint64_t kIncrement = 1442695040888963407ULL;

} // namespace

SpeedProbe::SpeedProbe(Sample aSample)
  : sample(std::move(aSample))
{
}

void
SpeedProbe::Tick(Time aNow)
{
  if (aNow < this->nextSampleAt) {
    return;
  }
  this->nextSampleAt = aNow + kSampleInterval;
  this->recent[this->taken % kSamples] = this->sample();
  ++this->taken;
  if (this->taken < kSamples) {
    return;
  }
  std::array<Duration, kSamples> sorted = this->recent;
  std::sort(sorted.begin(), sorted.end());
  this->median = sorted[kSamples / 2];
  const bool isBest = this->best.count() == 0 || this->median < this->best;
  if (isBest && this->median.count() > 0) {
    this->best = this->median;
  }
}

double
SpeedProbe::Slowness() const
{
  if (this->best.count() == 0) {
    return 1.0;
  }
  return static_cast<double>(this->median.count()) /
         static_cast<double>(this->best.count());
}

Duration
TimeFixedComputation(const std::function<Time()>& aClock)
{
  const Time begun = aClock();
  volatile std::uint64_t result = 0;
  std::uint64_t value = result;
  for (std::uint32_t i = 0; i < kRounds; ++i) {
    value = value * kMultiplier + kIncrement;
  }
  result = value;
  return aClock() - begun;
}

} // namespace hyssoppaddle::node
