// What is done about a run that may end too late where it is.
//
// Load pattern: upstreams fall silent, stand still or turn slow while they hold
// the last tasks of a step, and the lease of a silent one lasts for seconds. A
// task that may run twice gets a second run elsewhere at once. Any other task
// must end where it is before it starts again, so it is stopped if that is
// still the shorter way.
#ifndef hyssoppaddle_dispatch_RunRemedy_h
#define hyssoppaddle_dispatch_RunRemedy_h

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace hyssoppaddle::dispatch {

// One run of a task that ends by itself and is not part of a gang.
struct RunSituation
{
  bool mayRunTwice = false; // and no second run of the task is recorded
  bool isStartUnanswered = false;
  // How long the upstream has left requests unanswered; 0: it answers.
  Duration silence{ 0 };
  bool isUpstreamSlow = false;
  bool isOverdue = false; // has run for a multiple of its expected time
  Duration expected{ 0 }; // of the whole task on a sound upstream
  // Time until it ends where it is, by its progress; absent when it makes none.
  std::optional<Duration> remaining;
  // Part of its work that is saved.
  double saved = 0;
};

enum class Remedy : std::uint8_t
{
  None,
  SecondRun, // starts another run elsewhere; the first to end counts
  Restart,   // stops the run; the task then starts elsewhere
};

// aStopTime is the longest time that a run takes to stop.
Remedy
RemedyFor(const RunSituation& aSituation, Duration aStopTime);

// Limits second runs, which take room from tasks that have none: of the tasks
// that run at the same time one in ten, and always a few.
bool
IsWithinCopyBudget(std::size_t aSecondRuns, std::size_t aRuns);

} // namespace hyssoppaddle::dispatch

#endif
