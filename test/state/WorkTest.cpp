// Tests of claims, jobs, tasks and permits.
#include "Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;
using namespace hyssoppaddle::test;

namespace {

const TeamId kRed("red");
const InstanceId kEntry("e1");

ClaimRequest
MakeClaim(const Fleet& aFleet, const std::string& aKey)
{
  return { kRed, aKey, "digest", kEntry, aFleet.now };
}

ClaimOutcome
Claim(Fleet& aFleet, const ClaimRequest& aClaim)
{
  return aFleet.Apply(aClaim).claim.value_or(ClaimOutcome());
}

} // namespace

// Guards against a non-idempotent request that is run twice.
Test(Claims, AreGrantedOnce)
{
  TestTrace trace;
  Fleet fleet;
  const ClaimRequest claim = MakeClaim(fleet, "i");
  EXPECT_THAT(trace, Claim(fleet, claim).granted);
  trace.Section("a resend gets the state of the first claim", [&] {
    EXPECT_THAT(trace, Claim(fleet, claim).state == ClaimState::Running);
    fleet.Apply(FinishClaim{ kRed, "i", ClaimState::Done, 201 });
    EXPECT_THAT(trace, Claim(fleet, claim).status == 201);
  });
  trace.Section("another request with the same key is a conflict", [&] {
    ClaimRequest other = claim;
    other.requestDigest = "other";
    EXPECT_THAT(trace, CodeOf(fleet.Apply(other)) == ErrorCode::Conflict);
  });
  trace.Section(
    "the claim is kept for 24 h; a later resend is refused as too old", [&] {
      fleet.AdvanceTime(86399 * kSecond);
      EXPECT_THAT(trace, !Claim(fleet, claim).granted);
      fleet.AdvanceTime(2 * kSecond);
      EXPECT_THAT(trace,
                  CodeOf(fleet.Apply(claim)) == ErrorCode::InvalidArgument);
    });
}

// Guards against a delayed NotRun of the first attempt that ends the second
// attempt, so that a third one is granted.
Test(Claims, DelayedFinishDoesNotEndALaterAttempt)
{
  TestTrace trace;
  Fleet fleet;
  const ClaimRequest claim = MakeClaim(fleet, "i");
  fleet.Apply(claim);
  const FinishClaim notRun{ kRed, "i", ClaimState::NotRun, 0, 1 };
  fleet.Apply(notRun);
  const ClaimOutcome second = Claim(fleet, claim);
  EXPECT_THAT(trace, second.granted);
  EXPECT_EQUAL(trace, second.attempt, 2U);
  EXPECT_THAT(trace, CodeOf(fleet.Apply(notRun)) == ErrorCode::Conflict);
  EXPECT_THAT(trace, !Claim(fleet, claim).granted);
}

// Guards against dropping live claims when the table is full.
Test(Claims, AreRefusedWhenFullAndNeverDropped)
{
  TestTrace trace;
  Fleet fleet;
  for (std::size_t i = 0; i < 200000; ++i) {
    fleet.Apply(MakeClaim(fleet, std::to_string(i)));
  }
  EXPECT_THAT(trace,
              CodeOf(fleet.Apply(MakeClaim(fleet, "one more"))) ==
                ErrorCode::Unavailable);
  EXPECT_THAT(trace, !Claim(fleet, MakeClaim(fleet, "0")).granted);
  trace.Section("claims are accepted again after the retention", [&] {
    fleet.AdvanceTime(86461 * kSecond);
    EXPECT_THAT(trace, Claim(fleet, MakeClaim(fleet, "x")).granted);
    EXPECT_EQUAL(trace, fleet.state.Claims().size(), 1U);
  });
}

// Guards against jobs that wait forever because no instance can run them.
Test(Jobs, ThatCannotRunAreRefusedWithTheReason)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  trace.Section("more slots than the limit", [&] {
    const Outcome outcome = fleet.Submit("a", 11, true);
    EXPECT_THAT(trace, IsRefusedWith(outcome, "cannot_run"));
  });
  trace.Section("a size that fits no instance", [&] {
    SubmitJob job;
    job.job = JobId("b");
    job.team = kRed;
    job.service = ServiceId("on-p");
    job.size = { 4001, 1, 0 };
    EXPECT_THAT(trace, IsRefusedWith(fleet.Apply(job), "cannot_run"));
  });
  trace.Section(
    "a bundle removes the last fitting capacity while the job waits", [&] {
      EXPECT_THAT(trace, fleet.Submit("c", 1, true).Ok());
      Bundle smaller = MakeBundle(2);
      for (InstanceSpec& instance : smaller.pools[0].instances) {
        instance.capacity.milliCpus = 500;
      }
      fleet.Accept(smaller);
      EXPECT_EQUAL(trace, fleet.Job("c").state, JobState::CannotRun);
      EXPECT_THAT(trace, fleet.state.WaitingJobs(PoolId("p")).empty());
    });
}

// Guards against two live tasks of one job, and against reports of an old task
// that change a new one.
Test(Tasks, EpochsFenceOffOldTasks)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Submit("j", 2, true);
  EXPECT_THAT(trace, !fleet.Place("j", "p1", 2).Ok());
  EXPECT_THAT(trace, fleet.Place("j", "p1", 1).Ok());
  EXPECT_THAT(trace, !fleet.Place("j", "p2", 2).Ok());
  trace.Section(
    "the task fails and the job is placed on another instance", [&] {
      fleet.Report("j", "p1", 1, TaskState::Failed);
      EXPECT_EQUAL(trace, fleet.Job("j").failedOn.size(), 1U);
      EXPECT_THAT(trace, fleet.Place("j", "p2", 2).Ok());
      trace.Section("delayed reports of the first task are ignored", [&] {
        fleet.Report("j", "p1", 1, TaskState::Done);
        fleet.Report("j", "p1", 2, TaskState::Done);
        EXPECT_EQUAL(trace, fleet.Job("j").state, JobState::Placed);
      });
      trace.Section(
        "a report of an earlier boot does not renew the lease", [&] {
          const WallTime end = fleet.Job("j").task->leaseEnd;
          fleet.AdvanceTime(kSecond);
          fleet.Report("j", "p2", 2, TaskState::Running, "boot0");
          EXPECT_THAT(trace, fleet.Job("j").task->leaseEnd == end);
          fleet.Report("j", "p2", 2, TaskState::Running);
          EXPECT_THAT(trace, fleet.Job("j").task->leaseEnd == end + kSecond);
        });
    });
}

// Guards against a non-idempotent job that runs twice after its worker was
// lost, and against a lease that ends before it has expired by the worker's
// clock.
Test(Tasks, NonIdempotentOnesAreNotRunAgainAfterAnUnknownEnd)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  const auto end = [&](const char* aJob) {
    return fleet.Apply(EndTask{ JobId(aJob), 1, TaskState::Unknown, "silent" });
  };
  fleet.Submit("once", 1, false);
  fleet.Submit("again", 1, true);
  fleet.Place("once", "p1", 1);
  fleet.Place("again", "p1", 1);
  fleet.AdvanceTime(30 * kSecond + Duration(300000));
  EXPECT_THAT(trace, CodeOf(end("once")) == ErrorCode::Conflict);
  fleet.AdvanceTime(Duration(1));
  EXPECT_THAT(trace, end("once").Ok());
  EXPECT_THAT(trace, end("again").Ok());
  EXPECT_EQUAL(trace, fleet.Job("once").state, JobState::OutcomeUnknown);
  EXPECT_EQUAL(trace, fleet.Job("again").state, JobState::Waiting);
  trace.Section("a repeated submission does not run the job again", [&] {
    EXPECT_THAT(trace, fleet.Submit("once", 1, false).repeated);
    EXPECT_THAT(trace, !fleet.Place("once", "p2", 2).Ok());
  });
}

// Guards against cancelled jobs that continue, and against cancelling the jobs
// of another team.
Test(Jobs, AreCancelledOnlyByTheirTeam)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Submit("waits", 1, true);
  fleet.Submit("runs", 1, true);
  fleet.Place("runs", "p1", 1);
  const std::vector<JobId> both{ JobId("waits"), JobId("runs") };
  fleet.Apply(CancelJobs{ TeamId("blue"), both });
  EXPECT_EQUAL(trace, fleet.Job("waits").state, JobState::Waiting);
  fleet.Apply(CancelJobs{ kRed, both });
  EXPECT_EQUAL(trace, fleet.Job("waits").state, JobState::Cancelled);
  EXPECT_THAT(trace, fleet.Job("runs").task->requested == StopMode::Stop);
  fleet.Report("runs", "p1", 1, TaskState::Checkpointed);
  EXPECT_EQUAL(trace, fleet.Job("runs").state, JobState::Cancelled);
}

// Guards against a team that uses more slots than its limit.
Test(Permits, StayWithinTheLimit)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Apply(RegisterEntry{ kEntry, "b1" });
  EXPECT_THAT(trace, fleet.Ok(GrantPermits{ kEntry, "b1", kRed, 7 }));
  EXPECT_THAT(trace, !fleet.Ok(GrantPermits{ kEntry, "b1", kRed, 4 }));
  fleet.Submit("j", 3, true);
  fleet.Submit("k", 1, true);
  EXPECT_THAT(trace, fleet.Place("j", "p1", 1).Ok());
  EXPECT_THAT(trace, !fleet.Place("k", "p1", 1).Ok());
  EXPECT_EQUAL(trace, fleet.state.CommittedSlots(kRed), 10U);
  trace.Section("a lowered limit applies immediately to new grants", [&] {
    Bundle lower = MakeBundle(2);
    lower.teams[0].limit = 5;
    fleet.Accept(lower);
    EXPECT_EQUAL(trace, fleet.state.CommittedSlots(kRed), 10U);
    fleet.Apply(ReturnPermits{ kEntry, "b1", kRed, 4, 1 });
    EXPECT_THAT(trace, !fleet.Ok(GrantPermits{ kEntry, "b1", kRed, 1 }));
    fleet.Apply(ReturnPermits{ kEntry, "b1", kRed, 2, 2 });
    EXPECT_THAT(trace, fleet.Ok(GrantPermits{ kEntry, "b1", kRed, 1 }));
  });
  trace.Section("a resent return has no effect", [&] {
    const std::uint32_t before = fleet.state.CommittedSlots(kRed);
    EXPECT_THAT(
      trace, fleet.Apply(ReturnPermits{ kEntry, "b1", kRed, 2, 2 }).repeated);
    EXPECT_EQUAL(trace, fleet.state.CommittedSlots(kRed), before);
  });
}

// Guards against granting permits again while work of a crashed entry instance
// may still run.
Test(Permits, OfAnEarlierBootAreWithheld)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Apply(RegisterEntry{ kEntry, "b1" });
  fleet.Apply(GrantPermits{ kEntry, "b1", kRed, 10 });
  fleet.Apply(RegisterEntry{ kEntry, "b2" });
  EXPECT_EQUAL(trace, fleet.state.CommittedSlots(kRed), 10U);
  trace.Section("the earlier boot can neither return nor register", [&] {
    EXPECT_THAT(trace, !fleet.Ok(ReturnPermits{ kEntry, "b1", kRed, 1, 1 }));
    EXPECT_THAT(trace, !fleet.Ok(RegisterEntry{ kEntry, "b1" }));
    EXPECT_EQUAL(trace, fleet.state.Entries().at(kEntry).boot, "b2");
  });
  trace.Section(
    "withheld permits are released after the maximum deadline and margin", [&] {
      fleet.AdvanceTime(WithClockMargin(60 * kSecond) - Duration(1));
      EXPECT_THAT(trace, !fleet.Ok(GrantPermits{ kEntry, "b2", kRed, 1 }));
      fleet.AdvanceTime(Duration(1));
      EXPECT_THAT(trace, fleet.Ok(GrantPermits{ kEntry, "b2", kRed, 10 }));
    });
  trace.Section("reclaimed permits are released immediately", [&] {
    EXPECT_THAT(trace, fleet.Ok(ReclaimPermits{ kEntry, "b2" }));
    EXPECT_EQUAL(trace, fleet.state.CommittedSlots(kRed), 0U);
  });
}

// Guards against treating a task as live after its process was replaced, and
// against a resent start instruction that would run it twice.
Test(Tasks, EndWhenTheirUpstreamRestarts)
{
  TestTrace trace;
  Fleet fleet;
  fleet.Start();
  fleet.Submit("once", 1, false);
  fleet.Submit("again", 1, true);
  fleet.Place("once", "p1", 1);
  fleet.Place("again", "p1", 1);
  fleet.Announce("p1", 1, "boot2", UpstreamState::Serving, 2);
  EXPECT_EQUAL(trace, fleet.Job("once").state, JobState::OutcomeUnknown);
  EXPECT_EQUAL(trace, fleet.Job("again").state, JobState::Waiting);
  EXPECT_EQUAL(trace, fleet.state.CommittedSlots(kRed), 0U);
}
