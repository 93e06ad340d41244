// The clock of a node. It counts the time in which the machine was suspended,
// so that leases and leadership are not believed in for longer than they hold.
#ifndef hyssoppaddle_node_Clock_h
#define hyssoppaddle_node_Clock_h

#include "base/Time.h"

namespace hyssoppaddle::node {

Time
SuspendAwareNow();

} // namespace hyssoppaddle::node

#endif
