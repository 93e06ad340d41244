// What one entry instance knows about an upstream and about the upstreams of a
// service. Each group of data members is changed by the one unit named there;
// the others read it.
#ifndef hyssoppaddle_request_Upstream_h
#define hyssoppaddle_request_Upstream_h

#include "base/Id.h"
#include "base/Time.h"
#include "request/Concurrency.h"
#include "request/Timers.h"
#include "state/Commands.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <vector>

namespace hyssoppaddle::request {

inline constexpr std::size_t kNowhere = std::numeric_limits<std::size_t>::max();

enum class Health : std::uint8_t
{
  Healthy,
  Ejected,
  Probing, // one request at a time decides
};

struct ServiceGroup;

struct Upstream
{
  // Directory.
  InstanceId id;
  state::Announcement facts; // the latest one, from the log or heard here
  bool inLog = false;
  bool silentInLog = false;
  bool phaseAllows = true; // the instance is not being stopped or moved
  bool usable = false;     // may be given new work
  std::optional<Time> heardAt;
  std::optional<Timers::Handle> heardTimer;
  ServiceGroup* group = nullptr; // of facts.service while usable

  // Router.
  ConcurrencyLimit limit;
  std::uint32_t inFlight = 0;
  Time rampFrom; // start of the slow start
  bool ramping = false;
  std::optional<Timers::Handle> rampTimer;
  bool sameDataCentre = false;
  std::size_t readyPlace = kNowhere; // in ready or readyRemote of the group
  std::size_t heardPlace = kNowhere; // in readyHeard of the group
  std::size_t probePlace = kNowhere; // in toProbe of the group

  // Ejector.
  Health health = Health::Healthy;
  std::uint32_t failures = 0; // consecutive
  Time failedAt;
  std::uint32_t ejections = 0; // consecutive, for the probe delay
  std::optional<Timers::Handle> probeTimer;

  // Holds of permits by attempts that may still run here, by hold number.
  std::set<std::uint64_t> holds;
};

// Upstreams of one service.
struct ServiceGroup
{
  ServiceId service;
  // Directory.
  std::uint32_t usable = 0;
  // Router. An upstream is listed while it is usable, not ejected and below its
  // concurrency limit, so that sampling needs no scan.
  std::vector<Upstream*> ready;       // own data centre
  std::vector<Upstream*> readyRemote; // other data centres
  std::vector<Upstream*> readyHeard;  // any data centre, heard here
  std::vector<Upstream*> toProbe;     // probing, and nothing under way
  LatencyBaseline baseline;
  // Ejector. Oldest first.
  std::vector<Upstream*> ejected;
};

} // namespace hyssoppaddle::request

#endif
