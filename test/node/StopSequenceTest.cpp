// Tests of the order of a graceful stop.
#include "node/StopSequence.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{ seconds(100) };
constexpr StopProgress kBusy{ 3, false };
constexpr StopProgress kIdle{ 0, false };

} // namespace

// Guards against a stop that closes connections whose calls have no answer.
Test(StopSequence, AnswersOpenCallsBeforeItEnds)
{
  TestTrace trace;
  StopSequence stop(seconds(6));
  EXPECT_THAT(trace, stop.Next(kBusy, kStart) == StopAction::None);
  stop.Begin(kStart);
  trace.Section("it accepts calls until the load balancer has noticed", [&] {
    EXPECT_THAT(trace,
                stop.Next(kBusy, kStart + seconds(2)) == StopAction::None);
    EXPECT_THAT(trace,
                stop.Next(kBusy, kStart + milliseconds(2700)) ==
                  StopAction::StopListening);
  });
  trace.Section("open calls may complete until shortly before the end", [&] {
    EXPECT_THAT(trace,
                stop.Next(kBusy, kStart + seconds(5)) == StopAction::None);
  });
  trace.Section("then they are answered, and the answers are sent", [&] {
    EXPECT_THAT(trace,
                stop.Next(kBusy, kStart + milliseconds(5200)) ==
                  StopAction::AnswerOpenCalls);
    EXPECT_THAT(
      trace, stop.Next(kBusy, kStart + milliseconds(5300)) == StopAction::None);
    EXPECT_THAT(trace,
                stop.Next(kIdle, kStart + milliseconds(5310)) ==
                  StopAction::Finish);
  });
}

Test(StopSequence, EndsBeforeTheGracePeriodWhenIdle)
{
  TestTrace trace;
  StopSequence stop(seconds(6));
  stop.Begin(kStart);
  const Time later = kStart + milliseconds(2700);
  EXPECT_THAT(trace, stop.Next(kIdle, later) == StopAction::StopListening);
  EXPECT_THAT(trace, stop.Next(kIdle, later) == StopAction::AnswerOpenCalls);
  EXPECT_THAT(trace, stop.Next(kIdle, later) == StopAction::Finish);
  EXPECT_THAT(trace, stop.Next(kIdle, later) == StopAction::None);
}

Test(StopSequence, EndsInTimeWhenAConnectionStaysOpen)
{
  TestTrace trace;
  StopSequence stop(seconds(6));
  stop.Begin(kStart);
  const Time late = kStart + milliseconds(5800);
  EXPECT_THAT(trace, stop.Next(kBusy, late) == StopAction::StopListening);
  EXPECT_THAT(trace, stop.Next(kBusy, late) == StopAction::AnswerOpenCalls);
  EXPECT_THAT(trace, stop.Next(kBusy, late) == StopAction::Finish);
}
