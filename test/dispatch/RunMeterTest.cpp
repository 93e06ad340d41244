// Counts of runs in the log.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

namespace {

// Sum of a field over all lines `run_load`.
std::uint64_t
SumOf(const FakeDeployment& aDeployment, std::string_view aField)
{
  std::uint64_t sum = 0;
  for (const dispatch::Decision& line : aDeployment.decisions) {
    for (const auto& [name, value] : line.fields) {
      const bool isCounted = line.kind == "run_load" && name == aField;
      sum += isCounted ? std::stoull(value) : 0;
    }
  }
  return sum;
}

} // namespace

Test(RunMeter, CountsRunsByOutlookAndEnd)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddUpstream("print");
  deployment.ElectLeader();
  deployment.Run(milliseconds(100));
  trace.Section("a job of three tasks ends in time", [&] {
    deployment.Submit("first", "print", { MakeStep(3, 1000, seconds(1)) });
    deployment.Run(seconds(3));
    EXPECT_EQUAL(trace, SumOf(deployment, "placed_in_time"), 3U);
    EXPECT_EQUAL(trace, SumOf(deployment, "ordered"), 3U);
    EXPECT_EQUAL(trace, SumOf(deployment, "done"), 3U);
  });
  trace.Section("a job waits until it is late", [&] {
    deployment.Submit("long", "print", { MakeStep(1, 8000, seconds(6)) });
    deployment.Submit("behind", "print", { MakeStep(1, 8000, seconds(1)) });
    deployment.Run(seconds(9));
    EXPECT_EQUAL(trace,
                 SumOf(deployment, "placed_late") +
                   SumOf(deployment, "placed_hopeless"),
                 1U);
    EXPECT_EQUAL(trace, SumOf(deployment, "stopped"), 0U);
  });
  trace.Section("no line of it is left out of the log", [&] {
    EXPECT_THAT(trace,
                std::all_of(deployment.decisions.begin(),
                            deployment.decisions.end(),
                            [](const dispatch::Decision& aLine) {
                              return aLine.kind != "run_load" ||
                                     aLine.isSummary;
                            }));
  });
}
