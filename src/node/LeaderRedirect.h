// Redirects calls with large bodies to the leader.
//
// Load pattern: a setup with thousands of queues takes seconds on the link of a
// small node. Forwarding it would take that time twice, once on each side, and
// the caller would give up before the reply arrives.
#ifndef hyssoppaddle_node_LeaderRedirect_h
#define hyssoppaddle_node_LeaderRedirect_h

#include "base/Id.h"
#include "node/Calls.h"

#include <optional>
#include <string>
#include <string_view>

namespace hyssoppaddle::node {

// Returns the redirect for a call with aTarget, or nothing when this node must
// handle it because it leads or knows no leader. All nodes use the same control
// port, so the host of the leader's peer address and the port of
// aOwnControlAddress name the leader's control listener.
std::optional<Reply>
RedirectToLeader(const InstanceId& aSelf,
                 const InstanceId& aLeader,
                 std::string_view aOwnControlAddress,
                 std::string_view aTarget);

} // namespace hyssoppaddle::node

#endif
