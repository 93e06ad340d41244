// Metrics about the evacuation of data centres.
#ifndef hyssoppaddle_node_EvacuationGauges_h
#define hyssoppaddle_node_EvacuationGauges_h

#include "base/Time.h"
#include "shell/Metrics.h"

#include <vector>

namespace hyssoppaddle::dispatch {
class Dispatcher;
}
namespace hyssoppaddle::work {
struct WorkTables;
}

namespace hyssoppaddle::node {

// Appends the number of orders in force and, on the leader, what is left there.
void
AppendEvacuationGauges(const work::WorkTables& aTables,
                       const dispatch::Dispatcher& aDispatcher,
                       Time aNow,
                       std::vector<shell::Gauge>& aGauges);

} // namespace hyssoppaddle::node

#endif
