// Forecast of which service peaks next, and when.
//
// Load pattern: queues peak in turn, each for about the same time, in an order
// that repeats. An instance takes seconds to move, so a pool that grows when
// its peak begins is too small for the first half of it. Once the length of a
// turn is known, the instances for the next one can be moved before it begins.
#ifndef hyssoppaddle_dispatch_TurnForecast_h
#define hyssoppaddle_dispatch_TurnForecast_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace hyssoppaddle::dispatch {

struct ServiceDemand
{
  ServiceId service;
  double arriving = 0; // cores of the jobs that arrived recently
  double running = 0;  // cores in use by tasks that end by themselves
};

class TurnForecast
{
public:
  // Called regularly with the demand of every service that can peak. A service
  // has its turn while most of the work that arrives is for it.
  void Observe(std::span<const ServiceDemand> aDemands, Time aNow);

  // Cores that the service will need if it is the next to peak and the peak
  // begins within aAhead; otherwise 0.
  [[nodiscard]] double ExpectedCores(const ServiceId& aService,
                                     Duration aAhead,
                                     Time aNow) const;

private:
  struct Turn
  {
    ServiceId service;
    Time since{};
  };

  [[nodiscard]] std::optional<ServiceId> Next() const;
  void BeginTurn(const ServiceId& aService, Time aNow);

  // In order of time; empty until a first turn has begun. Intervals between
  // them differ little, or there is only one.
  std::vector<Turn> turns;
  Duration turnLength{ 0 }; // on average; 0 until two turns have begun
  std::vector<ServiceId> services;
  // Most cores in use in the last completed turn of a service.
  std::map<ServiceId, double> peaks;
  double currentPeak = 0;
  // Has most of the demand, for too short a time to count as its turn.
  std::optional<Turn> contender;
};

} // namespace hyssoppaddle::dispatch

#endif
