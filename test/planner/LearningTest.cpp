// What the planner learns: who fails with whom, and how large jobs really are.
#include "planner/FailureTracker.h"
#include "planner/LearnedSizes.h"
#include "support/Story.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

// Guards against workers that are taken out because of jobs that fail
// everywhere.
Test(Learning, JobsThatFailElsewhereAreNoEvidence)
{
  Story story;
  planner::FailureTracker failures;
  const InstanceId worker("worker");
  const Time now{ Duration(1000000) };
  story.Section("two jobs fail on a worker, one of them also elsewhere", [&] {
    failures.TaskFailed(worker, JobId("first"), false, now);
    failures.TaskFailed(worker, JobId("second"), false, now);
    failures.TaskFailed(InstanceId("other"), JobId("first"), true, now);
    story.Section("a third failure is only the second that counts", [&] {
      EXPECT_THAT(story,
                  !failures.TaskFailed(worker, JobId("third"), false, now));
    });
    story.Section("a fourth one takes the worker out", [&] {
      EXPECT_THAT(story,
                  failures.TaskFailed(worker, JobId("fourth"), false, now));
      EXPECT_THAT(
        story, failures.TrustOf(worker, now) == planner::WorkerTrust::TakenOut);
    });
    story.Section("it returns when its evidence fails elsewhere too", [&] {
      failures.TaskFailed(InstanceId("other"), JobId("third"), true, now);
      EXPECT_THAT(
        story, failures.TrustOf(worker, now) == planner::WorkerTrust::Trusted);
    });
  });
}

// Guards against shares that are charged by what a team declares, and against
// a fit that trusts too small a declaration.
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
      return sizes.Expected(service, aTeam, { aDeclared, 100, 0 }).milliCpus;
    };
    EXPECT_EQUAL(story, expected(large, 4000), 1000);
    EXPECT_EQUAL(story, expected(small, 250), 1000);
    story.Section("the fit uses the larger of declared and learned", [&] {
      EXPECT_EQUAL(
        story, sizes.Size(service, large, { 4000, 100, 0 }).milliCpus, 4000);
      EXPECT_THAT(story,
                  sizes.Size(service, small, { 250, 100, 0 }).milliCpus >= 999);
    });
  });
}
