// Randomized simulation around one reducer, determined by a seed: callers,
// upstreams, the log and the leader act at random, and events can be delayed
// and reordered. The checker uses only the effects and the true state of the
// simulation, never the internal state of the reducer.
#ifndef hyssoppaddle_test_request_RequestSimulation_h
#define hyssoppaddle_test_request_RequestSimulation_h

#include "base/Random.h"
#include "request/Fleet.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::test {

class RequestSimulation
{
public:
  explicit RequestSimulation(std::uint64_t aSeed);

  // Performs a random action and checks its effects.
  void RunRandomAction();
  // Restores the connections and advances the time until all requests must have
  // ended.
  void Settle();

  // Description of the first violation; empty if there is none.
  [[nodiscard]] const std::string& Violation() const { return this->violation; }
  [[nodiscard]] std::uint64_t Attempts() const { return this->attempts; }

private:
  struct Attempt
  {
    StartAttempt start;
    TeamId team;
    std::string boot;
    AttemptPhase phase = AttemptPhase::Connecting; // actual, may be unreported
    bool endReported = false;                      // no further events follow
    bool running = true; // at the upstream; counts against the permits
    Time runsUntil;      // latest possible end at the upstream
    bool statedNotRun = false;
  };

  struct Caller
  {
    RequestArrived arrival;
    bool ended = false;
    std::vector<Attempt> attempts;
  };

  struct DelayedEvent
  {
    Time at;
    Event event;
  };

  void Arrive();
  void AdvanceAttempt();
  void DisconnectCaller();
  void DecideClaim();
  void ChangeUpstream();
  void ChangeKeysAndPermits();
  void Renew();
  void ApplyDelayedCommand();
  void AdvanceClock();
  void DeliverDelayed();

  void Send(const Event& aEvent);
  void SendDelayed(const Event& aEvent);
  void Check(const Effects& aEffects);
  void CheckStart(const StartAttempt& aStart);
  void CheckAtMostOnce(const Caller& aCaller);
  void CheckLeases(const StartAttempt& aStart, const Caller& aCaller);
  void CheckRunning();
  void CheckEnd(RequestNumber aRequest, bool aNotRun);
  void EndAtUpstream(Attempt& aAttempt);
  void ReportViolation(const std::string& aText);
  Attempt* PickAttempt();
  bool Chance(std::uint64_t aPercent);

  FleetOptions options;
  Fleet fleet;
  Random random;
  std::map<RequestNumber, Caller> callers;
  std::vector<std::pair<RequestNumber, std::size_t>> open; // attempts
  std::vector<ClaimNeeded> claims;
  std::deque<state::CommandBody> commands; // not yet applied to the log
  std::vector<DelayedEvent> delayed;
  std::map<InstanceId, state::Announcement> latest;
  std::map<InstanceId, Time> announcedAt;
  std::map<std::string, RequestNumber>
    ranOnce; // last request that ran, by idempotency key
  Time renewedAt;
  std::string violation;
  std::uint64_t attempts = 0;
};

} // namespace hyssoppaddle::test

#endif
