// Tests of the order in which waiting calls are handled.
#include "node/CallQueue.h"
#include "support/TestTrace.h"

#include <array>
#include <string>
#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMaxBytes = 1000;

struct QueueFixture
{
  Time now{ seconds(100) };
  std::vector<std::string> gone;      // targets of the calls of gone callers
  std::vector<std::string> notServed; // targets of the calls given back
  CallQueue queue{
    [this](const QueuedCall& aCall, CallQueue::DiscardReason aReason) {
      (aReason == CallQueue::DiscardReason::CallerGone ? this->gone
                                                       : this->notServed)
        .push_back(aCall.request.target);
    },
    kMaxBytes
  };

  void Push(CallClass aClass,
            const std::string& aTarget,
            Duration aTimeLeft = seconds(2))
  {
    QueuedCall call;
    call.callClass = aClass;
    call.request.target = aTarget;
    call.arrivedAt = this->now;
    call.answerBy = this->now + aTimeLeft;
    this->queue.Push(std::move(call));
  }
  void PushBytes(CallClass aClass,
                 const std::string& aTarget,
                 std::size_t aBytes)
  {
    QueuedCall call;
    call.callClass = aClass;
    call.request.target = aTarget;
    call.request.body.assign(aBytes, 'x');
    call.arrivedAt = this->now;
    call.answerBy = this->now + seconds(2);
    this->queue.Push(std::move(call));
  }

  // The target of the next call; empty without one.
  std::string Pop(Duration aElapsed = milliseconds(1))
  {
    const auto call = this->queue.Pop(this->now);
    if (!call) {
      return "";
    }
    this->queue.Charge(call->callClass, aElapsed);
    return call->request.target;
  }
};

} // namespace

Test(CallQueue, ServesAClassInTheOrderOfArrivalWhileItKeepsUp)
{
  TestTrace trace;
  QueueFixture fixture;
  EXPECT_THAT(trace, fixture.queue.IsEmpty());
  fixture.Push(CallClass::Read, "first");
  fixture.now += milliseconds(100);
  fixture.Push(CallClass::Read, "second");
  EXPECT_EQUAL(trace, fixture.Pop(), "first");
  EXPECT_EQUAL(trace, fixture.Pop(), "second");
  EXPECT_EQUAL(trace, fixture.Pop(), "");
  EXPECT_THAT(trace, fixture.queue.IsEmpty());
}

// Guards against a leader that is always just too late for the call it handles.
Test(CallQueue, ServesTheNewestCallsOfAClassThatIsBehind)
{
  TestTrace trace;
  QueueFixture fixture;
  fixture.Push(CallClass::Submission, "old");
  fixture.now += milliseconds(100);
  fixture.Push(CallClass::Submission, "newer");
  fixture.Push(CallClass::Report, "report 1");
  fixture.Push(CallClass::Report, "report 2");
  fixture.now += milliseconds(60);
  trace.Section("the class that keeps up is served in order", [&] {
    EXPECT_EQUAL(trace, fixture.Pop(), "newer");
    EXPECT_EQUAL(trace, fixture.Pop(), "report 1");
    EXPECT_EQUAL(trace, fixture.Pop(), "old");
    EXPECT_EQUAL(trace, fixture.Pop(), "report 2");
  });
}

// Guards against work for callers that have given up and called again.
Test(CallQueue, DropsTheCallsOfCallersThatHaveGone)
{
  TestTrace trace;
  QueueFixture fixture;
  fixture.Push(CallClass::Submission, "long", seconds(2));
  fixture.Push(CallClass::Submission, "short", milliseconds(500));
  fixture.Push(CallClass::Read, "read", milliseconds(400));
  fixture.now += milliseconds(500);
  EXPECT_EQUAL(trace, fixture.Pop(), "long");
  EXPECT_EQUAL(trace, fixture.Pop(), "");
  EXPECT_EQUAL(trace, fixture.gone.size(), 2U);
  EXPECT_THAT(trace, fixture.notServed.empty());
  trace.Section("a caller that waits, but not for long, learns it at once",
                [&] {
                  fixture.Push(CallClass::Order, "order", milliseconds(890));
                  fixture.now += milliseconds(800);
                  EXPECT_EQUAL(trace, fixture.Pop(), "");
                  EXPECT_EQUAL(trace, fixture.notServed.at(0), "order");
                });
  trace.Section("a call that arrives with little time is served at once", [&] {
    fixture.Push(CallClass::Order, "urgent", milliseconds(40));
    EXPECT_EQUAL(trace, fixture.Pop(), "urgent");
  });
}

Test(CallQueue, SharesTheTimeByWeights)
{
  TestTrace trace;
  QueueFixture fixture;
  constexpr std::array kAll{
    CallClass::Order, CallClass::Submission, CallClass::Read, CallClass::Report
  };
  const std::array<std::string, 4> names{
    "order", "submission", "read", "report"
  };
  // Reads cost half as much as the other calls.
  const auto serve = [&](int aCalls) {
    std::array<int, 4> served{};
    for (int i = 0; i < aCalls; ++i) {
      for (std::size_t k = 0; k < kAll.size(); ++k) {
        fixture.Push(kAll[k], names[k]);
      }
      const auto call = fixture.queue.Pop(fixture.now);
      const bool isRead = call->callClass == CallClass::Read;
      fixture.queue.Charge(call->callClass, milliseconds(isRead ? 1 : 2));
      ++served[static_cast<std::size_t>(call->callClass)];
    }
    return served;
  };
  const std::array<int, 4> served = serve(240);
  EXPECT_EQUAL(trace, served[0], 80);
  EXPECT_EQUAL(trace, served[1], 40);
  EXPECT_EQUAL(trace, served[2], 80);
  EXPECT_EQUAL(trace, served[3], 40);
}

// Guards against a class that displaces the others after a quiet time.
Test(CallQueue, AClassThatHadNoCallsGainsNoCredit)
{
  TestTrace trace;
  QueueFixture fixture;
  for (int i = 0; i < 200; ++i) {
    fixture.Push(CallClass::Read, "read");
    EXPECT_EQUAL(trace, fixture.Pop(milliseconds(5)), "read");
  }
  for (int i = 0; i < 20; ++i) {
    fixture.Push(CallClass::Read, "read");
    fixture.Push(CallClass::Report, "report");
  }
  int reads = 0;
  for (int i = 0; i < 20; ++i) {
    reads += fixture.Pop(milliseconds(5)) == "read" ? 1 : 0;
  }
  // The report that comes first may use the turn of the last read.
  EXPECT_THAT(trace, reads >= 9);
  EXPECT_THAT(trace, reads <= 10);
}

// Guards against a class that displaces the others because nothing is charged
// for it.
Test(CallQueue, CallsWithoutAMeasurableTimeShareByTheirNumber)
{
  TestTrace trace;
  QueueFixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.Push(CallClass::Read, "read");
    fixture.Push(CallClass::Report, "report");
  }
  int reads = 0;
  for (int i = 0; i < 20; ++i) {
    reads += fixture.Pop(Duration(0)) == "read" ? 1 : 0;
  }
  EXPECT_EQUAL(trace, reads, 10);
}

Test(CallQueue, ReturnsTheOldestCallOfAFullClass)
{
  TestTrace trace;
  QueueFixture fixture;
  fixture.Push(CallClass::Order, "order");
  for (std::size_t i = 0; i < CallQueue::kMaxWaiting; ++i) {
    fixture.Push(CallClass::Read, std::to_string(i));
  }
  EXPECT_THAT(trace, fixture.notServed.empty());
  fixture.Push(CallClass::Read, "last");
  EXPECT_EQUAL(trace, fixture.notServed.size(), 1U);
  EXPECT_EQUAL(trace, fixture.notServed.at(0), "0");
  trace.Section("at the end of the leadership all calls are returned", [&] {
    fixture.queue.DiscardAll();
    EXPECT_EQUAL(trace, fixture.notServed.size(), CallQueue::kMaxWaiting + 2);
    EXPECT_THAT(trace, fixture.queue.IsEmpty());
  });
}

// Guards against callers whose waiting bodies fill the memory of the leader.
Test(CallQueue, LimitsTheBytesThatWait)
{
  TestTrace trace;
  QueueFixture fixture;
  fixture.PushBytes(CallClass::Report, "report", 300);
  fixture.PushBytes(CallClass::Submission, "first", 400);
  fixture.PushBytes(CallClass::Submission, "second", 300);
  EXPECT_EQUAL(trace, fixture.queue.Bytes(), kMaxBytes);
  trace.Section("the oldest call of the class with most bytes gives way", [&] {
    fixture.PushBytes(CallClass::Report, "report 2", 1);
    EXPECT_EQUAL(trace, fixture.notServed.size(), 1U);
    EXPECT_EQUAL(trace, fixture.notServed.at(0), "first");
    EXPECT_EQUAL(trace, fixture.queue.Bytes(), 601U);
  });
  trace.Section("a call over the limit is given back itself", [&] {
    fixture.PushBytes(CallClass::Submission, "large", kMaxBytes + 1);
    EXPECT_EQUAL(trace, fixture.notServed.back(), "large");
  });
  trace.Section("calls that are served make room", [&] {
    while (!fixture.Pop().empty()) {
    }
    EXPECT_EQUAL(trace, fixture.queue.Bytes(), 0U);
    fixture.PushBytes(CallClass::Order, "order", kMaxBytes);
    EXPECT_EQUAL(trace, fixture.Pop(), "order");
  });
}
