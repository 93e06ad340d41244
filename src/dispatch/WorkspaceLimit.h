// The limit on what all runs of a workspace may use together.
#ifndef hyssoppaddle_dispatch_WorkspaceLimit_h
#define hyssoppaddle_dispatch_WorkspaceLimit_h

#include "state/Resources.h"

namespace hyssoppaddle::dispatch {

// Number of tasks of aSize, at most aMost, that may run beside what is taken. A
// limit of 0 is none.
[[nodiscard]] std::uint32_t
CountWithinLimit(const state::Resources& aTaken,
                 const state::Resources& aSize,
                 const state::Resources& aLimit,
                 std::uint32_t aMost);

} // namespace hyssoppaddle::dispatch

#endif
