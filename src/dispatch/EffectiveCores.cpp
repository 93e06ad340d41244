// The scarcer of cores and memory decides.
#include "dispatch/EffectiveCores.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

double
EffectiveCores(const state::Resources& aSize, const state::Resources& aCapacity)
{
  constexpr double kMilli = 1000.0;
  const double byCores = static_cast<double>(aSize.milliCpus) / kMilli;
  if (aCapacity.memoryMb <= 0) {
    return byCores;
  }
  const double byMemory = static_cast<double>(aSize.memoryMb) /
                          static_cast<double>(aCapacity.memoryMb) *
                          static_cast<double>(aCapacity.milliCpus) / kMilli;
  return std::max(byCores, byMemory);
}

} // namespace hyssoppaddle::dispatch
