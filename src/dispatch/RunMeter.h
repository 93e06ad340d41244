// Counts what happens to runs between two lines of the log, so that the line
// tells whether cores or the leader itself limit the work done, and how much of
// it is for jobs that can still meet their objective.
#ifndef hyssoppaddle_dispatch_RunMeter_h
#define hyssoppaddle_dispatch_RunMeter_h

#include "dispatch/Decision.h"
#include "dispatch/WorkRank.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hyssoppaddle::dispatch {

// Sizes at the time of a report.
struct RunGauges
{
  std::size_t jobs = 0;           // that have not ended
  std::size_t running = 0;        // runs on record
  std::size_t startsUnderway = 0; // proposed, or ordered and not answered
  std::size_t startLimit = 0;     // on these; zero: none
};

class RunMeter
{
public:
  void RecordPlaced(WorkRank::Outlook aOutlook, std::uint64_t aRuns)
  {
    this->placed[static_cast<std::size_t>(aOutlook)] += aRuns;
  }
  void RecordOrdered() { ++this->ordered; }
  void RecordStopped() { ++this->stopped; }
  void RecordEnd(bool aIsDone)
  {
    ++(aIsDone ? this->done : this->endedOtherwise);
  }
  // One pass over the waiting jobs of a service.
  void RecordPass(std::size_t aJobs)
  {
    ++this->passes;
    this->ranked += aJobs;
  }

  // The line `run_load` with all counts since the last call.
  [[nodiscard]] Decision TakeReport(const RunGauges& aGauges);

private:
  std::array<std::uint64_t, 3> placed{}; // by WorkRank::Outlook
  std::uint64_t ordered = 0;
  std::uint64_t stopped = 0;
  std::uint64_t done = 0;
  std::uint64_t endedOtherwise = 0;
  std::uint64_t passes = 0;
  std::uint64_t ranked = 0;
};

} // namespace hyssoppaddle::dispatch

#endif
