// The individual strategies: ranking, admission, placement, leases and tickets.
#include "dispatch/Admission.h"
#include "dispatch/LeaseClock.h"
#include "dispatch/PlanPass.h"
#include "dispatch/TicketCache.h"
#include "dispatch/WorkRank.h"
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
  view.unstartedWork = aWork;
  view.totalWork = aWork;
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

// Load pattern of WorkRank: more jobs wait than can end in time.
Test(WorkRank, PrefersJobsThatCanStillMeetTheirObjective)
{
  TestTrace trace;
  const auto inTime = View(9000, seconds(1), seconds(3));
  const auto small = View(1000, seconds(1), seconds(3));
  const auto late = View(500, seconds(8), seconds(3));
  auto lost = View(100, seconds(40), seconds(3));
  trace.Section("the smaller of two jobs that can be in time goes first", [&] {
    EXPECT_THAT(trace, RankOf(small, 1, kNow) < RankOf(inTime, 1, kNow));
  });
  trace.Section("a late job goes after them, however small", [&] {
    EXPECT_THAT(trace, RankOf(inTime, 1, kNow) < RankOf(late, 1, kNow));
    EXPECT_THAT(trace, RankOf(late, 1, kNow) < RankOf(lost, 1, kNow));
  });
  trace.Section("a job beyond its workspace's share goes after them", [&] {
    auto lent = small;
    lent.isLent = true;
    EXPECT_THAT(trace, RankOf(late, 1, kNow) < RankOf(lent, 1, kNow));
    EXPECT_THAT(trace, RankOf(lent, 1, kNow) < RankOf(lost, 1, kNow));
  });
  trace.Section("a job that has begun goes before a new one of its size", [&] {
    auto begun = inTime;
    begun.unstartedWork = 3000;
    EXPECT_THAT(trace, RankOf(begun, 1, kNow) < RankOf(inTime, 1, kNow));
  });
  trace.Section("a job with time to spare goes before one without", [&] {
    auto tight = inTime;
    tight.objective = kNow + milliseconds(800);
    EXPECT_THAT(trace, RankOf(inTime, 1, kNow) < RankOf(tight, 1, kNow));
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
  trace.Section("a large job passes small ones as it ages", [&] {
    auto old = inTime;
    old.objective = kNow - seconds(2) + old.remainingChain;
    old.remainingChain = milliseconds(100);
    old.objective = kNow + milliseconds(60);
    EXPECT_THAT(trace,
                RankOf(old, 1, kNow + milliseconds(5)).outlook ==
                  dispatch::WorkRank::Outlook::InTime);
  });
}

Test(Admission, RejectsOnlyJobsThatWouldHaveNoValue)
{
  TestTrace trace;
  work::Queue queue;
  queue.stretch = 1.6;
  queue.targetCompletion = milliseconds(600);
  // Objective 2.2 s, no value after 6.6 s.
  const work::JobSpec spec = Spec(seconds(1));
  trace.Section("a backlog of 5 s is accepted", [&] {
    EXPECT_THAT(trace, !dispatch::RetryAfter({ 50000, 10, 0, 1 }, queue, spec));
  });
  trace.Section("a backlog of 10 s is rejected with a retry time", [&] {
    const auto retry = dispatch::RetryAfter({ 100000, 10, 0, 1 }, queue, spec);
    EXPECT_THAT(trace, retry.has_value());
    EXPECT_THAT(trace, *retry > seconds(3) && *retry < seconds(4));
  });
  trace.Section("instances that can move here count", [&] {
    EXPECT_THAT(trace,
                !dispatch::RetryAfter({ 100000, 10, 10, 1 }, queue, spec));
  });
  trace.Section("a long-running job is never rejected", [&] {
    work::JobSpec longRunning = spec;
    longRunning.steps[0].longRunning = true;
    EXPECT_THAT(
      trace, !dispatch::RetryAfter({ 100000, 10, 0, 1 }, queue, longRunning));
  });
}

Test(Placement, PicksTheFullestUpstreamWithRoomForTheTask)
{
  TestTrace trace;
  dispatch::Sessions sessions;
  const Time now{ seconds(10) };
  for (const char* name : { "a", "b", "c" }) {
    work::Upstream record;
    record.service = ServiceId("s");
    record.capacity = { 8000, 1000, 0 };
    record.labels = { "kind", std::string("rack-") + name };
    dispatch::UpstreamSession session(
      record, dispatch::LeaseClock(now, milliseconds(6120)), now);
    session.fenceConfirmed = true;
    sessions.emplace(InstanceId(name), session);
  }
  sessions.at(InstanceId("b")).used.milliCpus = 5000;
  work::Step step;
  step.size = { 2000, 100, 0 };
  dispatch::PlacementQuery query;
  query.step = &step;
  const auto chosen = [&] {
    const auto candidates = FindCandidates(sessions, ServiceId("s"), now);
    const dispatch::Candidate* best = ChooseUpstream(candidates, query);
    return best == nullptr ? std::string("none") : best->session->record.Rack();
  };
  EXPECT_EQUAL(trace, chosen(), std::string("rack-b"));
  trace.Section("the rack of the data takes precedence", [&] {
    step.dataRack = "rack-c";
    EXPECT_EQUAL(trace, chosen(), std::string("rack-c"));
    step.dataRack.clear();
  });
  trace.Section("the upstream of the last failure is avoided", [&] {
    query.avoid = InstanceId("b");
    EXPECT_THAT(trace, chosen() != "rack-b");
    query.avoid = InstanceId();
  });
  trace.Section("silent, unconfirmed and draining upstreams are skipped", [&] {
    sessions.at(InstanceId("b")).unanswered = 1;
    sessions.at(InstanceId("a")).fenceConfirmed = false;
    sessions.at(InstanceId("c")).record.draining = true;
    EXPECT_EQUAL(trace, chosen(), std::string("none"));
  });
}

Test(Placement, SkipsTasksThatNeedMoreThanOneThatFoundNoRoom)
{
  TestTrace trace;
  const InstanceId id("a");
  const Time now{ seconds(10) };
  work::Upstream record;
  record.capacity = { 8000, 1000, 0 };
  dispatch::UpstreamSession session(
    record, dispatch::LeaseClock(now, milliseconds(6120)), now);
  dispatch::PlanPass pass({ { &id, &session } });
  work::Step small;
  small.size = { 2000, 100, 0 };
  work::Step large = small;
  large.size.milliCpus = 4000;
  trace.Section("a miss with constraints says nothing about other steps", [&] {
    work::Step labelled = small;
    labelled.requiredLabel = "kind";
    pass.RecordMiss(labelled);
    EXPECT_THAT(trace, !pass.IsUnplaceable(small));
  });
  trace.Section("a miss without constraints holds for larger tasks", [&] {
    pass.RecordMiss(small);
    EXPECT_THAT(trace, pass.IsUnplaceable(large));
    work::Step smaller = small;
    smaller.size.memoryMb = 50;
    EXPECT_THAT(trace, !pass.IsUnplaceable(smaller));
  });
  trace.Section("tasks that fill unused capacity need no free cores", [&] {
    work::Step filling = large;
    filling.fills = true;
    EXPECT_THAT(trace, !pass.IsUnplaceable(filling));
  });
  trace.Section("nothing larger than the room of each upstream fits", [&] {
    work::Step huge;
    huge.size = { 100, 1001, 0 };
    huge.fills = true;
    EXPECT_THAT(trace, pass.IsUnplaceable(huge));
  });
  trace.Section("a gang that found no room excludes larger gangs only", [&] {
    work::Step gang = small;
    gang.size.memoryMb = 50;
    gang.count = 4;
    pass.RecordGangMiss(gang);
    EXPECT_THAT(trace, pass.IsGangUnplaceable(gang));
    EXPECT_THAT(trace, !pass.IsUnplaceable(gang));
    gang.count = 3;
    EXPECT_THAT(trace, !pass.IsGangUnplaceable(gang));
  });
}

Test(LeaseClock, ComputesWhenALeaseIsCertainToHaveExpired)
{
  TestTrace trace;
  const Time start{ seconds(100) };
  dispatch::LeaseClock clock(start, milliseconds(6120));
  trace.Section("no lease end is known before a reading", [&] {
    EXPECT_THAT(trace, !clock.LeaseEndAfter(seconds(5), start));
  });
  clock.AddReading(40000, start, start);
  const auto until = clock.LeaseEndAfter(seconds(5), start + seconds(1));
  EXPECT_EQUAL(trace, until.value_or(0), 46000);
  clock.RecordGrant(*until, start + seconds(1));
  trace.Section("the upstream's clock may be 2% slow", [&] {
    EXPECT_THAT(trace, clock.AllEndedBy() > start + milliseconds(6100));
    EXPECT_THAT(trace, clock.AllEndedBy() < start + milliseconds(6200));
  });
  trace.Section(
    "a later reading narrows the bound, an earlier one does not", [&] {
      clock.AddReading(45000, start + seconds(5), start + seconds(5));
      EXPECT_THAT(trace, clock.AllEndedBy() < start + milliseconds(6050));
      clock.AddReading(41000, start + seconds(1), start + seconds(6));
      EXPECT_THAT(trace, clock.AllEndedBy() < start + milliseconds(6050));
    });
}

// Guards against two runs of a task: answers of a boot that had restarted under
// the ID counted as those of the boot before.
Test(LeaseClock, TellsWhenAnotherBootHasAnswered)
{
  TestTrace trace;
  const Time start{ seconds(100) };
  dispatch::LeaseClock clock(start, milliseconds(6120));
  EXPECT_THAT(trace, clock.CanHaveShown(7, start, start));
  clock.AddReading(40000, start, start + milliseconds(10));
  const Time asked = start + seconds(2);
  const Time received = asked + milliseconds(20);
  const auto canShow = [&](dispatch::UpstreamClock aClock) {
    return clock.CanHaveShown(aClock, asked, received);
  };
  trace.Section("the same boot, also with a clock that is 2% slow", [&] {
    EXPECT_THAT(trace, canShow(42000));
    EXPECT_THAT(trace, canShow(41960));
  });
  trace.Section("a clock that began again, or runs ahead", [&] {
    EXPECT_THAT(trace, !canShow(80));
    EXPECT_THAT(trace, !canShow(41900));
    EXPECT_THAT(trace, !canShow(42200));
  });
  trace.Section("an answer that was overtaken is from the same boot", [&] {
    clock.AddReading(42000, asked, received);
    EXPECT_THAT(trace,
                clock.CanHaveShown(
                  40500, start + milliseconds(100), received + seconds(1)));
  });
  trace.Section("a reading that does not fit replaces the one before", [&] {
    clock.AddReading(80, received, received);
    EXPECT_EQUAL(
      trace, clock.LeaseEndAfter(seconds(5), received).value_or(0), 5080);
  });
}

// The lease that another boot under the ID has granted.
Test(LeaseClock, BoundsTheLeaseOnAnotherBootByTheLongestOne)
{
  TestTrace trace;
  const Time start{ seconds(100) };
  dispatch::LeaseClock clock(start, milliseconds(6120));
  EXPECT_THAT(trace,
              clock.AllEndedOnAnotherBootBy(milliseconds(500)) ==
                start + milliseconds(500));
  clock.RecordGrant(4800, start + seconds(1));
  EXPECT_THAT(trace,
              clock.AllEndedOnAnotherBootBy(milliseconds(500)) ==
                start + milliseconds(7620));
}

Test(TicketCache, KeepsTicketsWhileTheyAreValid)
{
  TestTrace trace;
  dispatch::TicketCache book;
  const work::TaskRef step{ JobId("job"), 0, 1, 0 };
  const InstanceId yes("yes");
  const InstanceId no("no");
  const Time asked{ seconds(10) };
  book.RecordQuestion(7, step, { yes, no }, seconds(3), asked);
  EXPECT_THAT(trace, book.IsBusy());
  dispatch::AdviceAnswer answer;
  answer.token = 7;
  answer.answered = true;
  answer.tickets.emplace_back(yes, "ticket");
  EXPECT_THAT(trace, book.RecordAnswer(answer, asked + milliseconds(100)));
  EXPECT_EQUAL(
    trace, book.Find(step, yes, asked + seconds(1)), std::string("ticket"));
  trace.Section("a refusal is final and is not requested again", [&] {
    EXPECT_EQUAL(
      trace, book.Undecided(step, { no }, asked + seconds(9)).size(), 0U);
  });
  trace.Section("a ticket is requested again before it expires", [&] {
    EXPECT_EQUAL(
      trace, book.Undecided(step, { yes }, asked + seconds(3)).size(), 1U);
    EXPECT_EQUAL(
      trace, book.Find(step, yes, asked + seconds(3)), std::string());
  });
}
