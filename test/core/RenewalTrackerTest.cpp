// Tests of the lease renewals of one entry instance.
#include "core/RenewalTracker.h"
#include "support/Story.h"

using namespace hyssoppaddle;
using core::RenewalTracker;
using test::Story;

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
  Story story;
  RenewalTracker tracker(kInterval);
  story.Section("a renewal is sent at 10 and answered much later", [&] {
    const std::uint64_t nonce = tracker.Start(At(10));
    tracker.RecordReply({ nonce, 5, {} });
    story.Section("the log is behind the index in the answer", [&] {
      EXPECT_THAT(story, !tracker.TakeEffective(4).has_value());
    });
    story.Section("the log has been applied up to it", [&] {
      const auto renewal = tracker.TakeEffective(5);
      EXPECT_THAT(story, renewal.has_value());
      EXPECT_EQUAL(
        story, renewal->sentAt.time_since_epoch().count(), Duration::rep{ 10 });
      EXPECT_THAT(story, !tracker.TakeEffective(9).has_value());
    });
  });
}

// Guards against an answer of an earlier request that renews again.
Test(RenewalTracker, IgnoresAnswersThatItDoesNotWaitFor)
{
  Story story;
  RenewalTracker tracker(kInterval);
  story.Section("an answer arrives twice and an unknown one once", [&] {
    const std::uint64_t nonce = tracker.Start(At(10));
    tracker.RecordReply({ nonce, 1, {} });
    EXPECT_THAT(story, tracker.TakeEffective(1).has_value());
    tracker.RecordReply({ nonce, 1, {} });
    tracker.RecordReply({ nonce + 7, 1, {} });
    EXPECT_THAT(story, !tracker.TakeEffective(1).has_value());
  });
}

// Guards against a flood of renewals while permits run short.
Test(RenewalTracker, LimitsRenewalsOutOfTurn)
{
  Story story;
  RenewalTracker tracker(kInterval);
  story.Section("one was just sent", [&] {
    tracker.Start(At(1000000));
    EXPECT_THAT(story, !tracker.MaySendNow(At(1010000)));
    EXPECT_THAT(story, tracker.MaySendNow(At(1020000)));
    EXPECT_THAT(story, !tracker.IsDue(At(1999999)));
    EXPECT_THAT(story, tracker.IsDue(At(2000000)));
  });
}
