// Life cycle of relayed requests on one entry instance, from the request header
// to the last byte of the response: admission, permits, claims, routing and
// retries.
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
  // Time after the last renewal for which requests with a key are accepted.
  Duration keyLease = std::chrono::seconds(4);
  // Time after the last renewal for which any request is accepted.
  Duration permitLease = std::chrono::seconds(20);
  // Time after the last renewal for which upstreams are used that did not
  // announce themselves to this instance.
  Duration directoryLease = std::chrono::seconds(2);
  // Time for which an announcement to this instance is valid.
  Duration announcementLifetime = std::chrono::seconds(2);
  Duration maxDeadline = std::chrono::seconds(60);
  Duration claimRetention{ 24LL * 3600 * 1000000 };
  // If false, the concurrency limit of every upstream is its declared number.
  // Serves as a baseline in measurements.
  bool adaptiveConcurrency = true;
};

// Counters for /metrics and tests.
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
  // aView is read at every step and must outlive this object.
  RequestReducer(RequestOptions aOptions, const state::FleetState& aView);
  ~RequestReducer();
  RequestReducer(RequestReducer&&) noexcept;
  RequestReducer& operator=(RequestReducer&&) noexcept;

  Effects Step(const Event& aEvent, Time aNow, WallTime aWallNow);

  // Starts the graceful stop: new requests are refused from now on.
  void StopAdmission();
  // Number of requests that have arrived and not yet ended.
  [[nodiscard]] std::size_t Active() const;

  [[nodiscard]] std::vector<wire::TeamDemand> Demand() const;
  [[nodiscard]] const RequestCounters& Counters() const;
  // Returns whether requests with a key may be accepted.
  [[nodiscard]] bool IsViewFresh(Time aNow) const;
  // Text for `explain` about a team or an upstream from the view of this
  // instance, one sentence per line.
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
