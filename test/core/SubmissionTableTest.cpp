// Tests of the bookkeeping of commands on their way to the log.
#include "core/SubmissionTable.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using core::OriginKind;
using core::Submission;
using core::SubmissionTable;
using test::TestTrace;

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
  TestTrace trace;
  SubmissionTable table;
  trace.Section("two proposals wait", [&] {
    const std::uint64_t first =
      table.Add(HttpSubmission(1, Time(Duration(9))), kLeader);
    const std::uint64_t second =
      table.Add(HttpSubmission(2, Time(Duration(9))), kLeader);
    trace.Section("the first is applied before its commit is reported", [&] {
      table.Applied(10, {});
      EXPECT_EQUAL(trace, table.TakeDecided().size(), 0U);
      table.Committed(first, 10);
      const auto decided = table.TakeDecided();
      EXPECT_EQUAL(trace, decided.size(), 1U);
      EXPECT_EQUAL(trace, decided[0].submission.origin.token, 1U);
    });
    trace.Section("the second is committed before it is applied", [&] {
      table.Committed(second, 11);
      table.Applied(11, {});
      EXPECT_EQUAL(trace, table.TakeDecided().size(), 1U);
    });
    trace.Section("a repeated report decides nothing again", [&] {
      table.Applied(11, {});
      table.Committed(second, 11);
      EXPECT_EQUAL(trace, table.TakeDecided().size(), 0U);
    });
  });
}

// Guards against a submission that is lost when the connection to the leader
// ends.
Test(SubmissionTable, GivesBackWhatWasForwardedToALostPeer)
{
  TestTrace trace;
  SubmissionTable table;
  trace.Section("one submission went to n1, one to n2", [&] {
    table.Add(HttpSubmission(1, Time(Duration(9))), kLeader);
    const std::uint64_t other =
      table.Add(HttpSubmission(2, Time(Duration(9))), InstanceId("n2"));
    trace.Section("n1 is lost", [&] {
      const auto taken = table.TakeForwardedTo(kLeader);
      EXPECT_EQUAL(trace, taken.size(), 1U);
      EXPECT_EQUAL(trace, taken[0].origin.token, 1U);
      EXPECT_THAT(trace, table.Take(other).has_value());
    });
  });
}

// Guards against "not run" after a deadline for a command that may be in the
// log.
Test(SubmissionTable, MarksExpiredOnesThatMayBeLogged)
{
  TestTrace trace;
  SubmissionTable table;
  trace.Section("one is parked, one was sent, both expire", [&] {
    table.Park(HttpSubmission(1, Time(Duration(5))));
    table.Add(HttpSubmission(2, Time(Duration(5))), kLeader);
    const auto expired = table.TakeExpired(Time(Duration(5)));
    EXPECT_EQUAL(trace, expired.size(), 2U);
    for (const Submission& submission : expired) {
      const bool wasSent = submission.origin.token == 2;
      EXPECT_EQUAL(trace, submission.mayBeLogged, wasSent);
    }
  });
}
