// The time that the sender of a forwarded call still waits for the reply. It
// travels as a named field of the call, which nodes of earlier versions ignore.
#ifndef hyssoppaddle_node_CallDeadline_h
#define hyssoppaddle_node_CallDeadline_h

#include "base/Time.h"
#include "wire/PeerMessage.h"

#include <optional>

namespace hyssoppaddle::node {

// Replaces an earlier value. Rounds down to milliseconds; negative counts as 0.
void
SetTimeLeft(wire::RemoteCall& aCall, Duration aTimeLeft);

// Empty when the sender does not say, or not readably.
[[nodiscard]] std::optional<Duration>
TimeLeft(const wire::RemoteCall& aCall);

} // namespace hyssoppaddle::node

#endif
