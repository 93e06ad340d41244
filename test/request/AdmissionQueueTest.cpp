// Tests of the admission queue: order, fairness, starvation protection and
// early rejection.
#include "request/AdmissionQueue.h"
#include "request/Fleet.h"
#include "request/TeamBacklog.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using state::WorkClass;

namespace {

const FairQueue::Eligible kAll = [](const TeamId&) { return true; };

class Queue
{
public:
  void Push(const std::string& aTeam,
            std::uint32_t aShare,
            WorkClass aClass,
            Time aDeadline)
  {
    AdmissionRequest admission;
    admission.item = { ++this->number, TeamId(aTeam), aDeadline };
    admission.workClass = aClass;
    admission.share = aShare;
    admission.queueLimit = 1000;
    this->queue.Push(admission, this->now);
  }

  AdmissionQueue queue;
  Time now{ Seconds(100) };
  std::uint64_t number = 0;
};

} // namespace

// Guards against a team that gets more slot time than its share by sending many
// or long requests.
Test(AdmissionQueue, SharesSlotTimeByWeight)
{
  TestTrace trace;
  Queue test;
  std::map<TeamId, Duration> used;
  const auto runTime = [](const TeamId& aTeam) {
    return aTeam == TeamId("long") ? Seconds(0.4) : Seconds(0.1);
  };
  trace.Section(
    "three teams always have queued requests, one slot serves them", [&] {
      for (int serve = 0; serve < 3000; ++serve) {
        while (test.queue.SizeOf(TeamId("long")) < 3) {
          test.Push("long", 1, WorkClass::Print, test.now + Seconds(30));
        }
        while (test.queue.SizeOf(TeamId("short")) < 20) {
          test.Push("short", 1, WorkClass::Print, test.now + Seconds(30));
        }
        while (test.queue.SizeOf(TeamId("heavy")) < 20) {
          test.Push("heavy", 3, WorkClass::Print, test.now + Seconds(30));
        }
        const auto next = test.queue.Pop(kAll, test.now);
        const Duration time = runTime(next->item.team);
        used[next->item.team] += time;
        test.now += time;
        test.queue.OnEnded(
          next->item.team, next->workClass, next->charged, time);
      }
      const auto share = [&](const char* aTeam) {
        return static_cast<double>(used[TeamId(aTeam)].count()) /
               static_cast<double>((test.now - Time(Seconds(100))).count());
      };
      trace.Section("slot time is 1 : 1 : 3 within 2%", [&] {
        EXPECT_THAT(trace, std::abs(share("long") - 0.2) < 0.02);
        EXPECT_THAT(trace, std::abs(share("short") - 0.2) < 0.02);
        EXPECT_THAT(trace, std::abs(share("heavy") - 0.6) < 0.02);
      });
    });
}

// Guards against a request that is served before one of its team with an
// earlier deadline, and against a team without permits that blocks the others.
Test(AdmissionQueue, EarliestDeadlineFirstOfEligibleTeams)
{
  TestTrace trace;
  Queue test;
  test.Push("a", 1, WorkClass::Print, test.now + Seconds(9));
  test.Push("a", 1, WorkClass::Print, test.now + Seconds(2));
  test.Push("b", 1, WorkClass::Print, test.now + Seconds(1));
  const auto onlyA = [](const TeamId& aTeam) { return aTeam == TeamId("a"); };
  const auto pop = [&] {
    const auto next = test.queue.Pop(onlyA, test.now);
    return next ? next->item.request : 0;
  };
  EXPECT_EQUAL(trace, pop(), 2U);
  EXPECT_EQUAL(trace, pop(), 1U);
  EXPECT_EQUAL(trace, pop(), 0U);
  EXPECT_EQUAL(trace, test.queue.Size(), 1U);
}

// Guards against a team that accumulates credit while it has no permits and
// then monopolizes the queue.
Test(AdmissionQueue, TimeWithoutPermitsGivesNoCredit)
{
  TestTrace trace;
  Queue test;
  for (int item = 0; item < 400; ++item) {
    test.Push("a", 1, WorkClass::Print, test.now + Seconds(50));
    test.Push("b", 1, WorkClass::Print, test.now + Seconds(50));
  }
  const auto serve = [&](const FairQueue::Eligible& aEligible) {
    const auto next = test.queue.Pop(aEligible, test.now);
    test.queue.OnEnded(
      next->item.team, next->workClass, next->charged, Seconds(0.1));
    return next->item.team;
  };
  for (int turn = 0; turn < 200; ++turn) {
    serve([](const TeamId& aTeam) { return aTeam == TeamId("a"); });
  }
  int ofB = 0;
  for (int turn = 0; turn < 100; ++turn) {
    ofB += serve(kAll) == TeamId("b") ? 1 : 0;
  }
  EXPECT_THAT(trace, ofB >= 45 && ofB <= 60);
}

// Guards against the starvation of archive requests under a steady load of more
// urgent classes.
Test(AdmissionQueue, NoClassStarvesLongerThan30Seconds)
{
  TestTrace trace;
  Queue test;
  test.Push("a", 1, WorkClass::Archive, test.now + Seconds(600));
  test.Push("a", 1, WorkClass::Archive, test.now + Seconds(600));
  Time last = test.now;
  int served = 0;
  for (int step = 0; step < 600; ++step) {
    test.now += Seconds(0.1);
    test.Push("a", 1, WorkClass::Preview, test.now + Seconds(5));
    test.Push("b", 1, WorkClass::Print, test.now + Seconds(5));
    const auto next = test.queue.Pop(kAll, test.now);
    if (next->workClass == WorkClass::Archive) {
      EXPECT_THAT(trace, test.now - last <= Seconds(30));
      last = test.now;
      ++served;
    }
  }
  EXPECT_EQUAL(trace, served, 2);
}

// Guards against queueing requests that cannot meet their deadline, and against
// rejecting requests before a service rate was measured.
Test(AdmissionQueue, RefusesEarlyByTheMeasuredRate)
{
  TestTrace trace;
  Queue test;
  const auto evaluate = [&](Duration aLeft) {
    AdmissionRequest admission;
    admission.item = { 9999, TeamId("a"), test.now + aLeft };
    admission.queueLimit = 1000;
    return test.queue.Evaluate(admission, test.now);
  };
  for (int item = 0; item < 200; ++item) {
    test.Push("a", 1, WorkClass::Print, test.now + Seconds(40));
  }
  trace.Section("accepted while no rate was measured", [&] {
    EXPECT_EQUAL(trace,
                 evaluate(Seconds(41)).result,
                 AdmissionQueue::AdmissionResult::Accepted);
  });
  for (int serve = 0; serve < 40; ++serve) {
    test.now += Seconds(0.1);
    const auto next = test.queue.Pop(kAll, test.now);
    test.queue.OnEnded(
      next->item.team, next->workClass, next->charged, Seconds(0.1));
  }
  trace.Section("160 are queued and 10 start per second", [&] {
    const auto late = evaluate(Seconds(41));
    EXPECT_EQUAL(trace, late.result, AdmissionQueue::AdmissionResult::Accepted);
    trace.Section("rejected if its deadline in 10 s is behind them", [&] {
      for (int item = 0; item < 200; ++item) {
        test.Push("a", 1, WorkClass::Print, test.now + Seconds(5));
      }
      const auto verdict = evaluate(Seconds(10));
      EXPECT_EQUAL(
        trace, verdict.result, AdmissionQueue::AdmissionResult::TooLate);
      EXPECT_THAT(trace, verdict.retryAfter > Seconds(8));
      EXPECT_THAT(trace, verdict.retryAfter < Seconds(14));
    });
    trace.Section("accepted if its deadline precedes all others", [&] {
      EXPECT_EQUAL(trace,
                   evaluate(Seconds(2)).result,
                   AdmissionQueue::AdmissionResult::Accepted);
    });
  });
}

// Guards against a permit that goes to archive requests of a team while its
// urgent requests in another service are queued, and against the starvation of
// the archive requests.
Test(TeamBacklog, OffersPermitsToTheUrgentClassFirst)
{
  TestTrace trace;
  TeamBacklog backlog;
  const TeamId team("a");
  Time now{ Seconds(100) };
  backlog.OnWaiting(team, ServiceId("archive"), WorkClass::Archive, now);
  backlog.OnWaiting(team, ServiceId("quotes"), WorkClass::Preview, now);
  backlog.OnWaiting(team, ServiceId("quotes"), WorkClass::Preview, now);
  const auto first = [&] {
    const std::vector<ServiceId> order = backlog.Services(team, now);
    return order.at(0);
  };
  EXPECT_EQUAL(trace, first(), ServiceId("quotes"));
  now += Seconds(19);
  backlog.OnLeft(team, ServiceId("quotes"), WorkClass::Preview, true, now);
  EXPECT_EQUAL(trace, first(), ServiceId("quotes"));
  now += Seconds(1);
  EXPECT_EQUAL(trace, first(), ServiceId("archive"));
  backlog.OnLeft(team, ServiceId("archive"), WorkClass::Archive, true, now);
  EXPECT_EQUAL(trace, first(), ServiceId("quotes"));
}
