// Forecast of the work that is about to arrive for each service.
//
// Load pattern: queues peak in turn, and within a second a queue asks for five
// times its mean. An instance takes seconds to move, so a pool that grows only
// with its backlog receives its instances after the first jobs are late. The
// arrival rate of the most recent jobs shows at once how many instances will be
// needed.
#ifndef hyssoppaddle_dispatch_DemandForecast_h
#define hyssoppaddle_dispatch_DemandForecast_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>

namespace hyssoppaddle::dispatch {

class DemandForecast
{
public:
  // Records an accepted job that keeps aCores busy on average until it ends.
  void AddJob(const ServiceId& aService, double aCores, Time aNow);

  // Cores needed by the jobs that will arrive within aAhead if the current
  // arrival rate continues.
  [[nodiscard]] double ExpectedCores(const ServiceId& aService,
                                     Duration aAhead,
                                     Time aNow) const;

  // True when a job that keeps cores busy was recorded.
  [[nodiscard]] bool HasArrivals(const ServiceId& aService) const
  {
    return this->arrivals.contains(aService);
  }

private:
  struct Arrivals
  {
    double cores = 0; // of recent jobs, with exponentially decaying weights
    Time at{};        // when the weights were last updated
  };

  std::map<ServiceId, Arrivals> arrivals;
};

} // namespace hyssoppaddle::dispatch

#endif
