// The scarcest resource decides.
#include "dispatch/WorkspaceLimit.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

std::uint32_t
CountWithinLimit(const state::Resources& aTaken,
                 const state::Resources& aSize,
                 const state::Resources& aLimit,
                 std::uint32_t aMost)
{
  std::int64_t count = aMost;
  const auto bound =
    [&count](std::int64_t aUsed, std::int64_t aEach, std::int64_t aWhole) {
      if (aWhole > 0 && aEach > 0) {
        count =
          std::min(count, std::max<std::int64_t>(aWhole - aUsed, 0) / aEach);
      }
    };
  bound(aTaken.milliCpus, aSize.milliCpus, aLimit.milliCpus);
  bound(aTaken.memoryMb, aSize.memoryMb, aLimit.memoryMb);
  bound(aTaken.accelerators, aSize.accelerators, aLimit.accelerators);
  return static_cast<std::uint32_t>(count);
}

} // namespace hyssoppaddle::dispatch
