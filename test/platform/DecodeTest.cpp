// Tests of the platform's wire protocol: decoding of calls and answers, and
// encoding of replies and instructions.
#include "../../platform/Decode.h"
#include "../../platform/PlatformProtocol.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::platform;
using std::chrono::milliseconds;

namespace {

constexpr const char* kReport =
  R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",
"slots":8,"state":"ready","cold_remaining_ms":0,"machine":"m-1","born":77,
"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],
"clock_ms":482113,"sequence":4})";

std::string
Configuration(const std::string& aRoutes, const std::string& aTenants = "")
{
  return R"({"version":7,"routes":[)" + aRoutes +
         R"(],"services":[{"name":"s","standby":true}],"limits":{},"tenants":[)" +
         aTenants + "]}";
}

std::string
Route(const std::string& aName,
      const std::string& aPrefix,
      const std::string& aService = "s",
      int aTimeout = 3000)
{
  return R"({"name":")" + aName + R"(","host":"h","path_prefix":")" + aPrefix +
         R"(","kind":"non_idempotent","timeout_ms":)" +
         std::to_string(aTimeout) +
         R"(,"target_completion_ms":600,"priority":1,"service":")" + aService +
         R"(","max_attempts":2,"stretch":1.6,"allow_anonymous":true})";
}

api::HttpRequest
Request(const char* aMethod,
        const char* aTarget,
        std::string aBody,
        api::Listener aListener)
{
  api::HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = std::move(aBody);
  request.listener = aListener;
  request.headers = { { "host", "h" }, { "x-api-key", "secret" } };
  return request;
}

} // namespace

Test(Decode, DecodesAJob)
{
  TestTrace trace;
  const auto job = DecodeJob(
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,
"estimated_ms":900,"data_rack":"r1-3"},{"count":20,"cpu":2000,"after":[0],
"checkpointing":true,"anti_affinity":2,"allow_speculative":true}]})");
  EXPECT_THAT(trace, job.has_value());
  EXPECT_EQUAL(trace, job->payload, std::string("text"));
  EXPECT_EQUAL(trace, job->steps.size(), 2U);
  EXPECT_EQUAL(trace, job->steps[0].dataRack, std::string("r1-3"));
  EXPECT_EQUAL(trace, job->steps[0].estimate, Duration(milliseconds(900)));
  EXPECT_THAT(trace, job->steps[1].checkpoints && job->steps[1].speculative);
  EXPECT_EQUAL(trace, job->steps[1].maxPerUpstream, 2U);
  trace.Section("a scheduled job", [&] {
    const auto timed = DecodeJob(
      R"({"spec":"","steps":[{"count":1}],"repeat_count":4,
"start_at_ms":1000,"interval_ms":500})");
    EXPECT_EQUAL(trace, timed->occurrences, 4U);
    EXPECT_EQUAL(trace, *timed->firstDue, WallTime(milliseconds(1000)));
  });
  trace.Section("malformed jobs are rejected", [&] {
    for (const char* text : { "",
                              "{",
                              "[]",
                              "{}",
                              R"({"steps":[]})",
                              R"({"steps":[{"count":0}]})",
                              R"({"steps":[{"count":1,"after":[0]}]})",
                              R"({"steps":[{"count":-1}]})",
                              R"({"steps":[{"count":"4"}]})",
                              R"({"steps":[{"count":4000000000}]})",
                              R"({"spec":5,"steps":[{"count":1}]})" }) {
      trace.Section(text,
                    [&] { EXPECT_THAT(trace, !DecodeJob(text).has_value()); });
    }
  });
}

Test(Decode, DecodesAStatusReport)
{
  TestTrace trace;
  const auto announcement = DecodeAnnouncement("i-1", kReport);
  EXPECT_THAT(trace, announcement.has_value());
  EXPECT_EQUAL(trace, announcement->record.boot, 77U);
  EXPECT_EQUAL(trace, announcement->record.instance, std::string("m-1"));
  EXPECT_EQUAL(trace, announcement->record.Rack(), std::string("r1-3"));
  EXPECT_EQUAL(trace, announcement->record.capacity.accelerators, 1);
  EXPECT_EQUAL(trace, announcement->sequence, 4U);
  EXPECT_THAT(trace, !announcement->record.draining);
  EXPECT_EQUAL(trace, announcement->coldFor, Duration(0));
  std::string cold = kReport;
  cold.replace(cold.find("ms\":0"), 5, "ms\":70");
  EXPECT_EQUAL(trace,
               DecodeAnnouncement("i-1", cold)->coldFor,
               Duration(milliseconds(70)));
  trace.Section("malformed reports are rejected", [&] {
    const auto replaced =
      [](std::string aText, const std::string& aFrom, const std::string& aTo) {
        aText.replace(aText.find(aFrom), aFrom.size(), aTo);
        return aText;
      };
    for (const std::string& text :
         { replaced(kReport, "\"ready\"", "\"asleep\""),
           replaced(kReport, "\"ready\"", "3"),
           replaced(kReport, "\"sequence\":4", "\"sequence\":\"4\""),
           replaced(kReport, "\"capacity\"", "\"room\""),
           replaced(kReport, "16000", "-1"),
           std::string("\xff\xfe") }) {
      EXPECT_THAT(trace, !DecodeAnnouncement("i-1", text).has_value());
    }
    EXPECT_THAT(trace, !DecodeAnnouncement("", kReport).has_value());
  });
}

Test(Decode, DecodesAConfiguration)
{
  TestTrace trace;
  const std::string text = Configuration(Route("a", "/a/"));
  const auto setup = DecodeSetup(text);
  EXPECT_THAT(trace, setup.has_value());
  EXPECT_EQUAL(trace, setup->document, text);
  EXPECT_THAT(trace, setup->services[0].standby);
  EXPECT_EQUAL(trace, setup->queues[0].maxAttempts, 2U);
  trace.Section("invalid configurations are rejected", [&] {
    const auto refused = [&](const char* aWhy, const std::string& aText) {
      trace.Section(
        aWhy, [&] { EXPECT_THAT(trace, !DecodeSetup(aText).has_value()); });
    };
    refused("truncated", text.substr(0, text.size() - 9));
    refused("an unknown service", Configuration(Route("a", "/a/", "t")));
    refused("two routes with one host and prefix",
            Configuration(Route("a", "/a/") + "," + Route("b", "/a/")));
    refused("a timeout of zero", Configuration(Route("a", "/a/", "s", 0)));
    refused("a key of two tenants",
            Configuration("",
                          R"({"name":"t","api_keys":["k"]},
{"name":"u","api_keys":["k"]})"));
    refused("no version", R"({"routes":[],"services":[]})");
  });
  trace.Section("a key listed twice by one tenant is valid", [&] {
    EXPECT_THAT(
      trace,
      DecodeSetup(Configuration("", R"({"name":"t","api_keys":["k","k"]})"))
        .has_value());
  });
}

Test(Decode, FormatsAndParsesTaskNames)
{
  TestTrace trace;
  const work::TaskRef task{ JobId("5c0e.x"), 2, 1, 17 };
  EXPECT_EQUAL(trace, TaskName(task), std::string("5c0e.x.2.1.17"));
  EXPECT_THAT(trace, ParseTaskName("5c0e.x.2.1.17") == task);
  for (const char* text : { "", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2." }) {
    EXPECT_THAT(trace, !ParseTaskName(text).has_value());
  }
}

Test(Protocol, DecodesCalls)
{
  TestTrace trace;
  const PlatformProtocol protocol({ "node", "", "" });
  const auto callers = api::Listener::Callers;
  const auto control = api::Listener::Control;
  const auto submit = protocol.Decode(Request(
    "POST", "/a/id?x=1", R"({"spec":"","steps":[{"count":1}]})", callers));
  const auto* call = std::get_if<node::SubmitCall>(&submit);
  EXPECT_THAT(trace, call != nullptr && call->spec.has_value());
  EXPECT_EQUAL(trace, call->queueTarget.path, std::string("/a/id"));
  EXPECT_EQUAL(trace, call->queueTarget.key, std::string("secret"));
  EXPECT_THAT(trace,
              std::holds_alternative<node::DepartCall>(protocol.Decode(
                Request("DELETE", "/instances/i-1", "", control))));
  EXPECT_THAT(trace,
              std::holds_alternative<node::MalformedCall>(protocol.Decode(
                Request("PUT", "/instances/i-1", "{}", control))));
  EXPECT_THAT(trace,
              std::holds_alternative<node::GetSetupCall>(
                protocol.Decode(Request("GET", "/config", "", control))));
  const auto wave =
    protocol.Decode(Request("GET", "/wave-get/12", "", control));
  EXPECT_EQUAL(trace, std::get<node::ShowWaveCall>(wave).number, 12U);
}

Test(Protocol, DecodesOrdersForDataCentres)
{
  TestTrace trace;
  const PlatformProtocol protocol({ "node", "", "" });
  const auto decode = [&](const char* aMethod, const char* aTarget) {
    return protocol.Decode(
      Request(aMethod, aTarget, "", api::Listener::Control));
  };
  const node::Call post = decode("POST", "/evacuate/norte-a");
  const auto* order = std::get_if<node::EvacuateCall>(&post);
  EXPECT_THAT(trace, order != nullptr && order->requested);
  EXPECT_EQUAL(trace, order->dataCentre, DataCentreId("norte-a"));
  const node::Call withdrawal = decode("DELETE", "/evacuate/norte-a?x=1");
  order = std::get_if<node::EvacuateCall>(&withdrawal);
  EXPECT_THAT(trace, order != nullptr && !order->requested);
  EXPECT_EQUAL(trace, order->dataCentre, DataCentreId("norte-a"));
  for (const auto& [method, target] : { std::pair{ "GET", "/evacuate/a" },
                                        { "POST", "/evacuate/" },
                                        { "POST", "/evacuate/a/b" },
                                        { "POST", "/evacuate/a\nb" } }) {
    const node::Call odd = decode(method, target);
    const auto* malformed = std::get_if<node::MalformedCall>(&odd);
    EXPECT_THAT(trace, malformed != nullptr && malformed->knownPath);
  }
  trace.Section("a queue of callers may have the same path", [&] {
    EXPECT_THAT(
      trace,
      std::holds_alternative<node::CancelCall>(protocol.Decode(
        Request("DELETE", "/evacuate/a", "", api::Listener::Callers))));
  });
  trace.Section("an unknown data centre is not found", [&] {
    node::Reply reply;
    reply.outcome = node::Outcome::NoSuchDataCentre;
    reply.reason = "no data centre x";
    EXPECT_EQUAL(trace, protocol.Encode(reply).status, 404U);
    EXPECT_EQUAL(trace,
                 protocol.Encode(reply).body,
                 std::string(R"({"error":"no data centre x"})"));
  });
}

Test(Protocol, EncodesReplies)
{
  TestTrace trace;
  const PlatformProtocol protocol({ "node", "", "" });
  node::Reply reply;
  reply.outcome = node::Outcome::Overloaded;
  reply.retryAfter = milliseconds(1200);
  const api::HttpReply busy = protocol.Encode(reply);
  EXPECT_EQUAL(trace, busy.status, 429U);
  EXPECT_EQUAL(trace, busy.headers.at(0).value, std::string("2"));
  reply = {};
  reply.outcome = node::Outcome::JobShown;
  reply.job = work::JobState::Completed;
  EXPECT_EQUAL(trace,
               protocol.Encode(reply).body,
               std::string(R"({"state":"completed"})"));
  reply.outcome = node::Outcome::Undecided;
  EXPECT_EQUAL(trace, protocol.Encode(reply).status, 504U);
  trace.Section("a redirect names its target", [&] {
    reply.outcome = node::Outcome::Redirected;
    reply.location = "http://10.0.0.2:8345/config";
    const api::HttpReply redirect = protocol.Encode(reply);
    EXPECT_EQUAL(trace, redirect.status, 307U);
    EXPECT_EQUAL(trace, redirect.headers.at(0).name, std::string("Location"));
    EXPECT_EQUAL(trace, redirect.headers.at(0).value, reply.location);
  });
}

// Guards against large calls that delay the heartbeats between nodes.
Test(Protocol, OnlyConfigurationsAndLargeCallsAreBulk)
{
  TestTrace trace;
  const PlatformProtocol protocol({ "node", "", "" });
  const auto isBulk = [&](const char* aMethod, const char* aTarget) {
    return protocol.IsBulk(
      Request(aMethod, aTarget, "", api::Listener::Control));
  };
  EXPECT_THAT(trace, isBulk("GET", "/config"));
  EXPECT_THAT(trace, isBulk("PUT", "/config?x=1"));
  EXPECT_THAT(trace, !isBulk("PUT", "/instances/i-1"));
  trace.Section("a report of 3 MiB", [&] {
    EXPECT_THAT(trace,
                protocol.IsBulk(Request("PUT",
                                        "/instances/i-1",
                                        std::string(3 * 1024 * 1024, 'a'),
                                        api::Listener::Control)));
  });
  trace.Section("a queue of callers may have the same path", [&] {
    EXPECT_THAT(
      trace,
      !protocol.IsBulk(Request("GET", "/config", "", api::Listener::Callers)));
  });
}

Test(Protocol, ClassifiesCallsByTheirMethodAndPath)
{
  TestTrace trace;
  const PlatformProtocol protocol({ "node", "", "" });
  const auto classOf = [&](const char* aMethod,
                           const char* aTarget,
                           api::Listener aListener = api::Listener::Control) {
    return protocol.ClassOf(Request(aMethod, aTarget, "", aListener));
  };
  const auto callers = api::Listener::Callers;
  EXPECT_THAT(trace,
              classOf("POST", "/q/1", callers) == node::CallClass::Submission);
  EXPECT_THAT(trace, classOf("GET", "/q/1", callers) == node::CallClass::Read);
  EXPECT_THAT(trace,
              classOf("DELETE", "/q/1", callers) == node::CallClass::Order);
  EXPECT_THAT(trace,
              classOf("PUT", "/instances/i-1") == node::CallClass::Report);
  EXPECT_THAT(trace,
              classOf("DELETE", "/instances/i-1") == node::CallClass::Order);
  EXPECT_THAT(trace, classOf("PUT", "/config") == node::CallClass::Order);
  EXPECT_THAT(trace, classOf("POST", "/wave-start") == node::CallClass::Order);
  EXPECT_THAT(trace, classOf("GET", "/wave-get/3") == node::CallClass::Read);
  trace.Section("a queue of callers may have the path of an instance", [&] {
    EXPECT_THAT(trace,
                classOf("POST", "/instances/i-1", callers) ==
                  node::CallClass::Submission);
  });
}

Test(Protocol, EncodesInstructionsAndDecodesAnswers)
{
  TestTrace trace;
  const PlatformProtocol protocol({ "node", "a:1", "o:1" });
  dispatch::StartTask start;
  start.token = 5;
  start.to = { InstanceId("i-1"), "10.0.0.1:80", 7 };
  start.task = { JobId("j"), 0, 1, 2 };
  start.run = 3;
  start.leaseUntil = 5000;
  const node::OutboundRequest written = protocol.EncodeInstruction(start);
  EXPECT_EQUAL(trace, written.target, std::string("/run-start"));
  EXPECT_THAT(trace,
              written.body.find(R"("task":"j.0.1.2")") != std::string::npos);
  EXPECT_THAT(trace, written.body.find("checkpoint") == std::string::npos);
  EXPECT_EQUAL(trace, written.headers.at(1).value, std::string("i-1"));
  const auto result =
    [&](node::Delivery aDelivery, std::uint32_t aStatus, const char* aBody) {
      return std::get<dispatch::OrderAnswer>(
               protocol.DecodeAnswer(start, { aDelivery, aStatus, aBody }))
        .result;
    };
  using dispatch::OrderResult;
  using node::Delivery;
  EXPECT_EQUAL(
    trace, result(Delivery::Answered, 200, "{}"), OrderResult::Accepted);
  EXPECT_EQUAL(trace,
               result(Delivery::Answered, 409, R"({"reason":"old"})"),
               OrderResult::Superseded);
  EXPECT_EQUAL(
    trace, result(Delivery::Answered, 421, ""), OrderResult::WrongBoot);
  EXPECT_EQUAL(trace, result(Delivery::Unknown, 0, ""), OrderResult::NoAnswer);
  EXPECT_EQUAL(trace, result(Delivery::NotSent, 0, ""), OrderResult::NotSent);
  EXPECT_EQUAL(
    trace, result(Delivery::Answered, 500, ""), OrderResult::NoAnswer);
  trace.Section("malformed rows of lists are skipped", [&] {
    dispatch::RenewLease renew;
    renew.to = start.to;
    const auto lists = std::get<dispatch::LeaseAnswer>(protocol.DecodeAnswer(
      renew,
      { Delivery::Answered,
        200,
        R"({"clock_ms":9,"born":4,"running":[["j.0.0.1",2,"cp",41,7],["x"],5],
"ended":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.9",1,"vanished",""]]})" }));
    EXPECT_THAT(trace, lists.answered);
    EXPECT_EQUAL(trace, lists.boot, 4U);
    EXPECT_EQUAL(trace, lists.running.size(), 1U);
    EXPECT_EQUAL(trace, lists.running[0].load.value_or(0), 7);
    EXPECT_EQUAL(trace, lists.ended.size(), 1U);
  });
  trace.Section("only a renewal that changes nothing may be repeated", [&] {
    dispatch::RenewLease renew;
    renew.to = start.to;
    EXPECT_THAT(trace, protocol.EncodeInstruction(renew).repeatable);
    renew.lastSeen = 3;
    EXPECT_THAT(trace, !protocol.EncodeInstruction(renew).repeatable);
    renew.lastSeen = 0;
    renew.leaseUntil = 5000;
    EXPECT_THAT(trace, !protocol.EncodeInstruction(renew).repeatable);
    EXPECT_THAT(trace, !protocol.EncodeInstruction(start).repeatable);
  });
  trace.Section("an answer without lists counts as unanswered", [&] {
    dispatch::RenewLease renew;
    const auto lists = std::get<dispatch::LeaseAnswer>(protocol.DecodeAnswer(
      renew, { Delivery::Answered, 200, R"({"running":3})" }));
    EXPECT_THAT(trace, !lists.answered);
  });
}
