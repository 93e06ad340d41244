// One request that has arrived and not ended.
#ifndef hyssoppaddle_request_Request_h
#define hyssoppaddle_request_Request_h

#include "request/Events.h"
#include "request/Timers.h"
#include "request/Upstream.h"

#include <optional>
#include <string>

namespace hyssoppaddle::request {

enum class Stage : std::uint8_t
{
  Queued,   // waits for a permit and an upstream
  Claiming, // holds both; the log decides about the claim
  Running,  // an attempt is under way
  Delayed,  // waits for the time of a retry; holds nothing
};

struct Request
{
  RequestArrived arrival;
  TeamId team;
  state::WorkClass workClass = state::WorkClass::Print;
  Time deadline;
  Timers::Handle deadlineTimer;
  std::optional<Timers::Handle> retryTimer;

  Stage stage = Stage::Queued;
  AttemptNumber attempt = 0; // the last one started
  AttemptPhase phase = AttemptPhase::Connecting;
  Time startedAt;               // of the attempt
  Upstream* upstream = nullptr; // while Claiming or Running
  std::string upstreamBoot;
  Duration charged{ 0 }; // by the fair queue for this attempt
  InstanceId avoid;      // where the last attempt failed
  // An earlier attempt may have run. Never reset.
  bool mayHaveRun = false;
  bool claimed = false;
  // The attempt's permit has moved to a hold, see Engine::HoldPermit.
  bool permitHeld = false;

  [[nodiscard]] bool Keyed() const { return this->arrival.key.has_value(); }
  [[nodiscard]] bool NeedsClaim() const
  {
    return !this->arrival.idempotent && !this->arrival.idempotencyKey.empty() &&
           !this->claimed;
  }
};

} // namespace hyssoppaddle::request

#endif
