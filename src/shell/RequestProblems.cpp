// Maps errors of the parser and of the memory budget.
#include "shell/RequestProblems.h"

namespace hyssoppaddle::shell {

ErrorValue
MemoryError()
{
  return make_error_code(boost::system::errc::not_enough_memory);
}

ProblemDetail
RequestProblem(const ErrorValue& aError)
{
  if (aError == MemoryError()) {
    return { 503,
             "memory_exhausted",
             true,
             "no memory is left for the request",
             Duration(std::chrono::seconds(1)) };
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return { 431, "header_too_large", true, "the header is too large", {} };
  }
  if (aError == http::error::body_limit) {
    return { 413, "body_too_large", true, "the body is over the limit", {} };
  }
  return { 400, "bad_request", true, aError.message(), {} };
}

ProblemDetail
HeaderProblem(const ErrorValue& aError, bool aTimedOut)
{
  if (aTimedOut) {
    return { 408, "header_timeout", true, "the header took too long", {} };
  }
  return RequestProblem(aError);
}

ProblemDetail
BodyProblem(const ErrorValue& aError, bool aTimedOut)
{
  if (aTimedOut) {
    return { 408, "body_timeout", true, "the body took too long", {} };
  }
  return RequestProblem(aError);
}

} // namespace hyssoppaddle::shell
