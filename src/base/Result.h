// Typed errors and the result type of operations that can fail.
#ifndef hyssoppaddle_base_Result_h
#define hyssoppaddle_base_Result_h

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace hyssoppaddle {

enum class ErrorCode
{
  InvalidArgument,
  NotFound,
  Conflict,
  Unauthorized,
  Forbidden,
  TooLarge,
  Malformed,
  Unavailable,
  IoFailure,
  // Refused as a whole for lack of space, memory or descriptors. May succeed
  // later.
  OutOfResources,
  Corrupt,
};

// Stable lower-case name of a code, used in logs and problem details.
std::string_view
ToString(ErrorCode aCode);

struct Error
{
  ErrorCode code = ErrorCode::InvalidArgument;
  std::string message;

  bool operator==(const Error&) const = default;
};

template<typename T>
using Result = tl::expected<T, Error>;

// Builds the failed side of a Result.
tl::unexpected<Error>
Fail(ErrorCode aCode, std::string aMessage);

} // namespace hyssoppaddle

#endif
