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
  return std::max(aDeclared,
                  static_cast<std::int64_t>(
                    std::ceil(static_cast<double>(aDeclared) * aFactor)));
}

} // namespace

void
LearnedSizes::Learn(const ServiceId& aService,
                    const TeamId& aTeam,
                    const state::Resources& aDeclared,
                    const state::Resources& aUsage)
{
  std::array<double, 3>& factor =
    this->factors
      .try_emplace(Key{ aService, aTeam },
                   std::array<double, 3>{ 1.0, 1.0, 1.0 })
      .first->second;
  Follow(factor[0], Ratio(aUsage.milliCpus, aDeclared.milliCpus));
  Follow(factor[1], Ratio(aUsage.memoryMb, aDeclared.memoryMb));
  Follow(factor[2], Ratio(aUsage.accelerators, aDeclared.accelerators));
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
  size.milliCpus = Scale(aDeclared.milliCpus, found->second[0]);
  size.memoryMb = Scale(aDeclared.memoryMb, found->second[1]);
  // Devices are whole and given to a task exclusively: usage cannot exceed
  // them.
  return size;
}

} // namespace hyssoppaddle::planner
