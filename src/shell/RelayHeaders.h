// Reads the caller's request header and builds the headers that the relay sends
// to the upstream and to the caller.
#ifndef hyssoppaddle_shell_RelayHeaders_h
#define hyssoppaddle_shell_RelayHeaders_h

#include "request/Events.h"
#include "shell/CallerLink.h"
#include "shell/Problems.h"

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace hyssoppaddle::shell {

using KeyDigestFunction = std::function<std::string(std::string_view)>;

struct RelayHead
{
  request::RequestArrived arrived; // the request number is not set
  std::string target;              // "/rest?query" at the upstream
};

// True for targets under /services/.
bool
IsRelayTarget(std::string_view aTarget);

tl::expected<RelayHead, ProblemDetail>
ReadRelayHead(const RequestParser& aParser,
              std::uint32_t aReplayBytes,
              const KeyDigestFunction& aKeyDigest);

// Header of the request to the upstream, up to and including the empty line.
// Hop-by-hop fields, Authorization and Expect are left out; Via,
// X-Forwarded-For and Hyssoppaddle-Deadline-Ms are set.
std::string
UpstreamHeader(const RequestParser& aParser,
               const RelayHead& aHead,
               std::string_view aRemoteAddress,
               Duration aTimeLeft);

// False for an answer that is delimited only by the end of the connection. A
// truncated answer could not be distinguished from a complete one.
bool
HasSelfDefinedLength(const AnswerParser& aParser);

// Header of the answer to the caller, up to and including the empty line.
// Hop-by-hop fields are left out; Via is set.
std::string
CallerHeader(const AnswerParser& aParser, bool aKeepAlive);

} // namespace hyssoppaddle::shell

#endif
