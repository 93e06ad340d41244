// An upstream restarts under its ID and carries out orders that were meant for
// its earlier boot. It is then cut off before the leader knows of the new boot,
// or before the new boot has seen its fencing token.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

namespace {

const InstanceId kFirst("up-1");

// One upstream of 8 cores whose first boot has run for some time.
void
MakeReady(FakeDeployment& aDeployment)
{
  aDeployment.AddService("print");
  aDeployment.AddUpstream("print");
  aDeployment.ElectLeader();
  aDeployment.Run(seconds(10));
}

// The upstream restarts. The leader hears nothing of it: renewals are lost.
void
RestartUnnoticed(FakeDeployment& aDeployment)
{
  aDeployment.upstreams.at(kFirst).losesRenewals = true;
  aDeployment.Run(milliseconds(150)); // the next long poll is lost
  aDeployment.Crash("up-1", true);
}

// The tasks run for longer than any lease.
void
SubmitLongJob(FakeDeployment& aDeployment)
{
  aDeployment.Submit("job", "print", { MakeStep(4, 2000, seconds(20)) });
}

// Cuts the upstream off while another one has room for its tasks.
void
CutOff(FakeDeployment& aDeployment)
{
  aDeployment.AddUpstream("print");
  aDeployment.upstreams.at(kFirst).reachable = false;
}

// The tasks of the upstream that is cut off run again, and never twice at the
// same time.
void
ExpectOneRunAtATime(TestTrace& aTrace, FakeDeployment& aDeployment)
{
  const FakeUpstream& second = aDeployment.upstreams.at(InstanceId("up-2"));
  aTrace.Section("its tasks run again elsewhere", [&] {
    EXPECT_THAT(aTrace, aDeployment.RunUntil(seconds(12), [&] {
      return second.running.size() == 4;
    }));
  });
  aDeployment.Run(seconds(2));
  EXPECT_EQUAL(aTrace,
               aDeployment.violations.empty() ? std::string()
                                              : aDeployment.violations.front(),
               std::string());
}

} // namespace

// Guards against two runs of a task: the lease end in an order is on the clock
// of the earlier boot, so the next boot grants its longest lease.
Test(RestartedUpstream, AStartThatTheNextBootAcceptsHoldsForTheLongestLease)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  RestartUnnoticed(deployment);
  SubmitLongJob(deployment);
  deployment.Run(milliseconds(400));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).running.size(), 4U);
  CutOff(deployment);
  ExpectOneRunAtATime(trace, deployment);
}

// The same when the answer of the next boot is lost too, so that nothing tells
// the leader of it.
Test(RestartedUpstream, AnUnansweredStartHoldsForTheLongestLease)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  RestartUnnoticed(deployment);
  deployment.upstreams.at(kFirst).dropsAnswers = true;
  SubmitLongJob(deployment);
  deployment.Run(milliseconds(100));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).running.size(), 4U);
  CutOff(deployment);
  ExpectOneRunAtATime(trace, deployment);
}

// Guards against two runs of a task: an order to the earlier boot is carried
// out by the next one after that was recorded, and before it has seen its own
// fencing token.
Test(RestartedUpstream, AnEarlierOrderIsCarriedOutAfterTheNextBootWasRecorded)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.upstreams.at(kFirst).holdsStarts = true;
  deployment.Crash("up-1", true);
  SubmitLongJob(deployment);
  trace.Section("the next boot is recorded", [&] {
    deployment.holdCommits = true;
    deployment.Report(deployment.NextReport(kFirst));
    deployment.Run(milliseconds(20));
    deployment.upstreams.at(kFirst).losesRenewals = true;
    deployment.holdCommits = false;
    deployment.Run(milliseconds(5));
    EXPECT_EQUAL(trace,
                 deployment.state.Tables().upstreams.at(kFirst).boot,
                 deployment.upstreams.at(kFirst).record.boot);
  });
  deployment.Run(milliseconds(600));
  deployment.ReleaseHeldStarts();
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).running.size(), 4U);
  CutOff(deployment);
  ExpectOneRunAtATime(trace, deployment);
}

// The same while the leader changes: the next one does not know the orders.
Test(RestartedUpstream, AStartOfTheEarlierLeaderHoldsForTheLongestLease)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  RestartUnnoticed(deployment);
  SubmitLongJob(deployment);
  deployment.Run(milliseconds(100));
  CutOff(deployment);
  deployment.ChangeLeader();
  ExpectOneRunAtATime(trace, deployment);
}

// Guards against starts on a boot that the leader does not know: the check of
// its first announcement got no answer, and the leader took the earlier boot to
// be there for the rest of a long poll.
Test(RestartedUpstream, AnAnnouncedBootGetsNoTaskBeforeItIsRecorded)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  RestartUnnoticed(deployment);
  deployment.Report(deployment.NextReport(kFirst));
  deployment.Run(milliseconds(20));
  SubmitLongJob(deployment);
  deployment.Run(milliseconds(200));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).startsSeen, 0U);
  trace.Section("it gets tasks once it answers", [&] {
    deployment.upstreams.at(kFirst).losesRenewals = false;
    EXPECT_THAT(trace, deployment.RunUntil(seconds(3), [&] {
      return deployment.upstreams.at(kFirst).running.size() == 4;
    }));
  });
  EXPECT_EQUAL(trace, deployment.violations.size(), 0U);
}

// An announcement that another writer sent does not keep a living upstream out
// of use.
Test(RestartedUpstream, AnUpstreamWhoseBootLivesOnStaysInUse)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  dispatch::Announcement foreign = deployment.NextReport(kFirst);
  foreign.record.boot += 500;
  deployment.Report(foreign);
  deployment.Run(milliseconds(20));
  SubmitLongJob(deployment);
  deployment.Run(milliseconds(100));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).running.size(), 4U);
  trace.Section("its leases are renewed", [&] {
    for (int i = 0; i < 10; ++i) {
      deployment.Report(foreign);
      deployment.Run(seconds(1));
    }
    EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).running.size(), 4U);
  });
}

// Guards against a leader that takes the answers of the next boot for those of
// the recorded one until a long poll ends.
Test(RestartedUpstream, AClockThatDoesNotFitMakesTheLeaderLook)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Submit("first", "print", { MakeStep(1, 2000, seconds(20)) });
  deployment.Run(seconds(1));
  RestartUnnoticed(deployment);
  deployment.upstreams.at(kFirst).losesRenewals = false;
  SubmitLongJob(deployment);
  deployment.Run(milliseconds(100));
  EXPECT_EQUAL(trace,
               deployment.state.Tables().upstreams.at(kFirst).boot,
               deployment.upstreams.at(kFirst).record.boot);
}

// What an ordinary crash costs: the tasks that the upstream has listed wait for
// their lease and no longer.
Test(RestartedUpstream, TasksOfACrashedUpstreamWaitForTheirLeaseOnly)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  SubmitLongJob(deployment);
  deployment.Run(seconds(3));
  deployment.AddUpstream("print");
  deployment.Run(seconds(1));
  deployment.Crash("up-1", false);
  const FakeUpstream& second = deployment.upstreams.at(InstanceId("up-2"));
  EXPECT_THAT(trace, deployment.RunUntil(milliseconds(5000), [&] {
    return second.running.size() == 4;
  }));
}
