// Logs what a handler has thrown.
#include "shell/HandlerErrors.h"

#include "shell/JsonLog.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hyssoppaddle::shell {

namespace {

std::string
TextOf(const std::exception_ptr& aError)
{
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "not a standard exception";
  }
}

} // namespace

void
LogHandlerError(std::string_view aPart, const std::exception_ptr& aError)
{
  if (aError) {
    Log(LogLevel::Error,
        "handler_failed",
        { { "part", aPart }, { "reason", TextOf(aError) } });
  }
}

void
RunGuarded(asio::io_context& aIo, const std::function<void()>& aOnError)
{
  for (;;) {
    try {
      aIo.run();
      return;
    } catch (...) {
      LogHandlerError("event loop", std::current_exception());
      aOnError();
    }
  }
}

} // namespace hyssoppaddle::shell
