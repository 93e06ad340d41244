// Compares the time that a run still needs with that of another one.
#include "dispatch/RunRemedy.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Requests are lost now and then; the next one is answered within this time.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(150);
// Another run must be this many times faster, because its own time is uncertain
// as well and it uses the room of other tasks.
constexpr double kMinGain = 1.5;

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

Remedy
RemedyFor(const RunSituation& aSituation, Duration aStopTime)
{
  const bool isSilent = aSituation.silence >= kSilenceLimit;
  if (isSilent || aSituation.isStartUnanswered) {
    // It may be executing, and no stop of it would be confirmed.
    return aSituation.mayRunTwice ? Remedy::SecondRun : Remedy::None;
  }
  const bool standsStill = aSituation.isOverdue && !aSituation.remaining;
  const bool isSlow = aSituation.isUpstreamSlow && aSituation.remaining;
  if (!standsStill && !isSlow) {
    return Remedy::None; // or its progress is not known yet
  }
  const Duration again =
    Scaled(aSituation.expected, 1.0 - std::clamp(aSituation.saved, 0.0, 1.0));
  const Duration elsewhere =
    aSituation.mayRunTwice ? aSituation.expected : again + aStopTime;
  const bool isFaster = !aSituation.remaining ||
                        *aSituation.remaining > Scaled(elsewhere, kMinGain);
  if (!isFaster) {
    return Remedy::None;
  }
  return aSituation.mayRunTwice ? Remedy::SecondRun : Remedy::Restart;
}

bool
IsWithinCopyBudget(std::size_t aSecondRuns, std::size_t aRuns)
{
  constexpr std::size_t kAlwaysAllowed = 4;
  constexpr std::size_t kRunsPerCopy = 10;
  return aSecondRuns < std::max(kAlwaysAllowed, aRuns / kRunsPerCopy);
}

} // namespace hyssoppaddle::dispatch
