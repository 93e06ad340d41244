// Tests of what the planner learns: which workers fail, and how large jobs
// really are.
#include "planner/FailureTracker.h"
#include "planner/LearnedSizes.h"
#include "support/Story.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

// Guards against workers that are ejected because of jobs that fail everywhere.
Test(Learning, JobsThatFailElsewhereDoNotCount)
{
  Story story;
  planner::FailureTracker failures;
  const InstanceId worker("worker");
  const Time now{ Duration(1000000) };
  story.Section("two jobs fail on a worker, one of them also elsewhere", [&] {
    failures.TaskFailed(worker, JobId("first"), false, now);
    failures.TaskFailed(worker, JobId("second"), false, now);
    failures.TaskFailed(InstanceId("other"), JobId("first"), true, now);
    story.Section("the third failure is only the second one that counts", [&] {
      EXPECT_THAT(story,
                  !failures.TaskFailed(worker, JobId("third"), false, now));
    });
    story.Section("the fourth failure ejects the worker", [&] {
      EXPECT_THAT(story,
                  failures.TaskFailed(worker, JobId("fourth"), false, now));
      EXPECT_THAT(
        story, failures.TrustOf(worker, now) == planner::WorkerTrust::Ejected);
    });
    story.Section(
      "the worker is trusted again when its jobs fail elsewhere too", [&] {
        failures.TaskFailed(InstanceId("other"), JobId("third"), true, now);
        EXPECT_THAT(story,
                    failures.TrustOf(worker, now) ==
                      planner::WorkerTrust::Trusted);
      });
  });
}

// Guards against shares that are charged by declared sizes, and against
// placements that trust a declaration that is too small.
Test(Learning, SizesFollowTheUsageInBothDirections)
{
  Story story;
  planner::LearnedSizes sizes;
  const ServiceId service("service");
  const TeamId large("declares too much");
  const TeamId small("declares too little");
  story.Section("both teams use 1 core; they declare 4 and a quarter", [&] {
    for (int report = 0; report < 20; ++report) {
      sizes.Learn(service, large, { 4000, 100, 0 }, { 1000, 100, 0 });
      sizes.Learn(service, small, { 250, 100, 0 }, { 1000, 100, 0 });
    }
    const auto expected = [&](const TeamId& aTeam, std::int64_t aDeclared) {
      return sizes.ExpectedUsage(service, aTeam, { aDeclared, 100, 0 })
        .milliCpus;
    };
    EXPECT_EQUAL(story, expected(large, 4000), 1000);
    EXPECT_EQUAL(story, expected(small, 250), 1000);
    story.Section(
      "placement uses the larger of declared and learned size", [&] {
        EXPECT_EQUAL(
          story,
          sizes.SizeToReserve(service, large, { 4000, 100, 0 }).milliCpus,
          4000);
        EXPECT_THAT(
          story,
          sizes.SizeToReserve(service, small, { 250, 100, 0 }).milliCpus >=
            999);
      });
  });
}
