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

// A listener with a budget of descriptors. Requests for /held are answered by
// AnswerHeld, all others at once.
class BudgetedListener
{
public:
  explicit BudgetedListener(std::size_t aDescriptors)
    : descriptors(std::make_shared<DescriptorBudget>(aDescriptors))
    , deadlines(std::make_shared<shell::DeadlineQueue>(this->io))
  {
    shell::HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.descriptors = this->descriptors;
    options.owner = DescriptorOwner::Control;
    options.minIdleBeforeClose = Duration(0);
    this->server = std::make_shared<shell::HttpServer>(
      this->io,
      options,
      this->deadlines,
      std::make_shared<shell::Metrics>(),
      nullptr,
      [this](const api::HttpRequest& aRequest,
             const api::ReplyCallback& aReply) {
        if (aRequest.target == "/held") {
          this->held.push_back(aReply);
        } else {
          aReply({ 200, "text/plain", {}, "done" });
        }
      });
    if (!this->server->Start()) {
      std::abort();
    }
  }

  // Connects, sends a request and lets the listener handle it.
  std::unique_ptr<RawClient> Call(std::string_view aTarget)
  {
    auto caller = std::make_unique<RawClient>(this->server->Port());
    caller->Send("GET " + std::string(aTarget) +
                 " HTTP/1.1\r\nHost: a\r\n\r\n");
    this->Handle();
    return caller;
  }
  void Handle()
  {
    // Enough turns for all that has arrived; nothing else is posted.
    constexpr int kTurns = 50;
    for (int turn = 0; turn < kTurns; ++turn) {
      this->io.poll();
    }
  }
  void AnswerHeld()
  {
    for (const api::ReplyCallback& reply : std::exchange(this->held, {})) {
      reply({ 200, "text/plain", {}, "late" });
    }
    this->Handle();
  }
  [[nodiscard]] std::size_t InUse() const
  {
    return this->descriptors->InUse(DescriptorOwner::Control);
  }

private:
  asio::io_context io{ 1 };
  std::shared_ptr<DescriptorBudget> descriptors;
  std::shared_ptr<shell::DeadlineQueue> deadlines;
  std::vector<api::ReplyCallback> held;
  std::shared_ptr<shell::HttpServer> server;
};

} // namespace

// Guards against a listener that takes the descriptors of others, or that turns
// callers away while connections that nobody uses stay open.
Test(HttpServer, KeepsToItsBudgetOfDescriptors)
{
  TestTrace trace;
  // Of 16 descriptors 12 are given out, 6 of them kept for the other owners.
  constexpr std::size_t kRoom = 6;
  trace.Section("idle connections give way to new callers", [&] {
    BudgetedListener listener(16);
    std::vector<std::unique_ptr<RawClient>> callers;
    for (std::size_t i = 0; i < 3 * kRoom; ++i) {
      callers.push_back(listener.Call("/now"));
      EXPECT_THAT(trace, listener.InUse() <= kRoom);
      EXPECT_THAT(
        trace, callers.back()->ReadAnswer().find("done") != std::string::npos);
    }
    trace.Section("the one that was idle for longest is closed first",
                  [&] { EXPECT_EQUAL(trace, callers.front()->ReadAll(), ""); });
  });
  trace.Section("connections with an open request stay", [&] {
    BudgetedListener listener(16);
    std::vector<std::unique_ptr<RawClient>> callers;
    for (std::size_t i = 0; i < kRoom; ++i) {
      callers.push_back(listener.Call("/held"));
    }
    EXPECT_EQUAL(trace, listener.InUse(), kRoom);
    const auto refused = listener.Call("/now");
    trace.Section("the next caller is told at once that nothing ran", [&] {
      const std::string answer = refused->ReadAnswer();
      EXPECT_THAT(trace, answer.starts_with("HTTP/1.1 503 "));
      EXPECT_THAT(trace, answer.find("Retry-After") != std::string::npos);
      EXPECT_THAT(trace, answer.find("\"not_run\":true") != std::string::npos);
    });
    listener.AnswerHeld();
    for (const auto& caller : callers) {
      EXPECT_THAT(trace,
                  caller->ReadAnswer().find("late") != std::string::npos);
    }
  });
  trace.Section("closed connections give their descriptors back", [&] {
    BudgetedListener listener(16);
    for (std::size_t i = 0; i < 3 * kRoom; ++i) {
      const auto caller = listener.Call("/now");
    }
    listener.Handle();
    EXPECT_EQUAL(trace, listener.InUse(), 0U);
  });
}

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
