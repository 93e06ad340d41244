// Tests the relay with callers and upstreams that use raw sockets.
#include "shell/RelayFixture.h"
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
AlwaysAnswer(std::string_view aAnswer)
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

// Guards against lost requests without any failure, and against a wrong order
// of events: the reducer could assume that no byte was sent.
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
  RelayFixture fixture({ upstream.Address() });
  RawClient caller(fixture.Port());
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
  trace.Section("the upstream gets the path and no secrets", [&] {
    EXPECT_THAT(trace, Contains(seen, "GET /price?x=1 HTTP/1.1\r\n"));
    EXPECT_THAT(trace, Contains(seen, "X-Own: 1\r\n"));
    EXPECT_THAT(trace, Contains(seen, "X-Forwarded-For: 127.0.0.1\r\n"));
    EXPECT_THAT(trace, Contains(seen, "Hyssoppaddle-Deadline-Ms: "));
    EXPECT_THAT(trace, !Contains(seen, "Authorization"));
    EXPECT_THAT(trace, !Contains(seen, "X-Hop"));
  });
  trace.Section("the reducer gets an event for every phase", [&] {
    fixture.Await("finished:200", 2);
    const Texts expected{ "arrived",     "sending",      "answering",
                          "relaying",    "finished:200", "arrived",
                          "sending",     "answering",    "relaying",
                          "finished:200" };
    EXPECT_THAT(trace, fixture.Events() == expected);
  });
}

// Guards against truncated answers that look successful: an answer that ends
// early must never look complete to the caller.
Test(Relay, NeverRelaysATruncatedAnswerAsComplete)
{
  TestTrace trace;
  trace.Section("a short truncated answer becomes an error", [&] {
    RawUpstream upstream(
      SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"));
    RelayFixture fixture({ upstream.Address() });
    RawClient caller(fixture.Port());
    caller.Send(kGet);
    const std::string answer = caller.ReadAnswer();
    EXPECT_THAT(trace, Contains(answer, "HTTP/1.1 502 "));
    EXPECT_THAT(trace, Contains(answer, "upstream_failed"));
    EXPECT_THAT(trace, Contains(answer, "\"not_run\":false"));
  });
  trace.Section("a long truncated answer ends the connection early", [&] {
    const std::string body(200000, 'x');
    RawUpstream upstream(
      SendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body));
    RelayFixture fixture({ upstream.Address() });
    RawClient caller(fixture.Port());
    caller.Send(kGet);
    const std::string answer = caller.ReadAll();
    EXPECT_THAT(trace, Contains(answer, "Content-Length: 300000\r\n"));
    EXPECT_THAT(trace, answer.size() < 300000);
    fixture.Await("failed:relaying");
  });
  trace.Section("a truncated chunked answer has no last chunk", [&] {
    RawUpstream upstream(SendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                      "chunked\r\n\r\n5\r\nhello\r\n"));
    RelayFixture fixture({ upstream.Address() });
    RawClient caller(fixture.Port());
    caller.Send(kGet);
    const std::string answer = caller.ReadAll();
    EXPECT_THAT(trace, Contains(answer, "hello"));
    EXPECT_THAT(trace, !Contains(answer, "0\r\n\r\n"));
  });
  trace.Section("an answer without a length is not trusted", [&] {
    RawUpstream upstream(SendAndClose("HTTP/1.1 200 OK\r\n\r\nperhaps whole"));
    RelayFixture fixture({ upstream.Address() });
    RawClient caller(fixture.Port());
    caller.Send(kGet);
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "HTTP/1.1 502 "));
  });
}

// Guards against an answer that arrives after the relay has abandoned its
// attempt. It could be mistaken for the answer to a later request.
Test(Relay, DropsLateAnswers)
{
  TestTrace trace;
  std::atomic<int> connections{ 0 };
  RawUpstream upstream([&](RawClient& aPeer, int aNumber) {
    connections = aNumber;
    aPeer.ReadUntil("\r\n\r\n");
    if (aNumber == 1) {
      // Sends the answer only after the relay has abandoned the attempt and
      // closed the connection.
      aPeer.ReadAll();
      aPeer.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      return;
    }
    aPeer.Send(kOk);
  });
  RelayFixture fixture({ upstream.Address(), upstream.Address() });
  fixture.timeLeft = Duration(50000);
  RawClient caller(fixture.Port());
  caller.Send(kGet);
  const std::string answer = caller.ReadAnswer();
  EXPECT_THAT(trace, Contains(answer, "hello"));
  EXPECT_THAT(trace, !Contains(answer, "late"));
  EXPECT_EQUAL(trace, connections.load(), 2);
}

// Guards against running a request twice. If the upstream closes a reused idle
// connection without an answer, only an idempotent request may be repeated.
Test(Relay, RetriesStaleConnectionsOnlyWhenSafe)
{
  TestTrace trace;
  std::atomic<int> runs{ 0 };
  RawUpstream upstream([&](RawClient& aPeer, int aNumber) {
    aPeer.ReadUntil("\r\n\r\n");
    ++runs;
    aPeer.Send(kOk);
    if (aNumber == 1) {
      // Reads the second request and closes the connection without an answer.
      aPeer.ReadUntil("\r\n\r\n");
      ++runs;
    }
  });
  RelayFixture fixture({ upstream.Address() });
  RawClient caller(fixture.Port());
  caller.Send(kGet);
  caller.ReadAnswer();
  trace.Section("an idempotent request is retried on a new connection", [&] {
    caller.Send(kGet);
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "hello"));
    EXPECT_EQUAL(trace, runs.load(), 3);
  });
  trace.Section("a non-idempotent request is reported as failed while sending",
                [&] {
                  std::atomic<int> posts{ 0 };
                  RawUpstream other([&](RawClient& aPeer, int) {
                    aPeer.ReadUntil("\r\n\r\n");
                    aPeer.Send(kOk);
                    if (!aPeer.ReadUntil("\r\n\r\n").empty()) {
                      ++posts;
                    }
                  });
                  RelayFixture second({ other.Address() });
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

// Guards against relaying a refusal by the upstream to the caller, or counting
// it as an execution.
Test(Relay, RetriesOnAnotherUpstreamAfterARefusal)
{
  TestTrace trace;
  RawUpstream refusing(
    SendAndClose("HTTP/1.1 503 No\r\nHyssoppaddle-Not-Run: true\r\n"
                 "Content-Length: 0\r\n\r\n"));
  RawUpstream running(AlwaysAnswer(kOk));
  RelayFixture fixture({ refusing.Address(), running.Address() });
  RawClient caller(fixture.Port());
  caller.Send(Post("Content-Length: 3\r\n", "abc"));
  EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "hello"));
  fixture.Await("finished:200");
  const Texts expected{ "arrived",   "sending",  "refused",     "sending",
                        "answering", "relaying", "finished:200" };
  EXPECT_THAT(trace, fixture.Events() == expected);
}

// Guards against requests that never end, or hold a permit forever, because the
// caller sent only a part of them.
Test(Relay, EndsIncompleteRequests)
{
  TestTrace trace;
  RawUpstream upstream(AlwaysAnswer(kOk));
  trace.Section("the caller leaves in the middle of a short body", [&] {
    RelayFixture fixture({ upstream.Address() });
    RawClient caller(fixture.Port());
    caller.Send(Post("Content-Length: 10\r\n", "half"));
    fixture.Await("arrived");
    caller.Close();
    fixture.Await("gone");
  });
  trace.Section("the caller leaves in the middle of a long body", [&] {
    RawUpstream reading([](RawClient& aPeer, int) { aPeer.ReadAll(); });
    RelayFixture fixture({ reading.Address() });
    RawClient caller(fixture.Port());
    caller.Send(Post("Content-Length: 1000000\r\n", "start"));
    fixture.Await("sending");
    caller.Close();
    fixture.Await("gone");
  });
  trace.Section("a malformed chunk ends in an error", [&] {
    // Reads everything, because an early answer would end the request first.
    RawUpstream reading([](RawClient& aPeer, int) { aPeer.ReadAll(); });
    RelayFixture fixture({ reading.Address() });
    RawClient caller(fixture.Port());
    caller.Send(Post("Transfer-Encoding: chunked\r\n", "zz\r\n"));
    EXPECT_THAT(trace, Contains(caller.ReadAll(), "HTTP/1.1 400 "));
  });
}

// Guards against a chunk that is buffered until the next one arrives. A caller
// that must act on the first chunk would wait forever.
Test(Relay, RelaysEachChunkImmediately)
{
  TestTrace trace;
  RawUpstream upstream([](RawClient& aPeer, int) {
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "5\r\nfirst\r\n");
    // Sends nothing more while the caller waits.
    aPeer.ReadAll();
  });
  RelayFixture fixture({ upstream.Address() });
  RawClient caller(fixture.Port());
  caller.Send(kGet);
  EXPECT_THAT(trace, Contains(caller.ReadUntil("first\r\n"), "first"));
}

// Guards against memory use that grows if a caller does not read.
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
  RelayFixture fixture({ upstream.Address() });
  RawClient caller(fixture.Port());
  const std::uint64_t before = shell::ResidentBytes();
  caller.Send(kGet);
  trace.Section("the answer has begun and nothing reads it",
                [&] { fixture.Await("relaying"); });
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
