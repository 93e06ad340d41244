// How much work of each service is about to arrive.
//
// Load pattern: the turn of a queue begins, and within a second it asks for
// five times its mean. An instance takes seconds to move, so a pool that grows
// with its backlog has its instances only when the first jobs are late. The
// rate of the last arrivals says at once how many will be needed by then.
#ifndef hyssoppaddle_dispatch_DemandForecast_h
#define hyssoppaddle_dispatch_DemandForecast_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>

namespace hyssoppaddle::dispatch {

class DemandForecast
{
public:
  // A job was accepted that keeps aCores busy on the mean until it ends.
  void AddJob(const ServiceId& aService, double aCores, Time aNow);

  // Cores that the jobs of the next aAhead will use, if they keep coming as
  // they did.
  [[nodiscard]] double ExpectedCores(const ServiceId& aService,
                                     Duration aAhead,
                                     Time aNow) const;

private:
  struct Arrivals
  {
    double cores = 0; // of recent jobs, each weighted down with its age
    Time at{};        // of the weights
  };

  std::map<ServiceId, Arrivals> arrivals;
};

} // namespace hyssoppaddle::dispatch

#endif
