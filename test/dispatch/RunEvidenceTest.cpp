// What proves that the runs of an upstream have ended: reports, departures and
// answers of the owner of the instances do not, answers of the upstream do.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;
using work::JobState;

namespace {

constexpr std::uint64_t kImpossibleBoot = 1'000'000'000'000'000;
const InstanceId kFirst("up-1");

// Two upstreams of four tasks each that have confirmed the leader's fencing
// token.
void
MakeReady(FakeDeployment& aDeployment)
{
  aDeployment.AddService("print");
  aDeployment.AddUpstream("print");
  aDeployment.AddUpstream("print");
  aDeployment.ElectLeader();
  aDeployment.Run(milliseconds(100));
}

// Starts a job of eight tasks, which fills both upstreams, and adds a third
// upstream where a task could run again.
void
StartJob(FakeDeployment& aDeployment)
{
  aDeployment.Submit("job", "print", { MakeStep(8, 2000, seconds(1)) });
  aDeployment.Run(milliseconds(50));
  aDeployment.AddUpstream("print");
  aDeployment.Run(milliseconds(250));
}

// Expects that the upstream receives its part of a job that fills all of them.
void
ExpectInUse(TestTrace& aTrace,
            FakeDeployment& aDeployment,
            const InstanceId& aUpstream)
{
  const auto starts = aDeployment.upstreams.at(aUpstream).startsSeen;
  const auto tasks =
    static_cast<std::uint32_t>(4 * aDeployment.UpstreamsOf("print"));
  aDeployment.Submit("later", "print", { MakeStep(tasks, 2000, seconds(1)) });
  aDeployment.Run(milliseconds(300));
  EXPECT_EQUAL(
    aTrace, aDeployment.upstreams.at(aUpstream).startsSeen, starts + 4);
  aDeployment.Run(seconds(3));
  EXPECT_EQUAL(aTrace, aDeployment.StateOf("later"), JobState::Completed);
}

void
ExpectNoViolation(TestTrace& aTrace, const FakeDeployment& aDeployment)
{
  EXPECT_EQUAL(aTrace,
               aDeployment.violations.empty() ? std::string()
                                              : aDeployment.violations.front(),
               std::string());
}

// Expects that the running job ends without a second run of a task, and that
// the first upstream receives tasks of a later job.
void
ExpectUndisturbed(TestTrace& aTrace, FakeDeployment& aDeployment)
{
  aTrace.Section("each task of the running job runs once", [&] {
    aDeployment.Run(seconds(3));
    ExpectNoViolation(aTrace, aDeployment);
    EXPECT_EQUAL(aTrace, aDeployment.StateOf("job"), JobState::Completed);
  });
  aTrace.Section("the upstream stays in use", [&] {
    ExpectInUse(aTrace, aDeployment, kFirst);
    ExpectNoViolation(aTrace, aDeployment);
  });
}

} // namespace

// An upstream restarts under its ID and carries out a start before it has
// announced its new boot.
Test(RunEvidence, AStartThatTheNextBootCarriedOutIsNotRepeated)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Crash("up-1", true);
  StartJob(deployment);
  trace.Section("the new boot has carried out starts", [&] {
    EXPECT_THAT(trace, deployment.upstreams.at(kFirst).startsSeen >= 4);
  });
  ExpectUndisturbed(trace, deployment);
}

// Ends that the earlier boot had listed were acknowledged again, to a boot that
// numbers its ends anew.
Test(RunEvidence, AnAcknowledgementOfTheEarlierBootForgetsNoEnd)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  const auto starts = [&] {
    std::uint32_t count = 0;
    for (const auto& [id, up] : deployment.upstreams) {
      count += up.startsSeen;
    }
    return count;
  };
  deployment.Submit("first", "print", { MakeStep(8, 2000, seconds(1)) });
  deployment.Run(seconds(2));
  EXPECT_EQUAL(trace, deployment.StateOf("first"), JobState::Completed);
  deployment.Crash("up-1", true);
  deployment.Submit("second", "print", { MakeStep(8, 2000, milliseconds(1)) });
  deployment.Run(seconds(3));
  EXPECT_EQUAL(trace, deployment.StateOf("second"), JobState::Completed);
  EXPECT_EQUAL(trace, starts(), 16U);
}

// The earlier boot has accepted a stop of a start that it had not carried out.
// The start is carried out after the next boot has been recorded.
Test(RunEvidence, AnOrderToTheEarlierBootIsNotCarriedOutByTheNextOne)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.upstreams.at(kFirst).holdsStarts = true;
  deployment.Submit("job", "print", { MakeStep(8, 2000, seconds(4)) });
  deployment.Run(milliseconds(50));
  deployment.upstreams.at(kFirst).holdsStarts = false;
  deployment.AddUpstream("print");
  deployment.Run(seconds(2));
  deployment.Crash("up-1", true);
  trace.Section("all tasks run again after the restart", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(2), [&] {
      return deployment.RunningOn("print") == 8;
    }));
  });
  deployment.ReleaseHeldStarts();
  deployment.Run(seconds(6));
  EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
  ExpectNoViolation(trace, deployment);
}

Test(RunEvidence, AReportWithAnImpossibleBootEndsNoRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  StartJob(deployment);
  dispatch::Announcement report = deployment.NextReport(kFirst);
  report.record.boot = kImpossibleBoot;
  deployment.Report(report);
  ExpectUndisturbed(trace, deployment);
}

Test(RunEvidence, AReportOfAnotherUpstreamOnTheInstanceEndsNoRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  StartJob(deployment);
  dispatch::Announcement report = deployment.NextReport(kFirst);
  report.id = InstanceId("other");
  report.record.boot += 5;
  trace.Section("at an address where nothing answers", [&] {
    report.record.address = "10.0.9.9:81";
    deployment.Report(report);
  });
  trace.Section("at the address of the living upstream", [&] {
    report.record.address = "10.0.0.1:80";
    report.id = InstanceId("another");
    deployment.Report(report);
  });
  ExpectUndisturbed(trace, deployment);
}

Test(RunEvidence, AReportWithAnotherAddressKeepsTheUpstreamInUse)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  StartJob(deployment);
  dispatch::Announcement report = deployment.NextReport(kFirst);
  report.record.address = "10.0.9.9:81";
  report.sequence = kImpossibleBoot;
  deployment.Report(report);
  ExpectUndisturbed(trace, deployment);
}

// A report arrives under the ID of an upstream that has not announced itself
// yet.
Test(RunEvidence, AnUpstreamReplacesAnUnconfirmedReport)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.AddUpstream("print");
  dispatch::Announcement report = deployment.NextReport(InstanceId("up-3"));
  report.record.boot = kImpossibleBoot;
  report.record.address = "10.0.9.9:81";
  FakeUpstream& living = deployment.upstreams.at(InstanceId("up-3"));
  living.reachable = false;
  deployment.Report(report);
  deployment.Run(milliseconds(100));
  living.reachable = true;
  deployment.Run(seconds(4));
  ExpectInUse(trace, deployment, InstanceId("up-3"));
  ExpectNoViolation(trace, deployment);
}

// The departure is delivered while the upstream runs on, as when it waits for
// the answer before it ends, or when the call was delayed.
Test(RunEvidence, ADepartureEndsNoRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  StartJob(deployment);
  deployment.Depart("up-1");
  ExpectUndisturbed(trace, deployment);
}

Test(RunEvidence, ADelayedDepartureDoesNotRemoveTheNextBoot)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Crash("up-1", true);
  deployment.Run(seconds(2));
  StartJob(deployment);
  deployment.Depart("up-1");
  ExpectUndisturbed(trace, deployment);
}

Test(RunEvidence, UnreadableTaskListsEndNoRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  StartJob(deployment);
  deployment.upstreams.at(kFirst).listsUnreadableRows = true;
  deployment.Run(milliseconds(500));
  ExpectNoViolation(trace, deployment);
  deployment.Run(seconds(1));
  deployment.upstreams.at(kFirst).listsUnreadableRows = false;
  ExpectUndisturbed(trace, deployment);
}

// The answer of a maintenance and the leader are lost. The next leader repeats
// the order for the boot that has returned from it, and its owner answers that
// it is done.
Test(RunEvidence, ARepeatedMaintenanceOrderEndsNoRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Run(seconds(4));
  deployment.ownerDropsAnswers = true;
  deployment.StartWave(1, { "machine-1" }, seconds(8), 1);
  trace.Section("the instance is maintained without an answer", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(2), [&] {
      return deployment.instances.at("machine-1").completedWave == 1;
    }));
  });
  deployment.ChangeLeader();
  deployment.ownerDropsAnswers = false;
  trace.Section("its next boot receives tasks under the next leader", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(4), [&] {
      return deployment.UpstreamsOf("print") == 2;
    }));
    deployment.Run(milliseconds(100));
  });
  int submitted = 0;
  const auto submit = [&] {
    deployment.Submit("job-" + std::to_string(submitted++),
                      "print",
                      { MakeStep(2, 2000, milliseconds(2500)) });
  };
  trace.Section("tasks run while the order is repeated", [&] {
    for (int i = 0; i < 20; ++i) {
      submit();
      deployment.Run(milliseconds(500));
      ExpectNoViolation(trace, deployment);
    }
  });
  trace.Section("the wave ends and the instance serves again", [&] {
    EXPECT_THAT(trace, deployment.state.Tables().waves.at(1).IsCompleted());
    deployment.Run(seconds(8));
    for (int i = 0; i < submitted; ++i) {
      EXPECT_EQUAL(trace,
                   deployment.StateOf("job-" + std::to_string(i)),
                   JobState::Completed);
    }
    ExpectInUse(trace, deployment, deployment.upstreams.rbegin()->first);
  });
  ExpectNoViolation(trace, deployment);
}

// The wait for proof costs an upstream that did restart little: its own answer
// shows that the runs of the earlier boot have ended.
Test(RunEvidence, ARestartedUpstreamFreesItsTasksAtOnce)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  StartJob(deployment);
  deployment.Crash("up-1", true);
  deployment.Report(deployment.NextReport(kFirst));
  EXPECT_THAT(trace, deployment.RunUntil(milliseconds(100), [&] {
    return deployment.RunningOn("print") == 8;
  }));
  deployment.Run(seconds(3));
  EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
  ExpectNoViolation(trace, deployment);
}

// The address of a crashed upstream goes to another one.
Test(RunEvidence, AReplacedUpstreamFreesItsTasksAtOnce)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  StartJob(deployment);
  FakeUpstream next = deployment.upstreams.at(kFirst);
  next.running.clear();
  next.record.boot = 1000;
  next.leaseUntil = 0;
  deployment.upstreams.erase(kFirst);
  deployment.upstreams[InstanceId("up-9")] = next;
  deployment.Report(deployment.NextReport(InstanceId("up-9")));
  EXPECT_THAT(trace, deployment.RunUntil(milliseconds(100), [&] {
    return deployment.RunningOn("print") == 8;
  }));
  deployment.Run(seconds(3));
  EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
  ExpectNoViolation(trace, deployment);
}

// A report from before the drain arrives after the departure, while the
// upstream still answers.
Test(RunEvidence, ALateReportDoesNotBringBackADepartedUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Run(seconds(2));
  const dispatch::Announcement late = deployment.NextReport(kFirst);
  deployment.Drain("up-1", seconds(1));
  deployment.Run(milliseconds(100));
  deployment.Depart("up-1");
  deployment.Run(milliseconds(100));
  deployment.Report(late);
  deployment.Run(milliseconds(50));
  deployment.Submit("job", "print", { MakeStep(8, 2000, milliseconds(500)) });
  deployment.Run(milliseconds(300));
  EXPECT_EQUAL(trace, deployment.upstreams.at(kFirst).startsSeen, 0U);
}
