// The steady clock of a node. It includes the time during which the machine was
// suspended; otherwise a resumed node would treat leases and leadership as
// valid after they have expired.
#ifndef hyssoppaddle_node_Clock_h
#define hyssoppaddle_node_Clock_h

#include "base/Time.h"

namespace hyssoppaddle::node {

Time
SuspendAwareNow();

} // namespace hyssoppaddle::node

#endif
