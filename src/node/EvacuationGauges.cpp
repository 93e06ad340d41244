// Sums over the data centres under evacuation.
#include "node/EvacuationGauges.h"

#include "dispatch/Dispatcher.h"

namespace hyssoppaddle::node {

void
AppendEvacuationGauges(const work::WorkTables& aTables,
                       const dispatch::Dispatcher& aDispatcher,
                       Time aNow,
                       std::vector<shell::Gauge>& aGauges)
{
  aGauges.push_back({ "data_centres_evacuating",
                      "Data centres in which nothing is started.",
                      static_cast<double>(aTables.evacuations.size()) });
  if (!aDispatcher.Leads()) {
    return;
  }
  std::size_t tasks = 0;
  for (const auto& progress : aDispatcher.Evacuations(aNow)) {
    tasks += progress.tasks + progress.longRunning;
  }
  aGauges.push_back({ "evacuation_tasks",
                      "Tasks that still run in these data centres.",
                      static_cast<double>(tasks) });
  const auto without =
    dispatch::ServicesWithoutUpstreams(aDispatcher.Upstreams());
  aGauges.push_back({ "services_without_upstreams",
                      "Services whose upstreams are all in these data centres.",
                      static_cast<double>(without.size()) });
}

} // namespace hyssoppaddle::node
