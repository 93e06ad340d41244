// Forecast of the work that is about to arrive for each service.
//
// Load pattern: queues peak in turn, and within a second a queue asks for five
// times its mean. An instance takes seconds to move, so a pool that grows only
// with its backlog receives its instances after the first jobs are late. The
// arrival rate of the most recent jobs shows at once how many instances will be
// needed. A peak takes some seconds to rise, so a rate that rises will be
// higher by the time at which the instances are there.
#ifndef hyssoppaddle_dispatch_DemandForecast_h
#define hyssoppaddle_dispatch_DemandForecast_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>

namespace hyssoppaddle::dispatch {

class DemandForecast
{
public:
  // Records an accepted job that keeps aCores busy on average for aLength.
  void AddJob(const ServiceId& aService,
              double aCores,
              Duration aLength,
              Time aNow);

  // Cores that the jobs that arrive within aAhead will need at its end if the
  // arrival rate goes on as it does now. Jobs that are shorter than aAhead
  // follow each other on the same cores. A rate that rises counts for more.
  [[nodiscard]] double ExpectedCores(const ServiceId& aService,
                                     Duration aAhead,
                                     Time aNow) const;

  // Cores of the jobs that arrived recently.
  [[nodiscard]] double RecentCores(const ServiceId& aService, Time aNow) const;

  // True when a job that keeps cores busy was recorded.
  [[nodiscard]] bool HasArrivals(const ServiceId& aService) const
  {
    return this->arrivals.contains(aService);
  }

private:
  struct Arrivals
  {
    // Of recent jobs, with exponentially decaying weights.
    double cores = 0;
    double coreSeconds = 0;
    double coresOfLonger = 0; // with a longer decay
    Time at{};                // when the weights were last updated
    Time firstAt{};           // of the first job
  };

  [[nodiscard]] static double TrendOf(const Arrivals& aArrived,
                                      Duration aAhead,
                                      Time aNow);

  std::map<ServiceId, Arrivals> arrivals;
};

} // namespace hyssoppaddle::dispatch

#endif
