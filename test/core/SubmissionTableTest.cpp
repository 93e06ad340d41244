// Tests of the bookkeeping of commands on their way to the log.
#include "core/SubmissionTable.h"
#include "support/Story.h"

using namespace hyssoppaddle;
using core::OriginKind;
using core::Submission;
using core::SubmissionTable;
using test::Story;

namespace {

Submission
HttpSubmission(std::uint64_t aToken, Time aDeadline)
{
  Submission submission;
  submission.origin.kind = OriginKind::Http;
  submission.origin.token = aToken;
  submission.deadline = aDeadline;
  return submission;
}

const InstanceId kLeader("n1");

} // namespace

// Guards against an answer that is given before the outcome is applied, or
// twice.
Test(SubmissionTable, PairsCommitAndOutcomeInEitherOrder)
{
  Story story;
  SubmissionTable table;
  story.Section("two proposals wait", [&] {
    const std::uint64_t first =
      table.Add(HttpSubmission(1, Time(Duration(9))), kLeader);
    const std::uint64_t second =
      table.Add(HttpSubmission(2, Time(Duration(9))), kLeader);
    story.Section("the first is applied before its commit is reported", [&] {
      table.RecordApplied(10, {});
      EXPECT_EQUAL(story, table.TakeDecided().size(), 0U);
      table.RecordCommitted(first, 10);
      const auto decided = table.TakeDecided();
      EXPECT_EQUAL(story, decided.size(), 1U);
      EXPECT_EQUAL(story, decided[0].submission.origin.token, 1U);
    });
    story.Section("the second is committed before it is applied", [&] {
      table.RecordCommitted(second, 11);
      table.RecordApplied(11, {});
      EXPECT_EQUAL(story, table.TakeDecided().size(), 1U);
    });
    story.Section("a repeated report decides nothing again", [&] {
      table.RecordApplied(11, {});
      table.RecordCommitted(second, 11);
      EXPECT_EQUAL(story, table.TakeDecided().size(), 0U);
    });
  });
}

// Guards against a submission that is lost when the connection to the leader
// ends.
Test(SubmissionTable, GivesBackWhatWasForwardedToALostPeer)
{
  Story story;
  SubmissionTable table;
  story.Section("one submission went to n1, one to n2", [&] {
    table.Add(HttpSubmission(1, Time(Duration(9))), kLeader);
    const std::uint64_t other =
      table.Add(HttpSubmission(2, Time(Duration(9))), InstanceId("n2"));
    story.Section("n1 is lost", [&] {
      const auto taken = table.TakeForwardedTo(kLeader);
      EXPECT_EQUAL(story, taken.size(), 1U);
      EXPECT_EQUAL(story, taken[0].origin.token, 1U);
      EXPECT_THAT(story, table.Take(other).has_value());
    });
  });
}

// Guards against "not run" after a deadline for a command that may be in the
// log.
Test(SubmissionTable, MarksExpiredOnesThatMayBeLogged)
{
  Story story;
  SubmissionTable table;
  story.Section("one is parked, one was sent, both expire", [&] {
    table.Park(HttpSubmission(1, Time(Duration(5))));
    table.Add(HttpSubmission(2, Time(Duration(5))), kLeader);
    const auto expired = table.TakeExpired(Time(Duration(5)));
    EXPECT_EQUAL(story, expired.size(), 2U);
    for (const Submission& submission : expired) {
      const bool wasSent = submission.origin.token == 2;
      EXPECT_EQUAL(story, submission.mayBeLogged, wasSent);
    }
  });
}
