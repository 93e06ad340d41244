// Size of tasks in cores of an upstream, as far as they keep other tasks away.
//
// Load pattern: tasks that need much memory fill the memory of an upstream
// while most of its cores are idle. Counted by cores alone, a pool of such
// upstreams seems to have room for a peak, asks for no instances and accepts
// jobs that cannot be placed.
#ifndef hyssoppaddle_dispatch_EffectiveCores_h
#define hyssoppaddle_dispatch_EffectiveCores_h

#include "state/Resources.h"

namespace hyssoppaddle::dispatch {

// The cores that aSize needs on an upstream of aCapacity, or the same share of
// its cores as aSize needs of its memory, whichever is more.
double
EffectiveCores(const state::Resources& aSize,
               const state::Resources& aCapacity);

} // namespace hyssoppaddle::dispatch

#endif
