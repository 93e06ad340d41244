// Tests of the bundle parser.
#include "config/BundleParser.h"

#include "Texts.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::config;
using namespace hyssoppaddle::test;

namespace {

std::string
ValidText()
{
  return ReadSource("samples/02-three-instances/bundle.json");
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
  { "a version that is not base + 1",
    "\"version\": 1",
    "\"version\": 3",
    "/version",
    "base + 1" },
  { "an unknown data centre",
    "\"data_centre\": \"dc-b\"",
    "\"data_centre\": \"dc-x\"",
    "/pools/0/instances/1/data_centre",
    "dc-x" },
  { "an unknown workspace",
    "\"workspace\": \"press\"",
    "\"workspace\": \"none\"",
    "/teams/0/workspace",
    "none" },
  { "an unknown pool",
    "\"pool\": \"print\"",
    "\"pool\": \"prnit\"",
    "/services/0/pool",
    "prnit" },
  { "two data centres of one name",
    "\"dc-b\", \"region\"",
    "\"dc-a\", \"region\"",
    "/data_centres/1/name",
    "unique" },
  { "two pools of one name",
    "\"name\": \"spare\"",
    "\"name\": \"print\"",
    "/pools/1/name",
    "unique" },
  { "two teams of one name",
    "\"name\": \"batches\"",
    "\"name\": \"runs\"",
    "/teams/1/name",
    "unique" },
  { "two services of one name",
    "\"name\": \"store\"",
    "\"name\": \"print\"",
    "/services/1/name",
    "unique" },
  { "an instance twice in one pool",
    "\"print-2\"",
    "\"print-1\"",
    "/pools/0/instances/1/name",
    "twice" },
  { "an instance in two pools",
    "\"spare-1\"",
    "\"print-1\"",
    "/pools/1/instances/0/name",
    "exactly one pool" },
  { "min_available above the pool size",
    "\"min_available\": 2",
    "\"min_available\": 4",
    "/pools/0/min_available",
    "at most" },
  { "a limit of 0", "\"limit\": 24", "\"limit\": 0", "/teams/0/limit", "1 to" },
  { "a share of 0", "\"share\": 3", "\"share\": 0", "/teams/0/share", "1 to" },
  { "a negative amount of memory",
    "\"memory_mb\": 8192",
    "\"memory_mb\": -1",
    "/pools/0/capacity/memory_mb",
    "1 to" },
  { "an instance without any capacity",
    "\"capacity\": { \"milli_cpus\": 4000, \"memory_mb\": 8192 },",
    "",
    "/pools/0/instances/0/capacity",
    "missing" },
  { "an open service without its team",
    "\"class\": \"print\"",
    "\"class\": \"print\", \"open\": true",
    "/services/0/open_team",
    "charged" },
  { "an open service with an unknown team",
    "\"class\": \"print\"",
    "\"class\": \"print\", \"open\": true, \"open_team\": \"x\"",
    "/services/0/open_team",
    "no team" },
  { "a team on a service that is not open",
    "\"class\": \"print\"",
    "\"class\": \"print\", \"open_team\": \"runs\"",
    "/services/0/open_team",
    "only when" },
  { "an unknown class",
    "\"class\": \"print\"",
    "\"class\": \"urgent\"",
    "/services/0/class",
    "preview, print, archive" },
  { "a weight above 1",
    "\"soak_seconds\"",
    "\"nearness_weight\": 1.5, \"soak_seconds\"",
    "/policy/nearness_weight",
    "0 to 1" },
  { "a key of an older version",
    "\"soak_seconds\"",
    "\"soak_time\"",
    "/policy/soak_time",
    "soak_seconds" },
};

} // namespace

// Guards against an invalid bundle that is detected only when it is rolled out.
Test(BundleParser, ReportsEveryFaultWithAllowedValues)
{
  TestTrace trace;
  for (const Fault& fault : kFaults) {
    trace.Section(fault.title, [&] {
      const std::string text = Replace(ValidText(), fault.from, fault.to);
      EXPECT_THAT(trace, !text.empty());
      const auto result = ParseBundle(text);
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

// Guards against values that are parsed but stored in another field or unit.
Test(BundleParser, KeepsEveryValue)
{
  TestTrace trace;
  const auto result = ParseBundle(ValidText());
  EXPECT_THAT(trace, result.has_value());
  const state::Bundle& bundle = *result;
  trace.Section("pools", [&] {
    EXPECT_EQUAL(trace, bundle.pools.size(), 2U);
    EXPECT_EQUAL(trace, bundle.pools[0].minAvailable, 2U);
    EXPECT_THAT(trace, bundle.pools[1].spare);
    EXPECT_EQUAL(trace, bundle.pools[0].instances[2].capacity.milliCpus, 4000);
  });
  trace.Section("teams and services", [&] {
    EXPECT_EQUAL(trace, bundle.teams[0].limit, 24U);
    EXPECT_EQUAL(trace, bundle.teams[0].share, 3U);
    EXPECT_EQUAL(
      trace, bundle.services[1].workClass, state::WorkClass::Archive);
    EXPECT_EQUAL(trace, bundle.services[1].queueLimit, 5000U);
  });
  trace.Section("times are in microseconds", [&] {
    EXPECT_EQUAL(trace, bundle.policy.soakTime, Duration(30000000));
  });
}

// Guards against a digest that differs from the published BLAKE2b-256 of "abc".
Test(BundleParser, DigestIsBlake2b256)
{
  TestTrace trace;
  EXPECT_EQUAL(
    trace,
    BundleDigest("abc"),
    "bddd813c634239723171ef3fee98579b94964e3bb1cb3e427262c8c068d52319");
}
