// Tests of the lease renewals of one entry instance.
#include "core/RenewalTracker.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using core::RenewalTracker;
using test::TestTrace;

namespace {

constexpr Duration kInterval{ 1000000 };

Time
At(Duration::rep aMicroseconds)
{
  return Time(Duration(aMicroseconds));
}

} // namespace

// Guards against a lease that counts from the arrival of the answer: it would
// outlast what the leader has confirmed by the time the answer was on its way.
Test(RenewalTracker, CountsFromTheSendingOfTheRenewal)
{
  TestTrace trace;
  RenewalTracker tracker(kInterval);
  trace.Section("a renewal is sent at 10 and answered much later", [&] {
    const std::uint64_t nonce = tracker.Start(At(10));
    tracker.Answered({ nonce, 5, {} });
    trace.Section("the log is behind the index in the answer", [&] {
      EXPECT_THAT(trace, !tracker.TakeEffective(4).has_value());
    });
    trace.Section("the log has been applied up to it", [&] {
      const auto renewal = tracker.TakeEffective(5);
      EXPECT_THAT(trace, renewal.has_value());
      EXPECT_EQUAL(
        trace, renewal->sentAt.time_since_epoch().count(), Duration::rep{ 10 });
      EXPECT_THAT(trace, !tracker.TakeEffective(9).has_value());
    });
  });
}

// Guards against an answer of an earlier request that renews again.
Test(RenewalTracker, IgnoresAnswersThatItDoesNotWaitFor)
{
  TestTrace trace;
  RenewalTracker tracker(kInterval);
  trace.Section("an answer arrives twice and an unknown one once", [&] {
    const std::uint64_t nonce = tracker.Start(At(10));
    tracker.Answered({ nonce, 1, {} });
    EXPECT_THAT(trace, tracker.TakeEffective(1).has_value());
    tracker.Answered({ nonce, 1, {} });
    tracker.Answered({ nonce + 7, 1, {} });
    EXPECT_THAT(trace, !tracker.TakeEffective(1).has_value());
  });
}

// Guards against a flood of renewals while permits run short.
Test(RenewalTracker, LimitsRenewalsOutOfTurn)
{
  TestTrace trace;
  RenewalTracker tracker(kInterval);
  trace.Section("one was just sent", [&] {
    tracker.Start(At(1000000));
    EXPECT_THAT(trace, !tracker.MaySendNow(At(1010000)));
    EXPECT_THAT(trace, tracker.MaySendNow(At(1020000)));
    EXPECT_THAT(trace, !tracker.IsDue(At(1999999)));
    EXPECT_THAT(trace, tracker.IsDue(At(2000000)));
  });
}
