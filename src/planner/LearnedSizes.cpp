// Updates the learned factors. The upper factor rises quickly and falls slowly,
// so that a team gains nothing by occasionally declaring too little.
#include "planner/LearnedSizes.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace hyssoppaddle::planner {

namespace {

constexpr double kRiseWeight = 0.5;
constexpr double kFallWeight = 0.05;
constexpr double kMeanWeight = 0.05;
// Declared sizes are wrong by a factor of up to 4. A report far above that is
// faulty.
constexpr double kMaxFactor = 8.0;

double
Ratio(std::int64_t aUsage, std::int64_t aDeclared)
{
  if (aDeclared <= 0) {
    return 1.0;
  }
  const double ratio =
    static_cast<double>(aUsage) / static_cast<double>(aDeclared);
  return std::clamp(ratio, 0.0, kMaxFactor);
}

void
MoveTowards(double& aFactor, double aObserved)
{
  aFactor +=
    (aObserved - aFactor) * (aObserved > aFactor ? kRiseWeight : kFallWeight);
}

std::int64_t
Scale(std::int64_t aDeclared, double aFactor)
{
  return static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aDeclared) * aFactor));
}

} // namespace

void
LearnedSizes::Learn(const ServiceId& aService,
                    const TeamId& aTeam,
                    const state::Resources& aDeclared,
                    const state::Resources& aUsage)
{
  Factors& learned = this->factors[Key{ aService, aTeam }];
  const std::array<double, 3> observed{
    Ratio(aUsage.milliCpus, aDeclared.milliCpus),
    Ratio(aUsage.memoryMb, aDeclared.memoryMb),
    Ratio(aUsage.accelerators, aDeclared.accelerators),
  };
  ++learned.samples;
  const double weight = std::max(kMeanWeight, 1.0 / learned.samples);
  for (std::size_t kind = 0; kind < observed.size(); ++kind) {
    MoveTowards(learned.upper[kind], observed[kind]);
    learned.mean[kind] += (observed[kind] - learned.mean[kind]) * weight;
  }
}

state::Resources
LearnedSizes::SizeToReserve(const ServiceId& aService,
                            const TeamId& aTeam,
                            const state::Resources& aDeclared) const
{
  const auto found = this->factors.find(Key{ aService, aTeam });
  if (found == this->factors.end()) {
    return aDeclared;
  }
  state::Resources size = aDeclared;
  const Factors& learned = found->second;
  size.milliCpus =
    std::max(size.milliCpus, Scale(aDeclared.milliCpus, learned.upper[0]));
  size.memoryMb =
    std::max(size.memoryMb, Scale(aDeclared.memoryMb, learned.upper[1]));
  // Accelerators are assigned as whole devices to one task exclusively, so
  // usage cannot exceed the declared number.
  return size;
}

state::Resources
LearnedSizes::ExpectedUsage(const ServiceId& aService,
                            const TeamId& aTeam,
                            const state::Resources& aDeclared) const
{
  const auto found = this->factors.find(Key{ aService, aTeam });
  if (found == this->factors.end()) {
    return aDeclared;
  }
  const Factors& learned = found->second;
  return { Scale(aDeclared.milliCpus, learned.mean[0]),
           Scale(aDeclared.memoryMb, learned.mean[1]),
           aDeclared.accelerators };
}

} // namespace hyssoppaddle::planner
