// A command that is being submitted to the replicated log, with the recipient
// of its outcome.
#ifndef hyssoppaddle_core_Submission_h
#define hyssoppaddle_core_Submission_h

#include "base/Id.h"
#include "base/Time.h"
#include "request/Events.h"
#include "state/Commands.h"

#include <cstdint>

namespace hyssoppaddle::core {

enum class OriginKind : std::uint8_t
{
  Http,         // CommandReceived
  Peer,         // ForwardRequest from another entry instance
  Planner,      // proposed by this leader's planner
  Claim,        // ClaimNeeded of the request path
  Announcement, // UpdateUpstream whose announcement awaits its answer
  Internal,     // has no recipient, retried until decided
};

struct Origin
{
  OriginKind kind = OriginKind::Internal;
  // Of the HTTP exchange or of the peer's ForwardRequest.
  std::uint64_t token = 0;
  InstanceId peer;
  request::RequestNumber request = 0;
};

struct Submission
{
  Origin origin;
  state::Command command;
  Time deadline;
  // True once an earlier attempt may have reached the log of a leader.
  // Abandoning the submission then leaves its outcome unknown.
  bool mayBeLogged = false;
};

// True when the command is idempotent, so that it may be resent after its reply
// was lost.
bool
IsSafeToResend(const state::Command& aCommand);

} // namespace hyssoppaddle::core

#endif
