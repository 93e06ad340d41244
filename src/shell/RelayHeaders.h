// What the relay reads from a caller's header and what it passes on in both
// directions.
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
  request::RequestArrived arrived; // without its number
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

// False for an answer that only the end of the connection delimits: a cut one
// could not be told from a whole one.
bool
HasKnownEnd(const AnswerParser& aParser);

// Header of the answer to the caller, likewise.
std::string
CallerHeader(const AnswerParser& aParser, bool aKeep);

} // namespace hyssoppaddle::shell

#endif
