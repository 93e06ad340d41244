// Tests of the table of submitted commands.
#include "core/SubmissionTable.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using core::OriginKind;
using core::Submission;
using core::SubmissionTable;
using test::TestTrace;

namespace {

Submission
MakeHttpSubmission(std::uint64_t aToken, Time aDeadline)
{
  Submission submission;
  submission.origin.kind = OriginKind::Http;
  submission.origin.token = aToken;
  submission.deadline = aDeadline;
  return submission;
}

const InstanceId kLeader("n1");

} // namespace

// Guards against answering a command before its outcome has been applied, and
// against answering it twice.
Test(SubmissionTable, PairsCommitAndOutcomeInEitherOrder)
{
  TestTrace trace;
  SubmissionTable table(1);
  trace.Section("two commands have been proposed", [&] {
    const std::uint64_t first =
      table.Add(MakeHttpSubmission(1, Time(Duration(9))), kLeader);
    const std::uint64_t second =
      table.Add(MakeHttpSubmission(2, Time(Duration(9))), kLeader);
    trace.Section("the first is applied before its commit is reported", [&] {
      table.RecordApplied(10, {});
      EXPECT_EQUAL(trace, table.TakeDecided().size(), 0U);
      table.RecordCommitted(first, 10);
      const auto decided = table.TakeDecided();
      EXPECT_EQUAL(trace, decided.size(), 1U);
      EXPECT_EQUAL(trace, decided[0].submission.origin.token, 1U);
    });
    trace.Section("the second is committed before it is applied", [&] {
      table.RecordCommitted(second, 11);
      table.RecordApplied(11, {});
      EXPECT_EQUAL(trace, table.TakeDecided().size(), 1U);
    });
    trace.Section("repeated reports decide nothing", [&] {
      table.RecordApplied(11, {});
      table.RecordCommitted(second, 11);
      EXPECT_EQUAL(trace, table.TakeDecided().size(), 0U);
    });
  });
}

// Guards against losing a submission when the connection to the leader ends.
Test(SubmissionTable, TakesSubmissionsForwardedToALostPeer)
{
  TestTrace trace;
  SubmissionTable table(1);
  trace.Section("one submission is sent to n1, one to n2", [&] {
    table.Add(MakeHttpSubmission(1, Time(Duration(9))), kLeader);
    const std::uint64_t other =
      table.Add(MakeHttpSubmission(2, Time(Duration(9))), InstanceId("n2"));
    trace.Section("n1 is lost", [&] {
      const auto taken = table.TakeForwardedTo(kLeader);
      EXPECT_EQUAL(trace, taken.size(), 1U);
      EXPECT_EQUAL(trace, taken[0].origin.token, 1U);
      EXPECT_THAT(trace, table.Take(other).has_value());
    });
  });
}

// Guards against reporting an expired command as not run although it may be in
// the log.
Test(SubmissionTable, MarksExpiredSubmissionsThatMayBeLogged)
{
  TestTrace trace;
  SubmissionTable table(1);
  trace.Section("one submission is parked and one sent, and both expire", [&] {
    table.Park(MakeHttpSubmission(1, Time(Duration(5))));
    table.Add(MakeHttpSubmission(2, Time(Duration(5))), kLeader);
    const auto expired = table.TakeExpired(Time(Duration(5)));
    EXPECT_EQUAL(trace, expired.size(), 2U);
    for (const Submission& submission : expired) {
      const bool wasSent = submission.origin.token == 2;
      EXPECT_EQUAL(trace, submission.mayBeLogged, wasSent);
    }
  });
}

// Guards against taking the reply to a command of the process before a restart
// for that to a command of this one.
Test(SubmissionTable, IgnoresTokensOfAnEarlierProcess)
{
  TestTrace trace;
  SubmissionTable killed(1);
  SubmissionTable restarted(2);
  const std::uint64_t old =
    killed.Add(MakeHttpSubmission(1, Time(Duration(9))), kLeader);
  const std::uint64_t own =
    restarted.Add(MakeHttpSubmission(2, Time(Duration(9))), kLeader);
  EXPECT_THAT(trace, !restarted.Take(old).has_value());
  EXPECT_THAT(trace, restarted.Take(own).has_value());
}
