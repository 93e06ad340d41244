// Table tests of the readers of calls with odd fields: each call is rejected.
#include "../../platform/Decode.h"
#include "../../platform/JsonFields.h"
#include "../../platform/PeerSeeds.h"
#include "../../platform/PlatformProtocol.h"

#include "OddValues.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::platform;

namespace {

std::vector<std::string>
OddAddresses()
{
  return { "",
           "10.0.0.9",
           "10.0.0.9:",
           "10.0.0.9:0",
           "10.0.0.9:-1",
           "10.0.0.9:65536",
           "10.0.0.9:99999",
           "10.0.0.9:+80",
           "10.0.0.9:80a",
           "10.0.0.9:123456789012345678901234567890",
           ":80",
           "host.example:80",
           "10.0.0:80",
           "10.0.0.999:80",
           "10.0.0.9\\n:80",
           "10.0.0.9:80\\r\\nX-Api-Key: k",
           "10.0.0.9\\u0000:80",
           "::1:80",
           "[::1]",
           "[::1]:0",
           "[10.0.0.9]:80" };
}

Fields
Report()
{
  return { { "service", Quoted("s") },
           { "address", Quoted("10.0.0.9:80") },
           { "zone", Quoted("z") },
           { "state", Quoted("ready") },
           { "machine", Quoted("m-1") },
           { "born", "77" },
           { "capacity", R"({"cpu":16000,"mem_mb":32768,"gpu":1})" },
           { "labels", R"(["a","r1-3"])" },
           { "sequence", "4" } };
}

bool
AcceptsReport(const std::string& aKey, const std::string& aValue)
{
  return DecodeAnnouncement("i-1", Object(Report(), aKey, aValue)).has_value();
}

std::string
StepWith(const std::string& aField)
{
  return R"({"spec":"","steps":[{"count":1,)" + aField + "}]}";
}

node::Call
Control(const char* aMethod, std::string aTarget, std::string aBody = {})
{
  const PlatformProtocol protocol({ "node", "", "" });
  api::HttpRequest request;
  request.method = aMethod;
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  request.listener = api::Listener::Control;
  return protocol.Decode(request);
}

bool
IsMalformed(const node::Call& aCall)
{
  return std::holds_alternative<node::MalformedCall>(aCall);
}

} // namespace

// Guards against an upstream that is recorded with an address that no client
// can connect to, or with a number that was converted to another one.
Test(OddEntries, StatusReportsWithOddFieldsAreRejected)
{
  TestTrace trace;
  EXPECT_THAT(trace, AcceptsReport("zone", Quoted("z")));
  trace.Section("addresses", [&] {
    for (const std::string& address : OddAddresses()) {
      trace.Section(address, [&] {
        EXPECT_THAT(trace, !AcceptsReport("address", Quoted(address)));
      });
    }
    EXPECT_THAT(trace, AcceptsReport("address", Quoted("10.0.0.9:65535")));
    EXPECT_THAT(trace, AcceptsReport("address", Quoted("[::1]:1")));
  });
  trace.Section("numbers", [&] {
    for (const std::string& number : OddNumbers()) {
      trace.Section(number, [&] {
        EXPECT_THAT(trace, !AcceptsReport("sequence", number));
        EXPECT_THAT(trace, !AcceptsReport("born", number));
        EXPECT_THAT(
          trace, !AcceptsReport("capacity", Object({ { "mem_mb", number } })));
      });
    }
    EXPECT_THAT(trace, AcceptsReport("sequence", "1000000000000000"));
    EXPECT_THAT(trace, AcceptsReport("sequence", "-0"));
    EXPECT_THAT(trace, !AcceptsReport("remaining_ms", "-1"));
    EXPECT_THAT(trace, !AcceptsReport("remaining_ms", "1e300"));
  });
  trace.Section("other types, names and sizes", [&] {
    const std::string longText = Quoted(std::string(3 * 1024 * 1024, 'a'));
    const std::string manyLabels =
      "[" + Repeated(R"("a",)", 100'000) + R"("a"])";
    const std::vector<std::pair<std::string, std::string>> rows = {
      { "service", "7" },       { "service", Quoted("") },
      { "service", longText },  { "address", "[]" },
      { "address", "null" },    { "state", Quoted("asleep") },
      { "state", "null" },      { "zone", "{}" },
      { "zone", longText },     { "machine", "1" },
      { "machine", longText },  { "labels", "[1]" },
      { "labels", "{}" },       { "labels", "[" + longText + "]" },
      { "labels", manyLabels }, { "capacity", "[]" },
      { "zone", Quoted("") },   { "cold_remaining_ms", "-1" },
      { "zone", "null" },       { "cold_remaining_ms", "[]" },
    };
    for (const auto& [key, value] : rows) {
      trace.Section(key + " " + value.substr(0, 12), [&, k = key, v = value] {
        EXPECT_THAT(trace, !AcceptsReport(k, v));
      });
    }
  });
  trace.Section("no data centre", [&] {
    Fields fields = Report();
    std::erase_if(fields,
                  [](const auto& aField) { return aField.first == "zone"; });
    EXPECT_THAT(trace, !DecodeAnnouncement("i-1", Object(fields)));
  });
  trace.Section("the last of two equal keys counts", [&] {
    Fields twice = Report();
    twice.emplace_back("sequence", "5");
    EXPECT_EQUAL(trace, DecodeAnnouncement("i-1", Object(twice))->sequence, 5U);
    twice.emplace_back("address", Quoted("10.0.0.9:0"));
    EXPECT_THAT(trace, !DecodeAnnouncement("i-1", Object(twice)));
  });
}

// Guards against IDs that can't be sent in a header or that name another path.
Test(OddEntries, ReportsAndDeparturesOfOddIdsAreRejected)
{
  TestTrace trace;
  for (const std::string& id : { std::string(),
                                 std::string("i-1/i-2"),
                                 std::string("i-1\n"),
                                 std::string("i-1\r\nX-Api-Key: k"),
                                 std::string("i\0-1", 4),
                                 std::string("i-\xff"),
                                 std::string(9000, 'i') }) {
    trace.Section(id.substr(0, 8), [&] {
      EXPECT_THAT(trace, !DecodeAnnouncement(id, Object(Report())));
      EXPECT_THAT(trace, IsMalformed(Control("DELETE", "/instances/" + id)));
    });
  }
  EXPECT_THAT(trace, DecodeAnnouncement("i.1", Object(Report())).has_value());
  EXPECT_THAT(trace, !IsMalformed(Control("DELETE", "/instances/i.1")));
}

// Guards against numbers of jobs that are converted to others or whose sums
// overflow, and against jobs that take more memory than their text.
Test(OddEntries, JobsAndWavesWithOddFieldsAreRejected)
{
  TestTrace trace;
  EXPECT_THAT(trace, DecodeJob(StepWith(R"("cpu":1)")).has_value());
  for (const std::string& number : OddNumbers()) {
    trace.Section(number, [&] {
      EXPECT_THAT(trace, !DecodeJob(StepWith("\"cpu\":" + number)));
      EXPECT_THAT(trace, !DecodeJob(StepWith("\"anti_affinity\":" + number)));
      EXPECT_THAT(
        trace,
        !DecodeWave(Object({ { "wave", number }, { "machines", "[]" } })));
      const auto second = [&](const std::string& aAfter) {
        return DecodeJob(R"({"steps":[{"count":1},{"count":1,"after":[)" +
                         aAfter + "]}]}");
      };
      EXPECT_THAT(trace, second("0").has_value());
      EXPECT_THAT(trace, !second(number));
    });
  }
  trace.Section("amounts whose sum over the tasks overflows", [&] {
    EXPECT_THAT(
      trace,
      !DecodeJob(R"({"steps":[{"count":20000,"cpu":1000000000000000}]})"));
  });
  trace.Section("a step number that narrows to an earlier step", [&] {
    EXPECT_THAT(
      trace,
      !DecodeJob(
        R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})"));
  });
  trace.Section("more preceding steps than there are", [&] {
    EXPECT_THAT(trace,
                !DecodeJob(R"({"steps":[{"count":1},{"count":1,"after":[)" +
                           Repeated("0,", 100'000) + "0]}]}"));
  });
  trace.Section("texts that are too long", [&] {
    const std::string longText = Quoted(std::string(3 * 1024 * 1024, 'a'));
    EXPECT_THAT(trace, !DecodeJob(StepWith("\"image\":" + longText)));
    EXPECT_THAT(
      trace, !DecodeJob(R"({"steps":[{"count":1}],"spec":)" + longText + "}"));
  });
  trace.Section("steps without end", [&] {
    EXPECT_THAT(trace,
                !DecodeJob(R"({"steps":[)" +
                           Repeated(R"({"count":1},)", 300'000) +
                           R"({"count":1}]})"));
  });
  trace.Section("numbers of waves in paths", [&] {
    for (const char* number :
         { "", "-1", "1.5", "x", "18446744073709551616", "1/2" }) {
      EXPECT_THAT(
        trace, IsMalformed(Control("GET", std::string("/wave-get/") + number)));
    }
  });
}

// Guards against a configuration that is in force although a part of it can't
// be read.
Test(OddEntries, ConfigurationsWithOddFieldsAreRejected)
{
  TestTrace trace;
  const Fields route = {
    { "name", Quoted("q") },          { "host", Quoted("h") },
    { "path_prefix", Quoted("/q/") }, { "service", Quoted("s") },
    { "timeout_ms", "3000" },         { "priority", "1" }
  };
  const auto accepts = [&](const std::string& aVersion,
                           const std::string& aRoute) {
    return DecodeSetup(R"({"version":)" + aVersion + R"(,"routes":[)" + aRoute +
                       R"(],"services":[{"name":"s"}],"limits":{}})")
      .has_value();
  };
  EXPECT_THAT(trace, accepts("7", Object(route)));
  for (const std::string& number : OddNumbers()) {
    trace.Section(number, [&] {
      EXPECT_THAT(trace, !accepts(number, Object(route)));
      EXPECT_THAT(trace, !accepts("7", Object(route, "priority", number)));
    });
  }
  for (const char* key : { "name", "host", "path_prefix", "service" }) {
    trace.Section(key, [&] {
      EXPECT_THAT(trace, !accepts("7", Object(route, key, "null")));
      EXPECT_THAT(trace, !accepts("7", Object(route, key, "[]")));
    });
  }
  EXPECT_THAT(trace, !accepts("7", Object(route, "timeout_ms", "-1")));
  EXPECT_THAT(trace, !accepts("7", Object(route, "timeout_ms", "1e300")));
}

// Guards against a settings file that ends the processes of all nodes that read
// it again.
Test(OddEntries, SettingsWithOddSeedsAreRejected)
{
  TestTrace trace;
  node::NodeSettings settings;
  settings.peersAddress = "10.0.0.1:4000";
  settings.seeds = { "10.0.0.1:80", "[::1]:80" };
  EXPECT_THAT(trace, ToPeerAddresses(settings).has_value());
  EXPECT_EQUAL(trace, settings.seeds[0], std::string("10.0.0.1:4000"));
  EXPECT_EQUAL(trace, settings.seeds[1], std::string("[::1]:4000"));
  for (const std::string& address : OddAddresses()) {
    trace.Section(address, [&] {
      settings.seeds = { "10.0.0.1:80", address };
      const auto converted = ToPeerAddresses(settings);
      EXPECT_THAT(trace,
                  !converted &&
                    converted.error().code == ErrorCode::InvalidArgument);
    });
  }
}

// Guards against bodies of legal size whose values take many times their size.
Test(OddCalls, JsonOfManyValuesOrLevelsIsNotDecoded)
{
  TestTrace trace;
  constexpr std::size_t kBytes = 4UL * 1024 * 1024;
  const auto repeat = [](std::string_view aText, std::size_t aTimes) {
    std::string text;
    for (std::size_t i = 0; i < aTimes; ++i) {
      text += aText;
    }
    return text;
  };
  trace.Section("two million levels", [&] {
    const std::string text = repeat("[", kBytes / 2) + repeat("]", kBytes / 2);
    EXPECT_THAT(trace, ParseJsonText(text).is_discarded());
  });
  trace.Section("two million elements", [&] {
    const std::string text = "[" + repeat("0,", kBytes / 2 - 1) + "0]";
    EXPECT_THAT(trace, ParseJsonText(text).is_discarded());
  });
  trace.Section("half a million members", [&] {
    std::string text = "{";
    for (int i = 0; text.size() < kBytes; ++i) {
      text += "\"" + std::to_string(i) + "\":0,";
    }
    EXPECT_THAT(trace, ParseJsonText(text + "\"z\":0}").is_discarded());
  });
  trace.Section("a string of the same size is decoded", [&] {
    const std::string text = "\"" + repeat("\\\",[", kBytes / 4) + "\"";
    EXPECT_THAT(trace, ParseJsonText(text).is_string());
  });
  trace.Section("a configuration of the same size is decoded", [&] {
    const std::string route =
      R"({"name":"r-35ieisp","host":"pule25.example","path_prefix":"/tije37/",)"
      R"("kind":"non_idempotent","timeout_ms":3000,"target_completion_ms":2500,)"
      R"("priority":0,"service":"lovo22d","max_attempts":3,"stretch":2.2,)"
      R"("allow_anonymous":true},)";
    const std::string text = R"({"version":7,"routes":[)" +
                             repeat(route, kBytes / route.size()) + "{}]}";
    EXPECT_THAT(trace, ParseJsonText(text).is_object());
  });
}
