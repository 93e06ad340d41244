// Tests that an exception in a handler ends neither the event loop nor passes
// unseen.
#include "shell/HandlerErrors.h"
#include "support/TestTrace.h"

#include <stdexcept>

using namespace hyssoppaddle;
using namespace hyssoppaddle::shell;
using test::TestTrace;

namespace {

Awaitable<void>
ThrowAtOnce()
{
  throw std::runtime_error("malformed");
  co_return;
}

} // namespace

Test(HandlerErrors, OtherHandlersRunAfterAnException)
{
  TestTrace trace;
  asio::io_context io{ 1 };
  int handled = 0;
  int errors = 0;
  asio::post(io, [&] { ++handled; });
  asio::post(io, [] { throw std::runtime_error("malformed"); });
  asio::post(io, [] { throw 7; }); // NOLINT
  asio::post(io, [&] { ++handled; });
  RunGuarded(io, [&] { ++errors; });
  EXPECT_EQUAL(trace, handled, 2);
  EXPECT_EQUAL(trace, errors, 2);
}

Test(HandlerErrors, ACoroutineThatThrowsEndsAlone)
{
  TestTrace trace;
  asio::io_context io{ 1 };
  bool handled = false;
  asio::co_spawn(io, ThrowAtOnce(), DetachedWithLog("test"));
  asio::post(io, [&] { handled = true; });
  io.run();
  EXPECT_THAT(trace, handled);
}
