// A command on its way to the log, with where its outcome has to go.
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
  Peer,         // ForwardRequest of another entry instance
  Planner,      // proposed by this leader's planner
  Claim,        // ClaimNeeded of the request path
  Announcement, // UpdateUpstream whose announcement waits for its answer
  Internal,     // nobody waits, retried until decided
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
  // True once an earlier try may have reached a log: giving up then leaves the
  // outcome unknown.
  bool mayBeLogged = false;
};

// True when a second copy of the command changes nothing, so that it may be
// resent after a lost answer.
bool
IsSafeToResend(const state::Command& aCommand);

} // namespace hyssoppaddle::core

#endif
