// Keeps an exception in one handler from ending the process or from passing
// unseen. Errors are values in this code base, so an exception is a fault of
// the program or a lack of memory; it ends the call or connection that met it.
#ifndef hyssoppaddle_shell_HandlerErrors_h
#define hyssoppaddle_shell_HandlerErrors_h

#include "shell/Asio.h"

#include <exception>
#include <functional>
#include <string_view>

namespace hyssoppaddle::shell {

// Logs the error, if there is one. Call it in a catch block with
// std::current_exception().
void
LogHandlerError(std::string_view aPart, const std::exception_ptr& aError);

// Completion token for coroutines that nobody waits for.
inline auto
DetachedWithLog(std::string_view aPart)
{
  return [aPart](const std::exception_ptr& aError) {
    LogHandlerError(aPart, aError);
  };
}

// Runs aIo until it is stopped or out of work. After an exception in a handler,
// aOnError is called and the other handlers run on.
void
RunGuarded(asio::io_context& aIo, const std::function<void()>& aOnError);

} // namespace hyssoppaddle::shell

#endif
