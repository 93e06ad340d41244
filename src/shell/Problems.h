// Problem details (RFC 9457) for requests that the shell refuses.
#ifndef hyssoppaddle_shell_Problems_h
#define hyssoppaddle_shell_Problems_h

#include "api/ControlHandler.h"
#include "request/Events.h"

#include <optional>
#include <string>
#include <string_view>

namespace hyssoppaddle::shell {

struct ProblemDetail
{
  std::uint32_t status = 500;
  std::string_view code; // stable, snake case
  bool notRun = true;
  std::string detail;
  std::optional<Duration> retryAfter;
};

// Stable code of a refusal. Also used as the label of the refusal metric.
std::string_view
CodeOf(request::Problem aProblem);

ProblemDetail
DescribeRefusal(const request::Refuse& aRefuse);

// Sets Retry-After, if given, in whole seconds, rounded up, at least 1.
api::HttpReply
ProblemReply(const ProblemDetail& aProblem);

} // namespace hyssoppaddle::shell

#endif
