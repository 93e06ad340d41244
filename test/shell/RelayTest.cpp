// The relay between raw callers and raw upstreams.
#include "shell/RelayWorld.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

using Texts = std::vector<std::string>;

constexpr std::string_view kGet =
  "GET /services/quotes/price?x=1 HTTP/1.1\r\nHost: fleet\r\n\r\n";
constexpr std::string_view kOk =
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const std::string kEmpty;

std::string
Post(std::string_view aFields, std::string_view aBody)
{
  return "POST /services/quotes/price HTTP/1.1\r\nHost: fleet\r\n" +
         std::string(aFields) + "\r\n" + std::string(aBody);
}

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Answers every request of every connection with aAnswer.
RawUpstream::Script
Always(std::string_view aAnswer)
{
  return [aAnswer](RawClient& aPeer, int) {
    while (!aPeer.ReadUntil("\r\n\r\n").empty()) {
      aPeer.Send(aAnswer);
    }
  };
}

// Reads one header, sends aBytes and closes.
RawUpstream::Script
SendAndClose(std::string aBytes)
{
  return [aBytes](RawClient& aPeer, int) {
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send(aBytes);
  };
}

} // namespace

// Guards against lost requests on the plain path and against an order of events
// that would let the reducer believe that no byte has left.
Test(Relay, PassesRequestsAndAnswersThrough)
{
  TestTrace trace;
  std::string seen;
  RawUpstream upstream([&](RawClient& aPeer, int) {
    seen = aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send(kOk);
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send(kOk);
  });
  RelayWorld world({ upstream.Address() });
  RawClient caller(world.Port());
  trace.Section("two requests on one connection", [&] {
    caller.Send("GET /services/quotes/price?x=1 HTTP/1.1\r\nHost: fleet\r\n"
                "Authorization: Bearer hp_team_k1_s\r\nX-Own: 1\r\n"
                "X-Hop: 2\r\nConnection: keep-alive, X-Hop\r\n\r\n");
    const std::string first = caller.ReadAnswer();
    EXPECT_THAT(trace, Contains(first, "HTTP/1.1 200 OK\r\n"));
    EXPECT_THAT(trace, Contains(first, "\r\n\r\nhello"));
    caller.Send(kGet);
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "hello"));
  });
  trace.Section("the upstream sees the path and no secrets", [&] {
    EXPECT_THAT(trace, Contains(seen, "GET /price?x=1 HTTP/1.1\r\n"));
    EXPECT_THAT(trace, Contains(seen, "X-Own: 1\r\n"));
    EXPECT_THAT(trace, Contains(seen, "X-Forwarded-For: 127.0.0.1\r\n"));
    EXPECT_THAT(trace, Contains(seen, "Hyssoppaddle-Deadline-Ms: "));
    EXPECT_THAT(trace, !Contains(seen, "Authorization"));
    EXPECT_THAT(trace, !Contains(seen, "X-Hop"));
  });
  trace.Section("the reducer saw every point of no return", [&] {
    world.Await("finished:200", 2);
    const Texts expected{ "arrived",     "sending",      "answering",
                          "relaying",    "finished:200", "arrived",
                          "sending",     "answering",    "relaying",
                          "finished:200" };
    EXPECT_THAT(trace, world.Events() == expected);
  });
}

// Guards against a short success: an answer that ends early must never look
// whole to the caller.
Test(Relay, NeverPassesACutAnswerAsWhole)
{
  TestTrace trace;
  trace.Section("a short answer that is cut becomes an error", [&] {
    RawUpstream upstream(
      SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"));
    RelayWorld world({ upstream.Address() });
    RawClient caller(world.Port());
    caller.Send(kGet);
    const std::string answer = caller.ReadAnswer();
    EXPECT_THAT(trace, Contains(answer, "HTTP/1.1 502 "));
    EXPECT_THAT(trace, Contains(answer, "upstream_failed"));
    EXPECT_THAT(trace, Contains(answer, "\"not_run\":false"));
  });
  trace.Section("a long answer that is cut ends the connection early", [&] {
    const std::string body(200000, 'x');
    RawUpstream upstream(
      SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body));
    RelayWorld world({ upstream.Address() });
    RawClient caller(world.Port());
    caller.Send(kGet);
    const std::string answer = caller.ReadAll();
    EXPECT_THAT(trace, Contains(answer, "Content-Length: 300000\r\n"));
    EXPECT_THAT(trace, answer.size() < 300000);
    world.Await("failed:relaying");
  });
  trace.Section("a cut chunked answer has no last chunk", [&] {
    RawUpstream upstream(SendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                      "chunked\r\n\r\n5\r\nhello\r\n"));
    RelayWorld world({ upstream.Address() });
    RawClient caller(world.Port());
    caller.Send(kGet);
    const std::string answer = caller.ReadAll();
    EXPECT_THAT(trace, Contains(answer, "hello"));
    EXPECT_THAT(trace, !Contains(answer, "0\r\n\r\n"));
  });
  trace.Section("an answer without a length is not trusted", [&] {
    RawUpstream upstream(SendAndClose("HTTP/1.1 200 OK\r\n\r\nperhaps whole"));
    RelayWorld world({ upstream.Address() });
    RawClient caller(world.Port());
    caller.Send(kGet);
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "HTTP/1.1 502 "));
  });
}

// Guards against an answer that arrives after its request was given up and
// would be taken for the answer to a later request.
Test(Relay, DropsLateAnswers)
{
  TestTrace trace;
  std::atomic<int> connections{ 0 };
  RawUpstream upstream([&](RawClient& aPeer, int aNumber) {
    connections = aNumber;
    aPeer.ReadUntil("\r\n\r\n");
    if (aNumber == 1) {
      // The relay gives up and closes; only then the answer is sent.
      aPeer.ReadAll();
      aPeer.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      return;
    }
    aPeer.Send(kOk);
  });
  RelayWorld world({ upstream.Address(), upstream.Address() });
  world.timeLeft = Duration(50000);
  RawClient caller(world.Port());
  caller.Send(kGet);
  const std::string answer = caller.ReadAnswer();
  EXPECT_THAT(trace, Contains(answer, "hello"));
  EXPECT_THAT(trace, !Contains(answer, "late"));
  EXPECT_EQUAL(trace, connections.load(), 2);
}

// Guards against a second run of a request: an idle connection that the
// upstream has closed must not turn a refusal into a repeat.
Test(Relay, RetriesStaleConnectionsOnlyWhenSafe)
{
  TestTrace trace;
  std::atomic<int> runs{ 0 };
  RawUpstream upstream([&](RawClient& aPeer, int aNumber) {
    aPeer.ReadUntil("\r\n\r\n");
    ++runs;
    aPeer.Send(kOk);
    if (aNumber == 1) {
      // Reads the second request and ends without an answer.
      aPeer.ReadUntil("\r\n\r\n");
      ++runs;
    }
  });
  RelayWorld world({ upstream.Address() });
  RawClient caller(world.Port());
  caller.Send(kGet);
  caller.ReadAnswer();
  trace.Section("an idempotent request goes to a fresh connection", [&] {
    caller.Send(kGet);
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "hello"));
    EXPECT_EQUAL(trace, runs.load(), 3);
  });
  trace.Section("another one is reported as failed while sending", [&] {
    std::atomic<int> posts{ 0 };
    RawUpstream other([&](RawClient& aPeer, int) {
      aPeer.ReadUntil("\r\n\r\n");
      aPeer.Send(kOk);
      if (!aPeer.ReadUntil("\r\n\r\n").empty()) {
        ++posts;
      }
    });
    RelayWorld second({ other.Address() });
    RawClient client(second.Port());
    client.Send(kGet);
    client.ReadAnswer();
    client.Send(Post("Content-Length: 0\r\n", ""));
    const std::string answer = client.ReadAnswer();
    EXPECT_THAT(trace, Contains(answer, "HTTP/1.1 502 "));
    second.Await("failed:sending");
    EXPECT_EQUAL(trace, posts.load(), 1);
  });
}

// Guards against a refusal by the upstream being passed on or counted as a run.
Test(Relay, TriesElsewhereAfterAStatedRefusal)
{
  TestTrace trace;
  RawUpstream refusing(
    SendAndClose("HTTP/1.1 503 No\r\nHyssoppaddle-Not-Run: true\r\n"
                 "Content-Length: 0\r\n\r\n"));
  RawUpstream running(Always(kOk));
  RelayWorld world({ refusing.Address(), running.Address() });
  RawClient caller(world.Port());
  caller.Send(Post("Content-Length: 3\r\n", "abc"));
  EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "hello"));
  world.Await("finished:200");
  const Texts expected{ "arrived",   "sending",  "refused",     "sending",
                        "answering", "relaying", "finished:200" };
  EXPECT_THAT(trace, world.Events() == expected);
}

// Guards against requests that never end or take a permit forever because the
// caller sent only half of them.
Test(Relay, EndsHalfRequests)
{
  TestTrace trace;
  RawUpstream upstream(Always(kOk));
  trace.Section("the caller leaves in the middle of a short body", [&] {
    RelayWorld world({ upstream.Address() });
    RawClient caller(world.Port());
    caller.Send(Post("Content-Length: 10\r\n", "half"));
    world.Await("arrived");
    caller.Close();
    world.Await("gone");
  });
  trace.Section("the caller leaves in the middle of a long body", [&] {
    RawUpstream reading([](RawClient& aPeer, int) { aPeer.ReadAll(); });
    RelayWorld world({ reading.Address() });
    RawClient caller(world.Port());
    caller.Send(Post("Content-Length: 1000000\r\n", "start"));
    world.Await("sending");
    caller.Close();
    world.Await("gone");
  });
  trace.Section("a malformed chunk ends in an error", [&] {
    // Reads on, as an early answer would end the request first.
    RawUpstream reading([](RawClient& aPeer, int) { aPeer.ReadAll(); });
    RelayWorld world({ reading.Address() });
    RawClient caller(world.Port());
    caller.Send(Post("Transfer-Encoding: chunked\r\n", "zz\r\n"));
    EXPECT_THAT(trace, Contains(caller.ReadAll(), "HTTP/1.1 400 "));
  });
}

// Guards against a chunk that is held back until the next one arrives: a caller
// that acts on it first would wait forever.
Test(Relay, PassesEachChunkOnAtOnce)
{
  TestTrace trace;
  RawUpstream upstream([](RawClient& aPeer, int) {
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "5\r\nfirst\r\n");
    // Nothing follows while the caller waits.
    aPeer.ReadAll();
  });
  RelayWorld world({ upstream.Address() });
  RawClient caller(world.Port());
  caller.Send(kGet);
  EXPECT_THAT(trace, Contains(caller.ReadUntil("first\r\n"), "first"));
}

// Guards against memory that grows with a caller that reads nothing.
Test(Relay, WaitsForASlowReader)
{
  TestTrace trace;
  constexpr std::size_t kBody = 64UL * 1024 * 1024;
  std::atomic<std::size_t> sent{ 0 };
  RawUpstream upstream([&](RawClient& aPeer, int) {
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) +
               "\r\n\r\n");
    const std::string piece(1024UL * 1024, 'x');
    for (std::size_t total = 0; total < kBody; total += piece.size()) {
      aPeer.Send(piece);
      sent += piece.size();
    }
  });
  RelayWorld world({ upstream.Address() });
  RawClient caller(world.Port());
  const std::uint64_t before = shell::ResidentBytes();
  caller.Send(kGet);
  trace.Section("the answer has begun and nothing reads it",
                [&] { world.Await("relaying"); });
  trace.Section("all of it arrives once the caller reads", [&] {
    caller.ReadUntil("\r\n\r\n");
    std::size_t total = 0;
    std::uint64_t most = before;
    std::vector<char> piece(65536);
    boost::system::error_code error;
    total += caller.TakeBuffered().size();
    while (total < kBody && !error) {
      total += caller.Raw().read_some(asio::buffer(piece), error);
      most = std::max(most, shell::ResidentBytes());
    }
    EXPECT_EQUAL(trace, total, kBody);
    EXPECT_THAT(trace, most - before < 16UL * 1024 * 1024);
  });
}
