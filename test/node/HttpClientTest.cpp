// Tests that the client of the upstreams keeps to its budget of descriptors.
#include "node/HttpClient.h"

#include "base/DescriptorBudget.h"
#include "shell/HttpServer.h"
#include "support/TestTrace.h"

#include <algorithm>
#include <stdexcept>

using namespace hyssoppaddle;
using namespace hyssoppaddle::shell;
using node::Delivery;
using node::HttpClient;
using node::OutboundRequest;
using node::OutboundResult;
using test::TestTrace;

namespace {

// Of 16 descriptors 12 are given out, 4 of them kept for the other owners.
constexpr std::size_t kDescriptors = 16;
constexpr std::size_t kRoom = 8;

// A client and upstreams with many addresses, which answer at once or never.
class ClientFixture
{
public:
  explicit ClientFixture(bool aUpstreamsAnswer)
    : budget(std::make_shared<DescriptorBudget>(kDescriptors))
    , deadlines(std::make_shared<DeadlineQueue>(this->io))
    , client(
        std::make_shared<HttpClient>(this->io, this->deadlines, this->budget))
  {
    HttpServerOptions options;
    options.address = "0.0.0.0:0";
    this->server = std::make_shared<HttpServer>(
      this->io,
      options,
      this->deadlines,
      std::make_shared<Metrics>(),
      nullptr,
      [this, aUpstreamsAnswer](const api::HttpRequest& /*aRequest*/,
                               const api::ReplyCallback& aReply) {
        ++this->received;
        if (aUpstreamsAnswer) {
          aReply({ 200, "text/plain", {}, "" });
        } else {
          this->held.push_back(aReply);
        }
      });
    if (!this->server->Start()) {
      std::abort();
    }
  }

  // Sends a request to the upstream with the number aUpstream.
  void Send(std::size_t aUpstream, Duration aTimeLimit)
  {
    OutboundRequest request;
    request.address = "127.0.0." + std::to_string(aUpstream + 1) + ":" +
                      std::to_string(this->server->Port());
    request.method = "POST";
    request.target = "/";
    request.timeLimit = aTimeLimit;
    ++this->open;
    this->client->Send(
      std::move(request),
      [] { return true; },
      [this](const OutboundResult& aResult) {
        --this->open;
        this->answered += aResult.delivery == Delivery::Answered ? 1 : 0;
        this->notSent += aResult.delivery == Delivery::NotSent ? 1 : 0;
        if (std::exchange(this->throws, false)) {
          throw std::runtime_error("unexpected answer");
        }
      });
  }
  void ThrowInNextHandler() { this->throws = true; }
  // Runs until all requests have a result. Returns the peak of descriptors.
  std::size_t RunUntilDone()
  {
    std::size_t peak = 0;
    while (this->open > 0) {
      this->io.run_one();
      peak = std::max(peak, this->InUse());
    }
    // The upstreams still have to read what was sent last.
    constexpr int kTurns = 50;
    for (int turn = 0; turn < kTurns; ++turn) {
      this->io.poll();
    }
    return peak;
  }
  [[nodiscard]] std::size_t InUse() const
  {
    return this->budget->InUse(DescriptorOwner::Upstreams);
  }
  [[nodiscard]] std::uint64_t Refused() const
  {
    return this->budget->Refused(DescriptorOwner::Upstreams);
  }
  [[nodiscard]] std::uint64_t ConnectionsOpened() const
  {
    return this->client->ConnectionsOpened();
  }
  [[nodiscard]] std::size_t Answered() const { return this->answered; }
  [[nodiscard]] std::size_t NotSent() const { return this->notSent; }
  [[nodiscard]] std::size_t Received() const { return this->received; }

private:
  asio::io_context io{ 1 };
  std::shared_ptr<DescriptorBudget> budget;
  std::shared_ptr<DeadlineQueue> deadlines;
  std::shared_ptr<HttpClient> client;
  std::shared_ptr<HttpServer> server;
  std::vector<api::ReplyCallback> held;
  bool throws = false;
  std::size_t open = 0;
  std::size_t answered = 0;
  std::size_t notSent = 0;
  std::size_t received = 0;
};

// An upstream that answers the first request on its first connection and
// resets that connection on the second, as a host does whose process has
// restarted meanwhile. It answers every request on later connections.
class RestartedUpstream
{
public:
  explicit RestartedUpstream(asio::io_context& aIo)
    : io(aIo)
    , acceptor(aIo, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    this->Accept();
  }
  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  [[nodiscard]] std::size_t Received() const { return this->received; }

private:
  struct Peer
  {
    explicit Peer(asio::io_context& aIo)
      : socket(aIo)
    {
    }
    Socket socket;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::empty_body> answer;
    bool isFirst = false;
    bool hasAnswered = false;
  };

  void Accept()
  {
    auto peer = std::make_shared<Peer>(this->io);
    this->acceptor.async_accept(peer->socket, [=, this](ErrorValue aError) {
      if (aError) {
        return;
      }
      peer->isFirst = this->connections++ == 0;
      this->ReadFrom(peer);
      this->Accept();
    });
  }
  void ReadFrom(const std::shared_ptr<Peer>& aPeer)
  {
    aPeer->request = {};
    http::async_read(aPeer->socket,
                     aPeer->buffer,
                     aPeer->request,
                     [this, aPeer](const ErrorValue& aError, std::size_t) {
                       if (!aError) {
                         ++this->received;
                         this->AnswerTo(aPeer);
                       }
                     });
  }
  void AnswerTo(const std::shared_ptr<Peer>& aPeer)
  {
    if (aPeer->isFirst && std::exchange(aPeer->hasAnswered, true)) {
      aPeer->socket.set_option(asio::socket_base::linger(true, 0));
      aPeer->socket.close();
      return;
    }
    aPeer->answer = { http::status::ok, 11 };
    aPeer->answer.prepare_payload();
    http::async_write(aPeer->socket,
                      aPeer->answer,
                      [this, aPeer](const ErrorValue& aError, std::size_t) {
                        if (!aError) {
                          this->ReadFrom(aPeer);
                        }
                      });
  }

  asio::io_context& io;
  asio::ip::tcp::acceptor acceptor;
  std::size_t connections = 0;
  std::size_t received = 0;
};

// The deliveries of two requests in turn to an upstream that restarts between
// them, and the number of requests that it has received.
std::pair<std::vector<Delivery>, std::size_t>
SendAcrossARestart(bool aRepeatable)
{
  asio::io_context io{ 1 };
  auto deadlines = std::make_shared<DeadlineQueue>(io);
  auto client = std::make_shared<HttpClient>(
    io, deadlines, std::make_shared<DescriptorBudget>(kDescriptors));
  RestartedUpstream upstream(io);
  std::vector<Delivery> deliveries;
  for (std::size_t i = 0; i < 2; ++i) {
    OutboundRequest request;
    request.address = upstream.Address();
    request.method = "POST";
    request.target = "/";
    request.timeLimit = std::chrono::seconds(30);
    request.repeatable = aRepeatable;
    client->Send(
      std::move(request),
      [] { return true; },
      [&](const OutboundResult& aResult) {
        deliveries.push_back(aResult.delivery);
      });
    while (deliveries.size() == i) {
      io.run_one();
    }
  }
  return { deliveries, upstream.Received() };
}

constexpr Duration kLongLimit = std::chrono::seconds(30);
constexpr Duration kShortLimit = std::chrono::milliseconds(200);

} // namespace

// Guards against a connection and a descriptor that are lost for good when the
// handler of an answer throws.
Test(HttpClient, KeepsTheConnectionWhenAHandlerThrows)
{
  TestTrace trace;
  ClientFixture fixture(true);
  fixture.ThrowInNextHandler();
  fixture.Send(0, kLongLimit);
  fixture.RunUntilDone();
  for (std::size_t i = 0; i < kRoom; ++i) {
    fixture.Send(0, kLongLimit);
    fixture.RunUntilDone();
  }
  EXPECT_EQUAL(trace, fixture.Answered(), kRoom + 1);
  EXPECT_EQUAL(trace, fixture.ConnectionsOpened(), 1U);
  EXPECT_EQUAL(trace, fixture.InUse(), 1U);
}

// Load pattern: a new leader calls all upstreams at once. Guards against a
// client that takes all descriptors of the process, and against requests that
// are forgotten while they wait for one.
Test(HttpClient, KeepsToItsBudgetOfDescriptors)
{
  TestTrace trace;
  constexpr std::size_t kUpstreams = 5 * kRoom;
  trace.Section("more upstreams than descriptors are called at once", [&] {
    ClientFixture fixture(true);
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      fixture.Send(i, kLongLimit);
    }
    EXPECT_THAT(trace, fixture.RunUntilDone() <= kRoom);
    EXPECT_EQUAL(trace, fixture.Answered(), kUpstreams);
  });
  trace.Section("idle connections give way, one after the other", [&] {
    ClientFixture fixture(true);
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      fixture.Send(i, kLongLimit);
      EXPECT_THAT(trace, fixture.RunUntilDone() <= kRoom);
    }
    EXPECT_EQUAL(trace, fixture.Answered(), kUpstreams);
    EXPECT_EQUAL(trace, fixture.InUse(), kRoom);
    EXPECT_EQUAL(trace, fixture.Refused(), 0U);
    trace.Section("the others are used again", [&] {
      const std::uint64_t before = fixture.ConnectionsOpened();
      fixture.Send(kUpstreams - 1, kLongLimit);
      fixture.RunUntilDone();
      EXPECT_EQUAL(trace, fixture.ConnectionsOpened(), before);
    });
  });
  trace.Section("upstreams that do not answer hold all descriptors", [&] {
    ClientFixture fixture(false);
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      fixture.Send(i, kShortLimit);
    }
    EXPECT_THAT(trace, fixture.RunUntilDone() <= kRoom);
    trace.Section("what was never sent is reported as such", [&] {
      EXPECT_EQUAL(trace, fixture.Answered(), 0U);
      EXPECT_EQUAL(trace, fixture.NotSent() + fixture.Received(), kUpstreams);
    });
  });
}

// Guards against a new boot that stays unknown: the call that checked its
// announcement went over a connection to the boot before, which was reset.
Test(HttpClient, RepeatsARequestThatChangesNothingAfterARestart)
{
  TestTrace trace;
  trace.Section("it is sent again on a new connection", [&] {
    const auto [deliveries, received] = SendAcrossARestart(true);
    EXPECT_THAT(trace, deliveries.at(1) == Delivery::Answered);
    EXPECT_EQUAL(trace, received, 3U);
  });
  trace.Section("any other request may have been carried out", [&] {
    const auto [deliveries, received] = SendAcrossARestart(false);
    EXPECT_THAT(trace, deliveries.at(1) == Delivery::Unknown);
    EXPECT_EQUAL(trace, received, 2U);
  });
}
