// State that one entry instance keeps about an upstream and about the upstreams
// of a service. Each group of data members is changed only by the component
// named above it; the other components read it.
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

inline constexpr std::size_t kNotListed =
  std::numeric_limits<std::size_t>::max();

enum class Health : std::uint8_t
{
  Healthy,
  Ejected,
  Probing, // one request at a time, as a probe
};

struct ServiceGroup;

struct Upstream
{
  // Directory.
  InstanceId id;
  state::Announcement latestAnnouncement; // replicated or received here
  bool hasRecord = false;                 // in the replicated state
  bool silentInRecord = false;
  bool phaseAllowsWork = true; // its instance is not being stopped or moved
  bool usable = false;         // new requests may be sent to it
  std::optional<Time> lastAnnouncedAt; // to this entry instance
  std::optional<Timers::Handle> announcementTimer;
  ServiceGroup* group = nullptr; // of latestAnnouncement.service while usable

  // Router.
  ConcurrencyLimit limit;
  std::uint32_t inFlight = 0;
  Time rampStartedAt; // start of the slow start
  bool ramping = false;
  std::optional<Timers::Handle> rampTimer;
  bool sameDataCentre = false;
  std::size_t readyIndex = kNotListed; // in ready or readyRemote of the group
  std::size_t announcedIndex = kNotListed; // in readyAnnounced of the group
  std::size_t probeIndex = kNotListed;     // in toProbe of the group

  // Ejector.
  Health health = Health::Healthy;
  std::uint32_t failures = 0; // consecutive
  Time failedAt;
  std::uint32_t ejections = 0; // consecutive; determines the probe delay
  std::optional<Timers::Handle> probeTimer;

  // Numbers of the permit holds for abandoned attempts that may still run here.
  std::set<std::uint64_t> holds;
};

// Upstreams of one service.
struct ServiceGroup
{
  ServiceId service;
  // Directory.
  std::uint32_t usable = 0;
  // Router. Upstreams that are usable, not ejected and below their concurrency
  // limit. The lists allow sampling without a scan.
  std::vector<Upstream*> ready;          // own data centre
  std::vector<Upstream*> readyRemote;    // other data centres
  std::vector<Upstream*> readyAnnounced; // any; announced to this instance
  std::vector<Upstream*> toProbe;        // Probing, nothing running
  LatencyBaseline baseline;
  // Ejector. In the order of ejection.
  std::vector<Upstream*> ejected;
};

} // namespace hyssoppaddle::request

#endif
