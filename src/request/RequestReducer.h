// Life of relayed requests on one entry instance, from the header to the last
// byte of the answer: admission, permits, claims, routing, retries.
#ifndef hyssoppaddle_request_RequestReducer_h
#define hyssoppaddle_request_RequestReducer_h

#include "request/Events.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppaddle::request {

struct RequestOptions
{
  InstanceId self;
  DataCentreId dataCentre;
  std::string boot;
  std::uint64_t seed = 0;
  Duration keyLease{ 4000000 };       // keyed work after the last renewal
  Duration permitLease{ 20000000 };   // any work after the last renewal
  Duration directoryLease{ 2000000 }; // after it, only upstreams heard here
  Duration heardFor{ 2000000 };       // an announcement here counts this long
  Duration maxDeadline{ 60000000 };
  Duration claimRetention{ 24LL * 3600 * 1000000 };
  // False: every upstream gets its declared number at once, as a baseline.
  bool adaptiveConcurrency = true;
};

// Counters for /metrics and for tests.
struct RequestCounters
{
  std::uint64_t arrived = 0;
  std::uint64_t finished = 0;
  std::uint64_t refused = 0;
  std::uint64_t retried = 0;
  std::uint64_t attempts = 0;
};

class RequestReducer
{
public:
  // aView must outlive this object; it is read at every step.
  RequestReducer(RequestOptions aOptions, const state::FleetState& aView);
  ~RequestReducer();
  RequestReducer(RequestReducer&&) noexcept;
  RequestReducer& operator=(RequestReducer&&) noexcept;

  Effects Step(const Event& aEvent, Time aNow, WallTime aWallNow);

  // Refuses new requests from now on (graceful stop).
  void StopAdmission();
  // Requests that have arrived and not ended.
  [[nodiscard]] std::size_t Active() const;

  [[nodiscard]] std::vector<wire::TeamDemand> Demand() const;
  [[nodiscard]] const RequestCounters& Counters() const;
  // True when keyed work may be accepted.
  [[nodiscard]] bool IsViewFresh(Time aNow) const;
  // One plain sentence per line for `explain` about a team or an upstream as
  // this instance sees it.
  [[nodiscard]] std::vector<std::string> ExplainTeam(const TeamId& aTeam,
                                                     Time aNow) const;
  [[nodiscard]] std::vector<std::string> ExplainUpstream(
    const InstanceId& aUpstream,
    Time aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::request

#endif
