// Selects the upstream for an attempt: the least loaded of three random
// candidates, with preference for the own data centre. It also maintains the
// lists of upstreams that can take work, so that the cost of a selection does
// not depend on the fleet size.
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
    Upstream* upstream = nullptr; // null if none can take work
    std::vector<Candidate> candidates;
    std::string_view rule;
    double load = std::numeric_limits<double>::infinity(); // of upstream
  };

  struct Criteria
  {
    Time now;
    bool announcedHereOnly = false; // only upstreams announced to this instance
    // The request may probe an ejected upstream, because a failed probe costs
    // it only a retry. An upstream that awaits a probe has to be selected
    // explicitly: it would lose every comparison of load.
    bool mayProbe = false;
    InstanceId avoid; // failed before; chosen only if there is no other
  };
  Choice Pick(const ServiceGroup& aGroup, const Criteria& aCriteria);
  [[nodiscard]] static bool CanPick(const ServiceGroup& aGroup,
                                    bool aAnnouncedHereOnly);

  // The declared sizes or the data centre of the upstream changed.
  void OnAnnouncementChanged(Upstream& aUpstream) const;
  // Begins the slow start of an upstream that has been serving for aServedFor.
  static void BeginRamp(Upstream& aUpstream, Time aNow, Duration aServedFor);
  // Adds the upstream to the lists or removes it according to its state. Must
  // be called after every change of the upstream. aAnnouncedHere: it has a
  // valid announcement to this instance.
  static void Refresh(Upstream& aUpstream, bool aAnnouncedHere, Time aNow);
  // Removes the upstream from the lists of a group that it leaves.
  static void Unlist(Upstream& aUpstream, ServiceGroup& aGroup);

  // Number of requests that may currently run at the upstream, including the
  // limits of slow start and probing.
  [[nodiscard]] static std::uint32_t CurrentLimit(const Upstream& aUpstream,
                                                  Time aNow);

  // Above this load in the own data centre, upstreams in other data centres are
  // considered too: if the service has few upstreams in the own data centre,
  // these can be full while others are idle. The penalty accounts for the
  // longer network path.
  static constexpr double kSpilloverLoad = 0.5;
  static constexpr double kRemotePenalty = 1.25;
  // Failures increase the computed load only for this time, so that the
  // upstream is tried again and either recovers or is ejected.
  static constexpr Duration kFailurePenaltyTime = std::chrono::seconds(1);
  static constexpr Duration kSlowStartTime = std::chrono::seconds(10);
  static constexpr Duration kRampInterval = std::chrono::seconds(1);

private:
  using UpstreamList = std::vector<Upstream*>;
  // Samples the list. A candidate is chosen if its load times aPenalty is below
  // aChoice.load. Returns whether one was chosen.
  bool Sample(const UpstreamList& aList,
              const Criteria& aCriteria,
              double aPenalty,
              Choice& aChoice);

  DataCentreId own;
  Random random;
};

} // namespace hyssoppaddle::request

#endif
