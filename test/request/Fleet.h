// Fixture for tests of the request path: a replicated state to which commands
// are applied and one reducer that follows it, in virtual time.
#ifndef hyssoppaddle_test_request_Fleet_h
#define hyssoppaddle_test_request_Fleet_h

#include "request/RequestReducer.h"
#include "state/FleetState.h"
#include "support/TestTrace.h"

#include <string>
#include <vector>

namespace hyssoppaddle::test {

using namespace request;

constexpr Duration
Seconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

// Returns the effects of type T, in order.
template<typename T>
std::vector<T>
EffectsOf(const Effects& aEffects)
{
  std::vector<T> found;
  for (const Effect& effect : aEffects) {
    if (const T* match = std::get_if<T>(&effect)) {
      found.push_back(*match);
    }
  }
  return found;
}

// Returns the first effect of type T; fails the test if there is none.
template<typename T>
T
FirstEffect(const Effects& aEffects)
{
  const std::vector<T> found = EffectsOf<T>(aEffects);
  cr_assert(!found.empty(), "expected an effect of the given type, found none");
  return found.front();
}

struct FleetOptions
{
  std::uint32_t upstreams = 9;
  std::uint32_t slots = 8;
  std::uint32_t limit = 100;  // of each team
  std::uint32_t permits = 20; // per team, granted to the entry instance
  std::uint32_t queueLimit = 1000;
  std::uint64_t seed = 1;
};

// Services: `quotes` (preview), `ledger` (print) and `board` (open, print,
// charged to team-c). Teams: team-a, team-b and team-c with shares 1, 2 and 1.
// The upstreams u<n> serve quotes unless stated otherwise.
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions = {});

  // Applies a command to the replicated state and notifies the reducer.
  state::Outcome Apply(state::CommandBody aBody);
  Effects Step(Event aEvent);
  void AdvanceTime(Duration aTime);
  // Advances the time in steps. After each step there is a tick and, while
  // connected, a renewal.
  Effects AdvanceWithTicks(Duration aTime, Duration aStep);

  Effects Renew(std::vector<std::pair<TeamId, std::uint32_t>> aRecalls = {});
  // Creates the next announcement of an upstream.
  state::Announcement Announcement(std::uint32_t aNumber,
                                   const std::string& aService = "quotes");
  Effects Announce(const state::Announcement& aAnnouncement);
  void Serve(std::uint32_t aNumber, const std::string& aService = "quotes");

  // Creates a request with the key of the team.
  RequestArrived Request(const std::string& aTeam,
                         const std::string& aService = "quotes");
  // Creates a non-idempotent request with an idempotency key.
  RequestArrived NonIdempotentRequest(const std::string& aTeam,
                                      const std::string& aKey);
  // Applies the claim to the replicated state and reports the decision.
  Effects Decide(const ClaimNeeded& aClaim);
  Effects Finish(const StartAttempt& aStart,
                 Duration aLatency = Seconds(0.01),
                 std::uint32_t aStatus = 200);
  Effects Fail(const StartAttempt& aStart, AttemptPhase aPhase);
  void Grant(const std::string& aTeam, std::uint32_t aCount);
  state::Bundle BundleOf(std::uint64_t aVersion) const;
  void AcceptBundle(const state::Bundle& aBundle);

  FleetOptions options;
  Time now{ Seconds(1000) };
  WallTime wall{ Seconds(1700000000) };
  state::FleetState state;
  RequestReducer reducer;
  Effects viewEffects; // effects of the steps made by Apply
  bool connected = true;
  RequestNumber nextRequest = 1;
  std::uint64_t nextSequence = 1;
};

inline RequestOptions
ReducerOptions(std::uint64_t aSeed, const std::string& aBoot = "boot-1")
{
  RequestOptions options;
  options.self = InstanceId("entry-1");
  options.dataCentre = DataCentreId("dc-0");
  options.boot = aBoot;
  options.seed = aSeed;
  return options;
}

inline std::string
DigestOf(const std::string& aTeam)
{
  return (aTeam + std::string(32, 'x')).substr(0, 32);
}

} // namespace hyssoppaddle::test

#endif
