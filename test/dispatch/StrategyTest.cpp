// The small strategies: order of work, admission, placement, leases, tickets.
#include "dispatch/Admission.h"
#include "dispatch/LeaseClock.h"
#include "dispatch/Placement.h"
#include "dispatch/TicketBook.h"
#include "dispatch/WorkOrder.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::RankOf;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const WallTime kNow{ seconds(1000) };

dispatch::JobView
View(double aWork, Duration aChain, Duration aObjectiveIn)
{
  dispatch::JobView view;
  view.remainingWork = aWork;
  view.remainingChain = aChain;
  view.objective = kNow + aObjectiveIn;
  view.latest = kNow + aObjectiveIn * 3;
  return view;
}

work::JobSpec
Spec(Duration aEstimate)
{
  work::JobSpec spec;
  work::Step step;
  step.estimate = aEstimate;
  spec.steps.push_back(step);
  return spec;
}

} // namespace

// The load pattern of WorkOrder: more waits than can end in time.
Test(WorkOrder, PutsJobsThatCanStillBeInTimeFirst)
{
  TestTrace trace;
  const auto inTime = View(9000, seconds(1), seconds(3));
  const auto small = View(1000, seconds(1), seconds(3));
  const auto late = View(500, seconds(8), seconds(3));
  auto lost = View(100, seconds(40), seconds(3));
  trace.Section("the smaller of two that can be in time goes first", [&] {
    EXPECT_THAT(trace, RankOf(small, 1, kNow) < RankOf(inTime, 1, kNow));
  });
  trace.Section("one that is late goes after them, however small", [&] {
    EXPECT_THAT(trace, RankOf(inTime, 1, kNow) < RankOf(late, 1, kNow));
    EXPECT_THAT(trace, RankOf(late, 1, kNow) < RankOf(lost, 1, kNow));
  });
  trace.Section("a workspace above its share waits longer", [&] {
    EXPECT_THAT(trace, RankOf(small, 0.5, kNow) < RankOf(small, 2, kNow));
  });
  trace.Section("priority comes before size", [&] {
    auto urgent = inTime;
    urgent.priority = 0;
    auto other = small;
    other.priority = 1;
    EXPECT_THAT(trace, RankOf(urgent, 1, kNow) < RankOf(other, 1, kNow));
  });
  trace.Section("a large job ages past small ones", [&] {
    auto old = inTime;
    old.objective = kNow - seconds(2) + old.remainingChain;
    old.remainingChain = milliseconds(100);
    old.objective = kNow + milliseconds(60);
    EXPECT_THAT(trace,
                RankOf(old, 1, kNow + milliseconds(5)).outlook ==
                  dispatch::WorkRank::Outlook::InTime);
  });
}

Test(Admission, RejectsOnlyWhatWouldBeWorthNothing)
{
  TestTrace trace;
  work::Queue queue;
  queue.stretch = 1.6;
  queue.targetCompletion = milliseconds(600);
  const work::JobSpec spec =
    Spec(seconds(1)); // objective 2.2 s, worth to 6.6 s
  trace.Section("a backlog of 5 s is accepted", [&] {
    EXPECT_THAT(trace, !dispatch::RetryAfter({ 50000, 10, 0, 1 }, queue, spec));
  });
  trace.Section("one of 10 s names the time that it needs", [&] {
    const auto retry = dispatch::RetryAfter({ 100000, 10, 0, 1 }, queue, spec);
    EXPECT_THAT(trace, retry.has_value());
    EXPECT_THAT(trace, *retry > seconds(3) && *retry < seconds(4));
  });
  trace.Section("instances that can move here count", [&] {
    EXPECT_THAT(trace,
                !dispatch::RetryAfter({ 100000, 10, 10, 1 }, queue, spec));
  });
  trace.Section("a lasting job is never turned away by it", [&] {
    work::JobSpec lasting = spec;
    lasting.steps[0].lasting = true;
    EXPECT_THAT(trace,
                !dispatch::RetryAfter({ 100000, 10, 0, 1 }, queue, lasting));
  });
}

Test(Placement, FillsTheFullestUpstreamThatStillHoldsTheTask)
{
  TestTrace trace;
  dispatch::Sessions sessions;
  const Time now{ seconds(10) };
  for (const char* name : { "a", "b", "c" }) {
    work::Upstream record;
    record.service = ServiceId("s");
    record.capacity = { 8000, 1000, 0 };
    record.labels = { "kind", std::string("rack-") + name };
    dispatch::UpstreamSession session(record, now, now);
    session.fenced = true;
    sessions.emplace(InstanceId(name), session);
  }
  sessions.at(InstanceId("b")).used.milliCpus = 5000;
  work::Step step;
  step.size = { 2000, 100, 0 };
  dispatch::PlacementQuery query;
  query.step = &step;
  query.service = ServiceId("s");
  query.now = now;
  const auto chosen = [&] {
    const dispatch::UpstreamSession* session = Place(sessions, query);
    return session == nullptr ? std::string("none") : session->record.Rack();
  };
  EXPECT_EQUAL(trace, chosen(), std::string("rack-b"));
  trace.Section("the rack of the data comes first", [&] {
    step.dataRack = "rack-c";
    EXPECT_EQUAL(trace, chosen(), std::string("rack-c"));
    step.dataRack.clear();
  });
  trace.Section("not where the task failed last", [&] {
    query.avoid = InstanceId("b");
    EXPECT_THAT(trace, chosen() != "rack-b");
    query.avoid = InstanceId();
  });
  trace.Section("not on one that is silent, unfenced or draining", [&] {
    sessions.at(InstanceId("b")).unanswered = 1;
    sessions.at(InstanceId("a")).fenced = false;
    sessions.at(InstanceId("c")).record.draining = true;
    EXPECT_EQUAL(trace, chosen(), std::string("none"));
  });
}

Test(LeaseClock, KnowsWhenALeaseHasSurelyEnded)
{
  TestTrace trace;
  const Time start{ seconds(100) };
  dispatch::LeaseClock clock(start);
  trace.Section("no lease can be asked for before a reading", [&] {
    EXPECT_THAT(trace, !clock.EndAfter(seconds(5), start));
  });
  clock.Read(40000, start);
  const auto until = clock.EndAfter(seconds(5), start + seconds(1));
  EXPECT_EQUAL(trace, until.value_or(0), 46000);
  clock.Granted(*until);
  trace.Section("the upstream's clock may be 2% slow", [&] {
    EXPECT_THAT(trace, clock.EndsBy() > start + milliseconds(6100));
    EXPECT_THAT(trace, clock.EndsBy() < start + milliseconds(6200));
  });
  trace.Section("a later reading narrows it; an earlier one does not", [&] {
    clock.Read(45000, start + seconds(5));
    EXPECT_THAT(trace, clock.EndsBy() < start + milliseconds(6050));
    clock.Read(41000, start + seconds(6));
    EXPECT_THAT(trace, clock.EndsBy() < start + milliseconds(6050));
  });
}

Test(TicketBook, KeepsTicketsWhileTheyAreValid)
{
  TestTrace trace;
  dispatch::TicketBook book;
  const work::TaskRef step{ JobId("job"), 0, 1, 0 };
  const InstanceId yes("yes");
  const InstanceId no("no");
  const Time asked{ seconds(10) };
  book.Asked(7, step, { yes, no }, seconds(3), asked);
  EXPECT_THAT(trace, book.IsBusy());
  dispatch::AdviceAnswer answer;
  answer.token = 7;
  answer.answered = true;
  answer.tickets.emplace_back(yes, "ticket");
  EXPECT_THAT(trace, book.Answered(answer, asked + milliseconds(100)));
  EXPECT_EQUAL(
    trace, book.Find(step, yes, asked + seconds(1)), std::string("ticket"));
  trace.Section("a refusal does not change and is not asked again", [&] {
    EXPECT_EQUAL(
      trace, book.Unknown(step, { no }, asked + seconds(9)).size(), 0U);
  });
  trace.Section("a ticket is asked again before it ends", [&] {
    EXPECT_EQUAL(
      trace, book.Unknown(step, { yes }, asked + seconds(3)).size(), 1U);
    EXPECT_EQUAL(
      trace, book.Find(step, yes, asked + seconds(3)), std::string());
  });
}
