// Tests of what the planner learns: which workers fail, and how large jobs
// really are.
#include "planner/FailureTracker.h"
#include "planner/LearnedSizes.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

// Guards against workers that are ejected because of jobs that fail everywhere.
Test(Learning, JobsThatFailElsewhereDoNotCount)
{
  TestTrace trace;
  planner::FailureTracker failures;
  const InstanceId worker("worker");
  const Time now{ Duration(1000000) };
  trace.Section("two jobs fail on a worker, one of them also elsewhere", [&] {
    failures.TaskFailed(worker, JobId("first"), false, now);
    failures.TaskFailed(worker, JobId("second"), false, now);
    failures.TaskFailed(InstanceId("other"), JobId("first"), true, now);
    trace.Section("the third failure is only the second one that counts", [&] {
      EXPECT_THAT(trace,
                  !failures.TaskFailed(worker, JobId("third"), false, now));
    });
    trace.Section("the fourth failure ejects the worker", [&] {
      EXPECT_THAT(trace,
                  failures.TaskFailed(worker, JobId("fourth"), false, now));
      EXPECT_THAT(
        trace, failures.TrustOf(worker, now) == planner::WorkerTrust::Ejected);
    });
    trace.Section(
      "the worker is trusted again when its jobs fail elsewhere too", [&] {
        failures.TaskFailed(InstanceId("other"), JobId("third"), true, now);
        EXPECT_THAT(trace,
                    failures.TrustOf(worker, now) ==
                      planner::WorkerTrust::Trusted);
      });
  });
}

// Guards against shares that are charged by declared sizes, and against
// placements that trust a declaration that is too small.
Test(Learning, SizesFollowTheUsageInBothDirections)
{
  TestTrace trace;
  planner::LearnedSizes sizes;
  const ServiceId service("service");
  const TeamId large("declares too much");
  const TeamId small("declares too little");
  trace.Section("both teams use 1 core; they declare 4 and a quarter", [&] {
    for (int report = 0; report < 20; ++report) {
      sizes.Learn(service, large, { 4000, 100, 0 }, { 1000, 100, 0 });
      sizes.Learn(service, small, { 250, 100, 0 }, { 1000, 100, 0 });
    }
    const auto expected = [&](const TeamId& aTeam, std::int64_t aDeclared) {
      return sizes.ExpectedUsage(service, aTeam, { aDeclared, 100, 0 })
        .milliCpus;
    };
    EXPECT_EQUAL(trace, expected(large, 4000), 1000);
    EXPECT_EQUAL(trace, expected(small, 250), 1000);
    trace.Section(
      "placement uses the larger of declared and learned size", [&] {
        EXPECT_EQUAL(
          trace,
          sizes.SizeToReserve(service, large, { 4000, 100, 0 }).milliCpus,
          4000);
        EXPECT_THAT(
          trace,
          sizes.SizeToReserve(service, small, { 250, 100, 0 }).milliCpus >=
            999);
      });
  });
}
