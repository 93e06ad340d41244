// Text names of the error codes, and construction of failed results.
#include "base/Result.h"

#include <utility>

namespace hyssoppaddle {

std::string_view
ToString(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidArgument:
      return "invalid_argument";
    case ErrorCode::NotFound:
      return "not_found";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::Unauthorized:
      return "unauthorized";
    case ErrorCode::Forbidden:
      return "forbidden";
    case ErrorCode::TooLarge:
      return "too_large";
    case ErrorCode::Malformed:
      return "malformed";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::IoFailure:
      return "io_failure";
    case ErrorCode::OutOfResources:
      return "out_of_resources";
    case ErrorCode::Corrupt:
      return "corrupt";
  }
  return "unknown";
}

tl::unexpected<Error>
Fail(ErrorCode aCode, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aMessage) });
}

} // namespace hyssoppaddle
