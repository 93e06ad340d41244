// Tests when a leader may send orders after it stood still or offered its
// leadership.
#include "node/OrderPermission.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using node::OrderPermission;
using test::TestTrace;

Test(OrderPermission, ARoundFromBeforeAPauseProvesNothing)
{
  TestTrace trace;
  OrderPermission permission;
  permission.OnElected();
  EXPECT_THAT(trace, permission.IsProven());
  permission.OnPause();
  const auto first = permission.BeginRound();
  EXPECT_THAT(trace, first.has_value());
  trace.Section("one round at a time",
                [&] { EXPECT_THAT(trace, !permission.BeginRound()); });
  trace.Section("the process stands still again before the answers", [&] {
    permission.OnPause();
    permission.EndRound(*first, true);
    EXPECT_THAT(trace, !permission.IsProven());
  });
  trace.Section("a round that began afterwards counts", [&] {
    const auto second = permission.BeginRound();
    EXPECT_THAT(trace, second.has_value());
    permission.EndRound(*second, true);
    EXPECT_THAT(trace, permission.IsProven());
    EXPECT_THAT(trace, !permission.BeginRound());
  });
}

Test(OrderPermission, AFailedRoundIsRepeated)
{
  TestTrace trace;
  OrderPermission permission;
  permission.OnPause();
  const auto first = permission.BeginRound();
  permission.EndRound(*first, false);
  EXPECT_THAT(trace, !permission.IsProven());
  EXPECT_THAT(trace, permission.BeginRound().has_value());
}

// Guards against a leader that goes on sending orders after it has told another
// voter to take over.
Test(OrderPermission, ATransferWithdrawsThePermission)
{
  TestTrace trace;
  OrderPermission permission;
  permission.OnElected();
  permission.OnTransfer();
  EXPECT_THAT(trace, !permission.IsProven());
  const auto during = permission.BeginRound();
  permission.OnTransfer(); // it still goes on
  permission.EndRound(*during, true);
  EXPECT_THAT(trace, !permission.IsProven());
  trace.Section("the next election proves it again", [&] {
    permission.OnElected();
    EXPECT_THAT(trace, permission.IsProven());
  });
}
