// Tests of the decision to accept or reject a job at the leader.
#include "dispatch/FakeDeployment.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

namespace {

// 200 cores, and work of 40 s for each of them.
void
MakeOverloaded(FakeDeployment& aDeployment)
{
  aDeployment.AddService("print");
  for (int i = 0; i < 25; ++i) {
    aDeployment.AddUpstream("print");
  }
  aDeployment.ElectLeader();
  aDeployment.Run(seconds(2));
  for (int i = 0; i < 40; ++i) {
    aDeployment.Submit("backlog-" + std::to_string(i),
                       "print",
                       { MakeStep(200, 1000, seconds(1)) });
  }
  aDeployment.Run(milliseconds(500));
}

} // namespace

// Guards against an overload that lasts because a rejection costs the leader
// more than an acceptance: rejected callers come back, and each of them made
// the leader look at all upstreams and jobs.
Test(Admission, RejectionsInAPeakShareOneMeasurementOfTheLoad)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeOverloaded(deployment);
  const std::uint64_t before = deployment.LoadMeasurements();
  std::size_t rejected = 0;
  for (int i = 0; i < 300; ++i) {
    rejected +=
      deployment.Offer("print", { MakeStep(4, 1000, seconds(1)) }) ? 1 : 0;
  }
  EXPECT_EQUAL(trace, rejected, 300U);
  EXPECT_THAT(trace, deployment.LoadMeasurements() - before <= 2);
  trace.Section("the load is measured again after a tenth of a second", [&] {
    deployment.Run(milliseconds(120));
    (void)deployment.Offer("print", { MakeStep(4, 1000, seconds(1)) });
    EXPECT_THAT(trace, deployment.LoadMeasurements() - before > 2);
  });
}

Test(Admission, JobsAcceptedSinceTheMeasurementCount)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddUpstream("print");
  deployment.ElectLeader();
  deployment.Run(seconds(2));
  const auto offer = [&] {
    return deployment.Offer("print", { MakeStep(8, 1000, seconds(1)) });
  };
  EXPECT_THAT(trace, !offer());
  const std::uint64_t before = deployment.LoadMeasurements();
  trace.Section("a burst fills the backlog between two measurements", [&] {
    for (int i = 0; i < 40; ++i) {
      deployment.Submit(
        "job-" + std::to_string(i), "print", { MakeStep(8, 1000, seconds(1)) });
    }
    deployment.Run(milliseconds(20));
    EXPECT_THAT(trace, offer().has_value());
    EXPECT_THAT(trace, deployment.LoadMeasurements() - before <= 1);
  });
}
