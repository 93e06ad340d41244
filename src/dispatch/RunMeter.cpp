// Turns the counts of runs into a line of the log.
#include "dispatch/RunMeter.h"
#include "dispatch/Text.h"

#include <utility>

namespace hyssoppaddle::dispatch {

Decision
RunMeter::TakeReport(const RunGauges& aGauges)
{
  const RunMeter counts = std::exchange(*this, {});
  const auto placedFor = [&counts](WorkRank::Outlook aOutlook) {
    return Text(counts.placed[static_cast<std::size_t>(aOutlook)]);
  };
  Decision line;
  line.kind = "run_load";
  line.isSummary = true;
  line.fields = { { "placed_in_time", placedFor(WorkRank::Outlook::InTime) },
                  { "placed_late", placedFor(WorkRank::Outlook::Late) },
                  { "placed_hopeless", placedFor(WorkRank::Outlook::Hopeless) },
                  { "ordered", Text(counts.ordered) },
                  { "done", Text(counts.done) },
                  { "ended_otherwise", Text(counts.endedOtherwise) },
                  { "stopped", Text(counts.stopped) },
                  { "passes", Text(counts.passes) },
                  { "jobs_ranked", Text(counts.ranked) },
                  { "jobs", Text(aGauges.jobs) },
                  { "running", Text(aGauges.running) },
                  { "starts_underway", Text(aGauges.startsUnderway) },
                  { "start_limit", Text(aGauges.startLimit) } };
  return line;
}

} // namespace hyssoppaddle::dispatch
