// Tests of the settings parser.
#include "config/Settings.h"

#include "Texts.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::config;
using namespace hyssoppaddle::test;

namespace {

std::string
ValidText()
{
  return ReadSource("samples/02-three-instances/entry-1.json");
}

struct Fault
{
  const char* title;
  const char* from;
  const char* to;
  const char* path;
  const char* part; // of the message
};

constexpr Fault kFaults[] = {
  { "an unknown key", "\"cluster\":", "\"clutser\":", "/clutser", "allowed:" },
  { "a missing key", "\"cluster\":", "\"clutser\":", "/cluster", "missing" },
  { "a duplicate key",
    "\"cluster\":",
    "\"cluster\": \"x\", \"cluster\":",
    "/cluster",
    "twice" },
  { "a wrong type", "\"sample-three\"", "7", "/cluster", "a string" },
  { "a name with a space", "sample-three", "a b", "/cluster", "letters" },
  { "a host name as address",
    "127.0.0.1:7200",
    "localhost:7200",
    "/callers_address",
    "numeric IP" },
  { "an address without port",
    "127.0.0.1:7200",
    "127.0.0.1",
    "/callers_address",
    "numeric IP" },
  { "a port above the range",
    "127.0.0.1:7200",
    "127.0.0.1:70000",
    "/callers_address",
    "65535" },
  { "a negative time", "5000", "-5", "/limits/header_timeout_ms", "100" },
  { "a fractional time", "5000", "500.5", "/limits/header_timeout_ms", "100" },
  { "a time above its range",
    "30000",
    "99999999999999999999",
    "/limits/idle_timeout_ms",
    "3600000" },
  { "this instance missing from the peers",
    "\"instance\": \"entry-1\",\n  \"data",
    "\"instance\": \"entry-9\",\n  \"data",
    "/peers",
    "entry-9" },
  { "a data folder without a voter entry",
    "7202\", \"voter\": true",
    "7202\", \"voter\": false",
    "/peers/0/voter",
    "data_folder" },
  { "a voter without a data folder",
    "\"data_folder\": \"data-1\",",
    "",
    "/peers/0/voter",
    "data folder" },
  { "an even number of voters",
    "7202\", \"voter\": true",
    "7202\", \"voter\": false",
    "/peers",
    "1, 3 or 5" },
  { "two peers of one name",
    "{ \"instance\": \"entry-2\"",
    "{ \"instance\": \"entry-3\"",
    "/peers/2/instance",
    "unique" },
  { "two peers at one address",
    "127.0.0.2:7202",
    "127.0.0.3:7202",
    "/peers/2/address",
    "twice" },
  { "a peer in another data centre than this instance",
    "\"data_centre\": \"dc-a\",\n",
    "\"data_centre\": \"dc-z\",\n",
    "/peers/0/data_centre",
    "dc-z" },
  { "a peer that is no object",
    "{ \"instance\": \"entry-2\", \"data_centre\": \"dc-b\", \"address\": "
    "\"127.0.0.2:7202\", \"voter\": true }",
    "3",
    "/peers/1",
    "an object" },
};

} // namespace

// Guards against a fault in a settings file that is accepted silently or
// reported at the wrong key.
Test(SettingsParser, ReportsEveryFaultWithAllowedValues)
{
  TestTrace trace;
  for (const Fault& fault : kFaults) {
    trace.Section(fault.title, [&] {
      const std::string text = Replace(ValidText(), fault.from, fault.to);
      EXPECT_THAT(trace, !text.empty());
      const auto result = ParseSettings(text);
      EXPECT_THAT(trace, !result.has_value());
      cr_assert(HasFinding(result.error(), fault.path, fault.part),
                "%s: no finding at %s with '%s' in:%s",
                trace.Path().c_str(),
                fault.path,
                fault.part,
                ShowAll(result.error()).c_str());
    });
  }
}

// Guards against a parser that stops at the first fault, and against positions
// that are wrong after a line break or a comment.
Test(SettingsParser, ReportsAllFindingsOrderedByPosition)
{
  TestTrace trace;
  const std::string text = "// comment\n"
                           "{ /* one */ \"cluster\": 1, // two\n"
                           "  \"limits\": { \"body_bytes\": 0,\n"
                           "    \"odd\": true } }\n";
  const auto result = ParseSettings(text);
  EXPECT_THAT(trace, !result.has_value());
  const Findings& findings = result.error();
  trace.Section("a value of the wrong type after a comment", [&] {
    EXPECT_THAT(trace,
                HasFinding(findings, "/cluster", "a string, not an integer"));
    const auto found = std::ranges::find(findings, "/cluster", &Finding::path);
    EXPECT_EQUAL(trace, found->line, 2U);
    EXPECT_EQUAL(trace, found->column, 24U);
  });
  trace.Section("nested findings have their own positions", [&] {
    const auto size =
      std::ranges::find(findings, "/limits/body_bytes", &Finding::path);
    EXPECT_EQUAL(trace, size->line, 3U);
    EXPECT_EQUAL(trace, size->column, 29U);
    const auto odd = std::ranges::find(findings, "/limits/odd", &Finding::path);
    EXPECT_EQUAL(trace, odd->line, 4U);
    EXPECT_EQUAL(trace, odd->column, 5U);
  });
  trace.Section("findings are sorted by position", [&] {
    EXPECT_THAT(trace, std::ranges::is_sorted(findings, {}, &Finding::line));
  });
}

// Guards against invalid input that crashes the parser instead of giving a
// finding.
Test(SettingsParser, RejectsInvalidJson)
{
  TestTrace trace;
  for (const std::string& text : { std::string(),
                                   std::string("{"),
                                   std::string("{\"a\":1,}"),
                                   std::string("[]"),
                                   std::string("{\"a\" /* open"),
                                   std::string(100000, '['),
                                   std::string(2000000, ' '),
                                   std::string("\xff\xfe{}"),
                                   std::string("{}{}") }) {
    trace.Section("text of " + std::to_string(text.size()) + " bytes", [&] {
      const auto result = ParseSettings(text);
      EXPECT_THAT(trace, !result.has_value() && !result.error().empty());
    });
  }
}
