// Tests of the detection of silent upstreams: the watch of an entry instance
// and the decision of the leader.
#include "core/LivenessTable.h"
#include "core/UpstreamWatch.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using core::LivenessTable;
using core::UpstreamWatch;
using test::TestTrace;

namespace {

const InstanceId kUpstream("u1");
const InstanceId kFirst("n1");
const InstanceId kSecond("n2");

Time
AtSeconds(int aSeconds)
{
  return Time(std::chrono::seconds(aSeconds));
}

wire::UpstreamLiveness
MakeLiveness(std::uint64_t aSequence, bool aSilent)
{
  return { kUpstream, "boot", aSequence, aSilent };
}

state::Announcement
Announcement(std::uint64_t aSequence)
{
  state::Announcement announcement;
  announcement.instance = kUpstream;
  announcement.boot = "boot";
  announcement.sequence = aSequence;
  return announcement;
}

} // namespace

// Guards against marking an upstream silent because it changed the entry
// instance to which it announces itself.
Test(LivenessTable, KeepsAnUpstreamThatAnotherEntryInstanceHears)
{
  TestTrace trace;
  LivenessTable table;
  trace.Section("n1 hears the upstream, then reports it silent", [&] {
    table.Report(kFirst, MakeLiveness(5, false), AtSeconds(0));
    EXPECT_THAT(trace,
                table.Report(kFirst, MakeLiveness(9, true), AtSeconds(10)));
    trace.Section("n2 answers the query with a later sequence", [&] {
      table.Report(kSecond, MakeLiveness(12, false), AtSeconds(10));
      EXPECT_EQUAL(trace, table.TakeSilent(AtSeconds(30)).size(), 0U);
    });
    trace.Section("an older report of n1 does not override n2's", [&] {
      EXPECT_THAT(trace,
                  !table.Report(kFirst, MakeLiveness(9, true), AtSeconds(31)));
    });
    trace.Section("once n2 reports it silent too, it is marked silent", [&] {
      EXPECT_THAT(trace,
                  table.Report(kSecond, MakeLiveness(12, true), AtSeconds(40)));
      EXPECT_EQUAL(trace, table.TakeSilent(AtSeconds(40)).size(), 0U);
      EXPECT_EQUAL(trace, table.TakeSilent(AtSeconds(41)).size(), 1U);
    });
  });
}

// Guards against missing the failure of an upstream together with the only
// entry instance that hears it, because then no entry instance reports its
// silence.
Test(LivenessTable, SuspectsUpstreamsOfALostEntryInstance)
{
  TestTrace trace;
  LivenessTable table;
  trace.Section("n1 hears the upstream and is lost", [&] {
    table.Report(kFirst, MakeLiveness(5, false), AtSeconds(0));
    EXPECT_EQUAL(
      trace, table.SuspectUpstreamsOf(kFirst, AtSeconds(5)).size(), 1U);
    EXPECT_EQUAL(trace, table.TakeSilent(AtSeconds(14)).size(), 0U);
    EXPECT_EQUAL(trace, table.TakeSilent(AtSeconds(15)).size(), 1U);
  });
}

// Guards against missing upstreams that failed while there was no leader.
Test(LivenessTable, ExpectsAllServingUpstreamsAfterAnElection)
{
  TestTrace trace;
  LivenessTable table;
  trace.Section("a new leader expects two and hears one", [&] {
    state::Announcement other = Announcement(1);
    other.instance = InstanceId("u2");
    table.Start({ Announcement(3), other }, AtSeconds(0));
    table.Report(kFirst, MakeLiveness(4, false), AtSeconds(1));
    const auto silent = table.TakeSilent(AtSeconds(10));
    EXPECT_EQUAL(trace, silent.size(), 1U);
    EXPECT_EQUAL(trace, silent[0].instance.value, std::string("u2"));
  });
}

// Guards against traffic that grows with the announcements instead of with the
// changes, and against a silence that is not reported.
Test(UpstreamWatch, ReportsChangesAndSilenceOnly)
{
  TestTrace trace;
  UpstreamWatch watch;
  const Duration interval = std::chrono::seconds(1);
  trace.Section("an upstream announces itself three times", [&] {
    for (int second = 0; second < 3; ++second) {
      watch.RecordAnnouncement(Announcement(static_cast<std::uint64_t>(second)),
                               interval,
                               AtSeconds(second));
    }
    EXPECT_EQUAL(trace, watch.TakeQueue().size(), 1U);
    trace.Section("then it falls silent", [&] {
      watch.CollectSilent(AtSeconds(5));
      EXPECT_THAT(trace, !watch.HasQueue());
      watch.CollectSilent(AtSeconds(6));
      const auto queue = watch.TakeQueue();
      EXPECT_EQUAL(trace, queue.size(), 1U);
      EXPECT_THAT(trace, queue[0].silent);
      EXPECT_EQUAL(trace, queue[0].sequence, 2U);
    });
  });
}
