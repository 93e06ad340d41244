// Tests of the lease renewals of one entry instance.
#include "core/RenewalTracker.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using core::RenewalTracker;
using test::TestTrace;

namespace {

constexpr Duration kInterval = std::chrono::seconds(1);

Time
At(Duration::rep aMicroseconds)
{
  return Time(Duration(aMicroseconds));
}

} // namespace

// Guards against measuring a lease from the arrival of the reply: the lease
// would outlast the period that the leader confirmed by the time the reply
// took.
Test(RenewalTracker, MeasuresTheLeaseFromTheSendTime)
{
  TestTrace trace;
  RenewalTracker tracker(kInterval, 1);
  trace.Section("a renewal is sent at 10 us and its reply arrives later", [&] {
    const std::uint64_t nonce = tracker.Start(At(10));
    tracker.RecordReply({ nonce, 5, {} });
    trace.Section("the local log is behind the index in the reply", [&] {
      EXPECT_THAT(trace, !tracker.TakeEffective(4).has_value());
    });
    trace.Section("the local log has been applied up to that index", [&] {
      const auto renewal = tracker.TakeEffective(5);
      EXPECT_THAT(trace, renewal.has_value());
      EXPECT_EQUAL(
        trace, renewal->sentAt.time_since_epoch().count(), Duration::rep{ 10 });
      EXPECT_THAT(trace, !tracker.TakeEffective(9).has_value());
    });
  });
}

// Guards against renewing a lease again with a repeated or unknown reply.
Test(RenewalTracker, IgnoresUnexpectedReplies)
{
  TestTrace trace;
  RenewalTracker tracker(kInterval, 1);
  trace.Section("one reply arrives twice and an unknown one once", [&] {
    const std::uint64_t nonce = tracker.Start(At(10));
    tracker.RecordReply({ nonce, 1, {} });
    EXPECT_THAT(trace, tracker.TakeEffective(1).has_value());
    tracker.RecordReply({ nonce, 1, {} });
    tracker.RecordReply({ nonce + 7, 1, {} });
    EXPECT_THAT(trace, !tracker.TakeEffective(1).has_value());
  });
}

// Guards against excessive renewals while permits are scarce.
Test(RenewalTracker, LimitsUnscheduledRenewals)
{
  TestTrace trace;
  RenewalTracker tracker(kInterval, 1);
  trace.Section("a renewal has just been sent", [&] {
    tracker.Start(At(1000000));
    EXPECT_THAT(trace, !tracker.MaySendNow(At(1010000)));
    EXPECT_THAT(trace, tracker.MaySendNow(At(1020000)));
    EXPECT_THAT(trace, !tracker.IsDue(At(1999999)));
    EXPECT_THAT(trace, tracker.IsDue(At(2000000)));
  });
}

// Guards against a lease that is measured from a renewal of this process and
// confirmed by the reply to one of the process before a restart.
Test(RenewalTracker, IgnoresRepliesToAnEarlierProcess)
{
  TestTrace trace;
  RenewalTracker killed(kInterval, 1);
  RenewalTracker restarted(kInterval, 2);
  const std::uint64_t old = killed.Start(At(10));
  const std::uint64_t own = restarted.Start(At(5000));
  restarted.RecordReply({ old, 1, {} });
  EXPECT_THAT(trace, !restarted.TakeEffective(1).has_value());
  restarted.RecordReply({ own, 1, {} });
  EXPECT_THAT(trace, restarted.TakeEffective(1).has_value());
}
