// How much of the replicated log a node keeps in memory.
//
// Load pattern: hundreds of changes of a large configuration. Each entry holds
// all of it, so that a number of entries says nothing about their memory.
#ifndef hyssoppaddle_node_LogLimits_h
#define hyssoppaddle_node_LogLimits_h

#include "agreement/Raft.h"

#include <cstddef>

namespace hyssoppaddle::node {

// aMemory is the memory of the process in bytes.
[[nodiscard]] agreement::RaftLimits
LogLimits(std::size_t aMemory);

} // namespace hyssoppaddle::node

#endif
