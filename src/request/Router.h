// Chooses the upstream of an attempt: the least loaded of three sampled
// candidates, own data centre first. It also keeps the lists of upstreams that
// can take work, so that a choice costs the same for any fleet size.
#ifndef hyssoppaddle_request_Router_h
#define hyssoppaddle_request_Router_h

#include "base/Random.h"
#include "request/Events.h"
#include "request/Upstream.h"

#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

namespace hyssoppaddle::request {

class Router
{
public:
  Router(DataCentreId aOwn, std::uint64_t aSeed);

  struct Choice
  {
    Upstream* upstream = nullptr; // null: none can take work
    std::vector<Candidate> candidates;
    std::string_view rule;
    double load = std::numeric_limits<double>::infinity(); // of upstream
  };

  struct Wish
  {
    Time now;
    bool heardOnly = false; // only upstreams heard here
    // A failed probe costs the request nothing but a retry, so that it may be
    // the one that probes. Without this, an upstream that waits for its probe
    // loses every comparison of load.
    bool mayProbe = false;
    InstanceId avoid; // tried before; chosen only when there is no other
  };
  Choice Pick(const ServiceGroup& aGroup, const Wish& aWish);
  [[nodiscard]] static bool CanPick(const ServiceGroup& aGroup,
                                    bool aHeardOnly);

  // Declared sizes or the data centre changed.
  void OnFactsChanged(Upstream& aUpstream) const;
  // Starts the slow start of an upstream that has served for aServedFor.
  static void BeginRamp(Upstream& aUpstream, Time aNow, Duration aServedFor);
  // Lists the upstream or removes it from the lists. aHeard: heard here within
  // the bound. Call it after every change of the upstream.
  static void Refresh(Upstream& aUpstream, bool aHeard, Time aNow);
  // Removes the upstream from the lists of a group that it leaves.
  static void Unlist(Upstream& aUpstream, ServiceGroup& aGroup);

  // Requests that may run at the upstream at once, with slow start and probes.
  [[nodiscard]] static std::uint32_t LimitNow(const Upstream& aUpstream,
                                              Time aNow);

  // Above this load in the own data centre, others are compared too: with few
  // upstreams of a service there, the own data centre can be full while others
  // are idle. The penalty stands for the longer way.
  static constexpr double kSpillLoad = 0.5;
  static constexpr double kRemotePenalty = 1.25;
  // Failures weigh on the load only for this time, so that the upstream is
  // tried again and either recovers or is ejected.
  static constexpr Duration kFailureWeighs{ 1000000 };
  static constexpr Duration kSlowStart{ 10000000 };
  static constexpr Duration kRampStep{ 1000000 };

private:
  using List = std::vector<Upstream*>;
  // Samples the list; a candidate must be below aChoice.load after it is
  // multiplied by aPenalty. Returns whether one was chosen.
  bool Sample(const List& aList,
              const Wish& aWish,
              double aPenalty,
              Choice& aChoice);

  DataCentreId own;
  Random random;
};

} // namespace hyssoppaddle::request

#endif
