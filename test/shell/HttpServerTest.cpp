// Tests how a listener accepts connections while the event loop is busy.
#include "shell/HttpServer.h"
#include "shell/RelayFixture.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

// A listener on an event loop that the test turns by hand. Each turn runs one
// handler that was posted in the turn before, as on a loop with other work.
class BusyListener
{
public:
  BusyListener()
    : deadlines(std::make_shared<shell::DeadlineQueue>(this->io))
    , metrics(std::make_shared<shell::Metrics>())
  {
    shell::HttpServerOptions options;
    options.address = "127.0.0.1:0";
    this->server = std::make_shared<shell::HttpServer>(
      this->io,
      options,
      this->deadlines,
      this->metrics,
      nullptr,
      [](const api::HttpRequest& /*aRequest*/,
         const api::ReplyCallback& aReply) {
        aReply({ 200, "text/plain", {}, "" });
      });
    if (!this->server->Start()) {
      std::abort();
    }
  }

  void Turn()
  {
    bool turned = false;
    asio::post(this->io, [&] { turned = true; });
    while (!turned) {
      this->io.poll_one();
    }
  }

  [[nodiscard]] std::uint16_t Port() const { return this->server->Port(); }
  [[nodiscard]] std::uint64_t Accepted() const
  {
    return this->metrics->Value(shell::Counter::ConnectionsAccepted);
  }

private:
  asio::io_context io{ 1 };
  std::shared_ptr<shell::DeadlineQueue> deadlines;
  std::shared_ptr<shell::Metrics> metrics;
  std::shared_ptr<shell::HttpServer> server;
};

} // namespace

// Guards against callers that time out in front of a busy listener although its
// event loop is never late by more than a turn.
Test(HttpServer, AcceptsAllWaitingCallersInFewTurns)
{
  TestTrace trace;
  BusyListener listener;
  constexpr std::size_t kCallers = 200;
  std::vector<std::unique_ptr<RawClient>> callers;
  trace.Section("callers connect while the loop does other work", [&] {
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<RawClient>(listener.Port()));
    }
    EXPECT_EQUAL(trace, listener.Accepted(), 0U);
    trace.Section("a few turns later all of them are accepted", [&] {
      for (int turn = 0; turn < 20; ++turn) {
        listener.Turn();
      }
      EXPECT_EQUAL(trace, listener.Accepted(), kCallers);
    });
  });
  trace.Section("a caller that comes later is accepted too", [&] {
    const RawClient late(listener.Port());
    for (int turn = 0; turn < 20; ++turn) {
      listener.Turn();
    }
    EXPECT_EQUAL(trace, listener.Accepted(), kCallers + 1);
  });
}
