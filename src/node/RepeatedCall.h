// Calls that are sent again after a leader has left them unanswered. That
// leader may have executed them.
#ifndef hyssoppaddle_node_RepeatedCall_h
#define hyssoppaddle_node_RepeatedCall_h

#include "node/Calls.h"
#include "wire/PeerMessage.h"

namespace hyssoppaddle::node {

// Tells the next leader with a named field of the call, which nodes of earlier
// versions ignore.
void
MarkRepeated(wire::RemoteCall& aCall);

[[nodiscard]] bool
IsRepeated(const wire::RemoteCall& aCall);

// What the caller of a repeated call is told. A refusal that only the current
// setup explains, such as a key that was withdrawn since, says nothing about
// the first attempt.
[[nodiscard]] Outcome
OutcomeOfRepeated(Outcome aOutcome);

} // namespace hyssoppaddle::node

#endif
