// What proves that an instance has returned from its maintenance, that a boot
// has ended and that an upstream no longer drains: a record does not.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;
using work::JobState;

namespace {

const InstanceId kFirst("up-1");
const InstanceId kSecond("up-2");

void
MakeReady(FakeDeployment& aDeployment, int aUpstreams)
{
  aDeployment.AddService("print");
  for (int i = 0; i < aUpstreams; ++i) {
    aDeployment.AddUpstream("print");
  }
  aDeployment.ElectLeader();
}

void
ExpectNoViolation(TestTrace& aTrace, const FakeDeployment& aDeployment)
{
  EXPECT_EQUAL(aTrace,
               aDeployment.violations.empty() ? std::string()
                                              : aDeployment.violations.front(),
               std::string());
}

} // namespace

// The instance crashed with tasks, and its next boot has another ID and another
// address. The record of the crashed boot outlives its runs.
Test(MaintenanceEvidence, TheRecordOfACrashedBootIsNoReturn)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 3);
  deployment.Run(seconds(4));
  deployment.Submit("job", "print", { MakeStep(12, 2000, seconds(1)) });
  deployment.Run(milliseconds(200));
  FakeUpstream next = deployment.upstreams.at(kFirst);
  deployment.upstreams.erase(kFirst);
  next.running.clear();
  next.highestEnded.clear();
  next.fence = 0;
  next.leaseUntil = 0;
  next.record.boot = 1000;
  next.record.address = "10.0.9.9:80";
  deployment.upstreams[InstanceId("up-9")] = next;
  trace.Section("the lost tasks run again", [&] {
    deployment.Run(seconds(9));
    EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
    EXPECT_EQUAL(trace, deployment.UpstreamsOf("print"), 3U);
  });
  deployment.StartWave(1, { "machine-1", "machine-2" }, seconds(20), 1);
  trace.Section("one instance is under maintenance at a time", [&] {
    deployment.Run(seconds(10));
    EXPECT_EQUAL(trace, deployment.maxAwayAtOnce, 1U);
    EXPECT_THAT(trace, deployment.state.Tables().waves.at(1).IsCompleted());
  });
  ExpectNoViolation(trace, deployment);
}

// An upstream restarts under its ID while the order to maintain its instance is
// on its way.
Test(MaintenanceEvidence, ARestartDuringTheOrderIsNoReturn)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 3);
  deployment.Run(seconds(4));
  deployment.StartWave(1, { "machine-1", "machine-2" }, seconds(20), 1);
  deployment.holdCommits = true;
  deployment.Run(milliseconds(300));
  deployment.Crash("up-1", true);
  deployment.Report(deployment.NextReport(kFirst));
  deployment.Run(milliseconds(100));
  deployment.holdCommits = false;
  deployment.Run(seconds(10));
  EXPECT_EQUAL(trace, deployment.maxAwayAtOnce, 1U);
  EXPECT_THAT(trace, deployment.state.Tables().waves.at(1).IsCompleted());
  ExpectNoViolation(trace, deployment);
}

// A report that was sent before the upstream began to drain arrives late, after
// the leader has changed. The sequence is known to the earlier leader only.
Test(AnnouncementEvidence, ALateReportDoesNotEndADrain)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Run(milliseconds(100));
  const dispatch::Announcement late = deployment.NextReport(kFirst);
  deployment.Drain("up-1", seconds(10));
  deployment.Run(milliseconds(100));
  EXPECT_THAT(trace, deployment.state.Tables().upstreams.at(kFirst).draining);
  deployment.ChangeLeader();
  deployment.Run(milliseconds(100));
  deployment.Report(late);
  deployment.Run(milliseconds(100));
  EXPECT_THAT(trace, deployment.state.Tables().upstreams.at(kFirst).draining);
  deployment.Submit("job", "print", { MakeStep(8, 2000, milliseconds(100)) });
  deployment.Run(milliseconds(100));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).startsSeen, 0U);
}

// A report that asks to drain arrives while an earlier report of the same boot
// is being checked. It is acknowledged.
Test(AnnouncementEvidence, AnAcknowledgedDrainIsRecordedDuringACheck)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Run(milliseconds(100));
  deployment.Crash("up-1", true);
  deployment.Report(deployment.NextReport(kFirst));
  dispatch::Announcement drain = deployment.NextReport(kFirst);
  drain.record.draining = true;
  deployment.Report(drain);
  deployment.Run(milliseconds(100));
  const std::uint32_t before = deployment.upstreams.at(kFirst).startsSeen;
  deployment.Submit("job", "print", { MakeStep(8, 2000, milliseconds(100)) });
  deployment.Run(milliseconds(100));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).startsSeen, before);
}

// All upstreams restart at the same moment and come back under their IDs with
// exchanged addresses.
Test(AnnouncementEvidence, UpstreamsThatExchangedAddressesStayInUse)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Run(milliseconds(100));
  deployment.Crash("up-1", true);
  deployment.Crash("up-2", true);
  std::swap(deployment.upstreams.at(kFirst).record.address,
            deployment.upstreams.at(kSecond).record.address);
  deployment.Report(deployment.NextReport(kFirst));
  deployment.Report(deployment.NextReport(kSecond));
  deployment.Run(seconds(8));
  EXPECT_EQUAL(trace, deployment.state.Tables().upstreams.size(), 2U);
  deployment.Submit("job", "print", { MakeStep(8, 2000, milliseconds(100)) });
  deployment.Run(milliseconds(150));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).startsSeen, 4U);
  EXPECT_EQUAL(trace, deployment.upstreams.at(kSecond).startsSeen, 4U);
}

// One row of the lists cannot be read for a long time. The other rows hold.
Test(ListEvidence, AnUnreadableRunningRowDelaysNoAcknowledgement)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  deployment.Run(milliseconds(100));
  deployment.upstreams.at(kFirst).listsOneUnreadableRow = true;
  deployment.Submit("job", "print", { MakeStep(4, 2000, milliseconds(100)) });
  deployment.Run(seconds(5));
  EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).ended.size(), 0U);
}

// The clock of the instance was set back before the upstream restarted under
// its ID, so that its start time is earlier than that of the boot before.
Test(AnnouncementEvidence, ABootWithAnEarlierStartTimeStaysInUse)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Run(milliseconds(100));
  deployment.Crash("up-2", true);
  deployment.upstreams.at(kSecond).record.boot = 1;
  deployment.Run(seconds(4));
  trace.Section("jobs end", [&] {
    deployment.Submit("job", "print", { MakeStep(8, 2000, milliseconds(100)) });
    deployment.Run(seconds(10));
    EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
  });
  ExpectNoViolation(trace, deployment);
}

// The earlier boot has accepted a start, and its answer arrives after the next
// boot was recorded. The clock in it is that of the earlier boot.
Test(LeaseEvidence, TheClockOfTheEarlierBootEndsNoLeaseOfTheNext)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Run(seconds(10));
  deployment.upstreams.at(kFirst).startAnswerDelay = milliseconds(400);
  deployment.Submit("first", "print", { MakeStep(8, 2000, milliseconds(100)) });
  deployment.Run(milliseconds(10));
  deployment.Crash("up-1", true);
  deployment.Report(deployment.NextReport(kFirst));
  deployment.Run(seconds(3));
  EXPECT_EQUAL(trace, deployment.StateOf("first"), JobState::Completed);
  deployment.upstreams.at(kFirst).startAnswerDelay = milliseconds(3);
  deployment.Submit("long", "print", { MakeStep(8, 2000, seconds(20)) });
  deployment.Run(milliseconds(500));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).running.size(), 4U);
  deployment.AddUpstream("print");
  deployment.Run(milliseconds(500));
  deployment.upstreams.at(kFirst).reachable = false;
  deployment.Run(seconds(8));
  ExpectNoViolation(trace, deployment);
}

// The leader learns of the next boot from its task lists. It has not announced
// that it drains.
Test(AnnouncementEvidence, ABootThatDoesNotDrainKeepsItsLongRunningTasks)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  deployment.Run(milliseconds(100));
  deployment.Crash("up-1", true);
  work::Step step = MakeStep(4, 2000, seconds(1));
  step.longRunning = true;
  deployment.Submit("job", "print", { step });
  deployment.Run(milliseconds(600));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).stopsSeen, 0U);
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).running.size(), 4U);
}

// A report of the boot that was taken down arrives late, after the leader has
// changed.
Test(MaintenanceEvidence, ALateReportAfterALeaderChangeIsNoReturn)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.SetMaintenanceTime(seconds(8));
  MakeReady(deployment, 3);
  deployment.Run(seconds(4));
  const dispatch::Announcement late = deployment.NextReport(kFirst);
  deployment.StartWave(1, { "machine-1", "machine-2" }, seconds(40), 1);
  trace.Section("the maintenance begins", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(2), [&] {
      return deployment.instances.at("machine-1").activeWave == 1;
    }));
    deployment.Run(milliseconds(50));
  });
  deployment.ChangeLeader();
  deployment.Run(seconds(2));
  deployment.Report(late);
  deployment.Run(seconds(4));
  EXPECT_EQUAL(trace, deployment.maxAwayAtOnce, 1U);
}

// The order to maintain an empty instance is lost, and the upstream restarts
// under its ID before the order is repeated.
Test(MaintenanceEvidence, ARepeatedOrderEndsNoTask)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 3);
  deployment.Run(seconds(4));
  deployment.ownerLosesOrders = true;
  deployment.StartWave(1, { "machine-1" }, seconds(20), 1);
  deployment.Run(milliseconds(600));
  deployment.Crash("up-1", true);
  deployment.Report(deployment.NextReport(kFirst));
  deployment.Run(milliseconds(100));
  deployment.Submit("job", "print", { MakeStep(12, 2000, seconds(2)) });
  deployment.Run(milliseconds(100));
  deployment.ownerLosesOrders = false;
  deployment.Run(seconds(1));
  EXPECT_EQUAL(trace, deployment.tasksEndedByMaintenance, 0U);
}
