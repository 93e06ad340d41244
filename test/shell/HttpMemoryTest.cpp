// Tests the limits of a listener for what clients send and do not read.
#include "shell/HttpServer.h"
#include "shell/RelayFixture.h"
#include "support/TestTrace.h"

#include <future>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

constexpr std::size_t kLongBody = 4UL * 1024 * 1024;
constexpr Duration kNever = std::chrono::hours(1);

// A listener on its own thread. The budget has its smallest size: one address
// gets one long body at a time.
class LimitedListener
{
public:
  explicit LimitedListener(shell::HttpServerOptions aOptions = {})
    : budget(std::make_shared<MemoryBudget>(0))
    , deadlines(std::make_shared<shell::DeadlineQueue>(this->io))
  {
    aOptions.address = "127.0.0.1:0";
    aOptions.memory = this->budget;
    this->server = std::make_shared<shell::HttpServer>(
      this->io,
      aOptions,
      this->deadlines,
      std::make_shared<shell::Metrics>(),
      nullptr,
      [](const api::HttpRequest& aRequest, const api::ReplyCallback& aReply) {
        const std::size_t bytes = aRequest.target == "/long" ? kLongBody : 0;
        const std::string received = std::to_string(aRequest.body.size());
        aReply({ 200, "text/plain", {}, received + std::string(bytes, 'x') });
      });
    if (!this->server->Start()) {
      std::abort();
    }
    this->thread = std::thread([this] { this->io.run(); });
  }
  ~LimitedListener()
  {
    this->io.stop();
    this->thread.join();
  }
  LimitedListener(const LimitedListener&) = delete;
  LimitedListener& operator=(const LimitedListener&) = delete;

  // Connects and sends a header, and the first bytes of a body of aLength.
  std::unique_ptr<RawClient> Post(std::size_t aLength, std::size_t aSent)
  {
    return this->Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(aLength) + "\r\n\r\n" +
                      std::string(aSent, 'x'));
  }
  std::unique_ptr<RawClient> Send(const std::string& aText)
  {
    auto client = std::make_unique<RawClient>(this->server->Port());
    client->Send(aText);
    return client;
  }
  // Blocks until aBytes of the budget are in use.
  void AwaitInUse(std::size_t aBytes)
  {
    std::size_t bytes = ~aBytes;
    while (bytes != aBytes) {
      std::promise<std::size_t> read;
      asio::post(this->io, [&] {
        read.set_value(this->budget->InUse(MemoryOwner::Callers));
      });
      bytes = read.get_future().get();
    }
  }

private:
  asio::io_context io{ 1 };
  std::shared_ptr<MemoryBudget> budget;
  std::shared_ptr<shell::DeadlineQueue> deadlines;
  std::shared_ptr<shell::HttpServer> server;
  std::thread thread;
};

std::string
WithFields(std::size_t aCount)
{
  std::string text = "GET / HTTP/1.1\r\nHost: a\r\n";
  for (std::size_t i = 1; i < aCount; ++i) {
    text += "a:b\r\n";
  }
  return text + "\r\n";
}

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against many legal bodies that together exceed the memory.
Test(HttpMemory, RefusesABodyThatTheBudgetDoesNotCover)
{
  TestTrace trace;
  shell::HttpServerOptions options;
  options.minStallBeforeClose = kNever;
  LimitedListener listener(options);
  const auto first = listener.Post(kLongBody, kLongBody - 1);
  listener.AwaitInUse(kLongBody);
  trace.Section("the next long body is refused before it is sent", [&] {
    const auto second = listener.Post(kLongBody, 0);
    const std::string answer = second->ReadAnswer();
    EXPECT_THAT(trace, answer.starts_with("HTTP/1.1 503 "));
    EXPECT_THAT(trace, Contains(answer, "Retry-After"));
    EXPECT_THAT(trace, Contains(answer, "\"not_run\":true"));
    EXPECT_THAT(trace, Contains(answer, "memory_exhausted"));
  });
  trace.Section("a short one is served", [&] {
    EXPECT_THAT(trace,
                Contains(listener.Post(9, 9)->ReadAnswer(), "\r\n\r\n9"));
  });
  trace.Section("the first one is served once it is complete", [&] {
    first->Send("x");
    EXPECT_THAT(
      trace,
      Contains(first->ReadAnswer(), "\r\n\r\n" + std::to_string(kLongBody)));
    listener.AwaitInUse(0);
  });
  trace.Section("a chunked body counts as it grows", [&] {
    const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto chunked =
      listener.Send(head + "400000\r\n" + std::string(kLongBody, 'x') + "\r\n");
    listener.AwaitInUse(kLongBody + 16UL * 1024);
    EXPECT_THAT(
      trace,
      Contains(listener.Post(kLongBody, 0)->ReadAnswer(), "memory_exhausted"));
    chunked->Send("0\r\n\r\n");
    EXPECT_THAT(
      trace,
      Contains(chunked->ReadAnswer(), "\r\n\r\n" + std::to_string(kLongBody)));
  });
}

// Guards against clients that stop in the middle of a body and keep its memory.
Test(HttpMemory, ClosesTheSlowestConnectionForAnotherRequest)
{
  TestTrace trace;
  shell::HttpServerOptions options;
  options.minStallBeforeClose = Duration(0);
  LimitedListener listener(options);
  const auto stalled = listener.Post(kLongBody, kLongBody / 2);
  listener.AwaitInUse(kLongBody);
  const auto next = listener.Post(kLongBody, kLongBody);
  EXPECT_THAT(
    trace,
    Contains(next->ReadAnswer(), "\r\n\r\n" + std::to_string(kLongBody)));
  EXPECT_EQUAL(trace, stalled->ReadAll(), "");
  listener.AwaitInUse(0);
}

// Guards against probes whose bodies are read although nobody needs them.
Test(HttpMemory, AnswersWithoutABodyThatTheHandlerIgnores)
{
  TestTrace trace;
  shell::HttpServerOptions options;
  options.ignoresBodies = true;
  LimitedListener listener(options);
  const auto client = listener.Post(kLongBody, 1000);
  EXPECT_THAT(trace, Contains(client->ReadAnswer(), "\r\n\r\n0"));
  listener.AwaitInUse(0);
}

// Guards against a short header that takes many times its size once parsed.
Test(HttpMemory, LimitsTheFieldsOfAHeader)
{
  TestTrace trace;
  LimitedListener listener;
  EXPECT_THAT(trace,
              Contains(listener.Send(WithFields(128))->ReadAnswer(), " 200 "));
  const std::string answer = listener.Send(WithFields(129))->ReadAnswer();
  EXPECT_THAT(trace, answer.starts_with("HTTP/1.1 431 "));
  trace.Section("also in a header without an end", [&] {
    std::string text = WithFields(2000);
    text.resize(text.size() - 2);
    EXPECT_THAT(trace, Contains(listener.Send(text)->ReadAnswer(), " 431 "));
  });
}

// Guards against clients that neither go on nor close their connections.
Test(HttpMemory, EndsConnectionsWithoutProgress)
{
  TestTrace trace;
  shell::HttpServerOptions options;
  options.progressTimeout = std::chrono::milliseconds(50);
  std::promise<std::string> cause; // of the second refusal
  int refusals = 0;
  options.onRefusal = [&](std::string_view aCause, std::string_view) {
    if (++refusals == 2) {
      cause.set_value(std::string(aCause));
    }
  };
  LimitedListener listener(options);
  trace.Section("in a body", [&] {
    const std::string answer = listener.Post(kLongBody, 1000)->ReadAll();
    EXPECT_THAT(trace, answer.starts_with("HTTP/1.1 408 "));
    EXPECT_THAT(trace, Contains(answer, "\"not_run\":true"));
  });
  trace.Section("in answers that are not read", [&] {
    // More of them than the buffers of the two sockets take.
    std::string requests;
    for (int i = 0; i < 40; ++i) {
      requests += "GET /long HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    const auto reader = listener.Send(requests);
    EXPECT_EQUAL(trace, cause.get_future().get(), "answer_timeout");
    EXPECT_THAT(trace, reader->ReadAll().size() < 40 * kLongBody);
  });
  listener.AwaitInUse(0);
}
