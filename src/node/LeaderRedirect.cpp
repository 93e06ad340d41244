// Builds the URL of a resource on the leader.
#include "node/LeaderRedirect.h"

namespace hyssoppaddle::node {

std::optional<Reply>
RedirectToLeader(const InstanceId& aSelf,
                 const InstanceId& aLeader,
                 std::string_view aOwnControlAddress,
                 std::string_view aTarget)
{
  const std::size_t hostEnd = aLeader.value.rfind(':');
  const std::size_t portStart = aOwnControlAddress.rfind(':');
  if (aLeader == aSelf || hostEnd == std::string::npos ||
      portStart == std::string_view::npos) {
    return std::nullopt;
  }
  Reply reply;
  reply.outcome = Outcome::Redirected;
  reply.location = "http://" + aLeader.value.substr(0, hostEnd);
  reply.location += aOwnControlAddress.substr(portStart);
  reply.location += aTarget;
  return reply;
}

} // namespace hyssoppaddle::node
