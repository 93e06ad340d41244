// Learned factors: they rise quickly and fall slowly, so that a team gains
// nothing by declaring too little now and then.
#include "planner/LearnedSizes.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace hyssoppaddle::planner {

namespace {

constexpr double kRise = 0.5;
constexpr double kFall = 0.05;
constexpr double kMeanWeight = 0.05;
// Declared sizes are wrong by up to 4; a report far above that is a fault of
// the report.
constexpr double kLargestFactor = 8.0;

double
Ratio(std::int64_t aUsage, std::int64_t aDeclared)
{
  if (aDeclared <= 0) {
    return 1.0;
  }
  const double ratio =
    static_cast<double>(aUsage) / static_cast<double>(aDeclared);
  return std::clamp(ratio, 0.0, kLargestFactor);
}

void
Follow(double& aFactor, double aSeen)
{
  aFactor += (aSeen - aFactor) * (aSeen > aFactor ? kRise : kFall);
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
  Learned& learned = this->factors[Key{ aService, aTeam }];
  const std::array<double, 3> seen{
    Ratio(aUsage.milliCpus, aDeclared.milliCpus),
    Ratio(aUsage.memoryMb, aDeclared.memoryMb),
    Ratio(aUsage.accelerators, aDeclared.accelerators),
  };
  ++learned.samples;
  const double weight = std::max(kMeanWeight, 1.0 / learned.samples);
  for (std::size_t kind = 0; kind < seen.size(); ++kind) {
    Follow(learned.largest[kind], seen[kind]);
    learned.mean[kind] += (seen[kind] - learned.mean[kind]) * weight;
  }
}

state::Resources
LearnedSizes::Size(const ServiceId& aService,
                   const TeamId& aTeam,
                   const state::Resources& aDeclared) const
{
  const auto found = this->factors.find(Key{ aService, aTeam });
  if (found == this->factors.end()) {
    return aDeclared;
  }
  state::Resources size = aDeclared;
  const Learned& learned = found->second;
  size.milliCpus =
    std::max(size.milliCpus, Scale(aDeclared.milliCpus, learned.largest[0]));
  size.memoryMb =
    std::max(size.memoryMb, Scale(aDeclared.memoryMb, learned.largest[1]));
  // Devices are whole and given to a task exclusively: usage cannot exceed
  // them.
  return size;
}

state::Resources
LearnedSizes::Expected(const ServiceId& aService,
                       const TeamId& aTeam,
                       const state::Resources& aDeclared) const
{
  const auto found = this->factors.find(Key{ aService, aTeam });
  if (found == this->factors.end()) {
    return aDeclared;
  }
  const Learned& learned = found->second;
  return { Scale(aDeclared.milliCpus, learned.mean[0]),
           Scale(aDeclared.memoryMb, learned.mean[1]),
           aDeclared.accelerators };
}

} // namespace hyssoppaddle::planner
