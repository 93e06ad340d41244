// A request that has arrived and not yet ended.
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
  Claiming, // holds both; its claim is being decided by the log
  Running,  // an attempt is in progress
  Delayed,  // waits for the retry delay; holds no resources
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
  AttemptNumber attempt = 0; // number of the last started attempt
  AttemptPhase phase = AttemptPhase::Connecting;
  Time startedAt;               // start of the attempt
  Upstream* upstream = nullptr; // set while Claiming or Running
  std::string upstreamBoot;
  Duration charged{ 0 }; // cost charged by the fair queue for this attempt
  InstanceId avoid;      // upstream at which the last attempt failed
  // An attempt may have run the request. Never reset.
  bool mayHaveRun = false;
  bool claimed = false;
  // The permit of the attempt was moved to a hold, see Engine::HoldPermit.
  bool permitHeld = false;

  [[nodiscard]] bool HasKey() const { return this->arrival.key.has_value(); }
  [[nodiscard]] bool NeedsClaim() const
  {
    return !this->arrival.idempotent && !this->arrival.idempotencyKey.empty() &&
           !this->claimed;
  }
};

} // namespace hyssoppaddle::request

#endif
