// Tests that a listener refuses invalid input with one specific error.
#include "shell/RelayFixture.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

constexpr std::string_view kOk =
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
AnswerTo(const RelayFixture& aFixture, std::string_view aBytes)
{
  RawClient caller(aFixture.Port());
  caller.Send(aBytes);
  return caller.ReadAll();
}

config::LimitSettings
SmallLimits()
{
  config::LimitSettings limits;
  limits.headerBytes = 1024;
  limits.bodyBytes = 100000;
  limits.headerTimeout = Duration(50000);
  limits.callerConnections = 2;
  return limits;
}

void
ExpectProblem(const TestTrace& aTrace,
              const std::string& aAnswer,
              std::string_view aStatus,
              std::string_view aCode)
{
  const std::string status = "HTTP/1.1 " + std::string(aStatus) + " ";
  const std::string code = "\"code\":\"" + std::string(aCode) + "\"";
  EXPECT_THAT(aTrace, aAnswer.substr(0, status.size()) == status);
  EXPECT_THAT(aTrace, Contains(aAnswer, "application/problem+json"));
  EXPECT_THAT(aTrace, Contains(aAnswer, code));
  EXPECT_THAT(aTrace, Contains(aAnswer, "\"not_run\":true"));
}

} // namespace

// Guards against unbounded memory use, and against closing a connection without
// an answer when the input exceeds a limit.
Test(HttpInput, RefusesInputThatIsTooLargeOrTooSlow)
{
  TestTrace trace;
  RelayFixture fixture({ "127.0.0.1:1" }, SmallLimits());
  trace.Section("a header over the limit", [&] {
    ExpectProblem(trace,
                  AnswerTo(fixture,
                           "GET /services/quotes HTTP/1.1\r\nX: " +
                             std::string(5000, 'x') + "\r\n\r\n"),
                  "431",
                  "header_too_large");
  });
  trace.Section("a declared body over the limit", [&] {
    ExpectProblem(trace,
                  AnswerTo(fixture,
                           "PUT /services/quotes HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 100001\r\n\r\n"),
                  "413",
                  "body_too_large");
  });
  trace.Section("an incomplete header", [&] {
    ExpectProblem(trace,
                  AnswerTo(fixture, "GET /services/quotes HTTP/1.1\r\nHos"),
                  "408",
                  "header_timeout");
  });
  trace.Section("a connection over the limit", [&] {
    RawClient first(fixture.Port());
    RawClient second(fixture.Port());
    // An answer on each connection proves that both are counted.
    first.Send("GET /v1/a HTTP/1.1\r\nHost: a\r\n\r\n");
    second.Send("GET /v1/b HTTP/1.1\r\nHost: a\r\n\r\n");
    first.ReadAnswer();
    second.ReadAnswer();
    ExpectProblem(trace, AnswerTo(fixture, ""), "503", "too_many_connections");
  });
}

// Guards against chunked bodies that exceed the limit, as they do not declare a
// length.
Test(HttpInput, StopsAChunkedBodyAtTheLimit)
{
  TestTrace trace;
  RawUpstream upstream([](RawClient& aPeer, int) { aPeer.ReadAll(); });
  RelayFixture fixture({ upstream.Address() }, SmallLimits());
  RawClient caller(fixture.Port());
  caller.Send("PUT /services/quotes HTTP/1.1\r\nHost: a\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 3; ++i) {
    caller.Send("c350\r\n" + std::string(0xc350, 'x') + "\r\n");
  }
  const std::string answer = caller.ReadAll();
  EXPECT_THAT(trace, Contains(answer, "HTTP/1.1 413 "));
  EXPECT_THAT(trace, Contains(answer, "\"not_run\":false"));
  fixture.Await("gone");
}

// Guards against request smuggling and against guessing the meaning of
// ambiguous requests.
Test(HttpInput, RefusesAmbiguousRequests)
{
  TestTrace trace;
  RelayFixture fixture({ "127.0.0.1:1" });
  const auto refuse = [&](std::string_view aTitle,
                          std::string_view aBytes,
                          std::string_view aStatus,
                          std::string_view aCode) {
    trace.Section(aTitle, [&] {
      ExpectProblem(trace, AnswerTo(fixture, aBytes), aStatus, aCode);
    });
  };
  refuse("not HTTP", "hello there\r\n\r\n", "400", "bad_request");
  refuse("two ways to delimit the body",
         "PUT /services/q HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n",
         "400",
         "bad_request");
  refuse("two hosts",
         "GET /services/q HTTP/1.1\r\nHost: a\r\nHost: b\r\n"
         "Connection: close\r\n\r\n",
         "400",
         "bad_request");
  refuse("an unknown transfer coding",
         "PUT /services/q HTTP/1.1\r\nHost: a\r\n"
         "Transfer-Encoding: gzip, chunked\r\n\r\n",
         "501",
         "not_implemented");
  refuse("a deadline that is not a number",
         "GET /services/q HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
         "Hyssoppaddle-Deadline-Ms: soon\r\n\r\n",
         "400",
         "bad_request");
  refuse("a token of another form",
         "GET /services/q HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
         "Authorization: Basic abc\r\n\r\n",
         "401",
         "unknown_key");
  refuse("a key of another role",
         "GET /services/q HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
         "Authorization: Bearer hp_operator_k_s\r\n\r\n",
         "403",
         "wrong_team");
  refuse("an old version of the protocol",
         "GET /services/q HTTP/1.0\r\nHost: a\r\n\r\n",
         "505",
         "version_not_supported");
}

// Guards against a connection that loses synchronisation after an error: the
// next request would get a wrong answer.
Test(HttpInput, KeepsTheConnectionSynchronisedAfterAnError)
{
  TestTrace trace;
  RawUpstream upstream([](RawClient& aPeer, int) {
    while (!aPeer.ReadUntil("\r\n\r\n").empty()) {
      aPeer.Send(kOk);
    }
  });
  RelayFixture fixture({ upstream.Address() });
  RawClient caller(fixture.Port());
  trace.Section("a refused request with a body", [&] {
    caller.Send("PUT /services/q HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                "Hyssoppaddle-Deadline-Ms: 0\r\n\r\nGET ");
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "HTTP/1.1 400 "));
  });
  trace.Section("the next request on the same connection", [&] {
    caller.Send("GET /services/q HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "hello"));
  });
  trace.Section("a request that is answered locally", [&] {
    caller.Send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "/v1/jobs abc"));
  });
}

// Guards against asking a caller to send its body (100 Continue) although the
// request is refused and the body is not read.
Test(HttpInput, AsksForABodyOnlyWhenAnAttemptStarts)
{
  TestTrace trace;
  constexpr std::string_view kExpecting =
    "PUT /services/q HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
    "Expect: 100-continue\r\n";
  RawUpstream upstream([](RawClient& aPeer, int) {
    aPeer.ReadUntil("abc");
    aPeer.Send(kOk);
  });
  RelayFixture fixture({ upstream.Address() });
  trace.Section("an attempt starts", [&] {
    RawClient caller(fixture.Port());
    caller.Send(std::string(kExpecting) + "\r\n");
    const std::string interim = caller.ReadUntil("\r\n\r\n");
    EXPECT_EQUAL(trace, interim, "HTTP/1.1 100 Continue\r\n\r\n");
    caller.Send("abc");
    EXPECT_THAT(trace, Contains(caller.ReadAnswer(), "hello"));
  });
  trace.Section("the request is refused", [&] {
    const std::string answer = AnswerTo(
      fixture, std::string(kExpecting) + "Authorization: Basic x\r\n\r\n");
    ExpectProblem(trace, answer, "401", "unknown_key");
    EXPECT_THAT(trace, Contains(answer, "Connection: close\r\n"));
  });
}
