// Chooses the upstream of an attempt: the least loaded of three sampled
// candidates, own data centre first. It also keeps the lists of upstreams that
// can take work, so that a choice costs the same for any fleet size.
#ifndef hyssoppaddle_request_Router_h
#define hyssoppaddle_request_Router_h

#include "base/Random.h"
#include "request/Events.h"
#include "request/Upstream.h"

#include <cstdint>
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
  };

  // aHeardOnly: consider only upstreams heard here. aAvoid was tried before and
  // is chosen only when there is no other. aMayProbe: a failed probe costs the
  // request nothing but a retry, so that it may be the one that probes. Without
  // this, an upstream that waits for its probe loses every comparison of load.
  Choice Pick(const ServiceGroup& aGroup,
              bool aHeardOnly,
              bool aMayProbe,
              const InstanceId& aAvoid);
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

  static constexpr Duration kSlowStart{ 10000000 };
  static constexpr Duration kRampStep{ 1000000 };

private:
  using List = std::vector<Upstream*>;
  void Sample(const List& aList, const InstanceId& aAvoid, Choice& aChoice);
  static void Consider(Upstream& aUpstream, Choice& aChoice, double& aLeast);

  DataCentreId own;
  Random random;
};

} // namespace hyssoppaddle::request

#endif
