// Learned run times of kinds of tasks, relative to their declared estimates.
//
// Load pattern: declared estimates are off, for some kinds always in the same
// direction, and a few tasks take several times as long as the others of their
// kind. The median of recent runs follows the first and is not moved by the
// second.
#ifndef hyssoppaddle_dispatch_RunTimes_h
#define hyssoppaddle_dispatch_RunTimes_h

#include "dispatch/RunObservation.h"

#include <array>
#include <functional>
#include <map>
#include <string_view>

namespace hyssoppaddle::dispatch {

class RunTimes
{
public:
  // Number of kinds that are remembered; the one without a run for the longest
  // time makes room for a new one.
  static constexpr std::size_t kMaxKinds = 256;
  // A learned time is used for this long after the last run of its kind.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  // Range of the learned ratios.
  static constexpr double kMinRatio = 0.25;
  static constexpr double kMaxRatio = 4.0;

  // Records a run that ended as done on an upstream of usual speed.
  // Observations without work or time are ignored.
  void Add(const RunObservation& aObservation, Time aNow);

  // Run time of the kind relative to its declared estimate: the median of its
  // last runs and of kPriorRuns runs that took as long as declared. 1 for an
  // unknown kind.
  [[nodiscard]] double UsualRatio(std::string_view aKind, Time aNow) const;

  [[nodiscard]] std::size_t CountKinds() const { return this->kinds.size(); }

private:
  static constexpr std::size_t kWindow = 32;
  static constexpr std::size_t kPriorRuns = 4;

  struct Kind
  {
    std::array<double, kWindow> ratios{};
    std::size_t count = 0; // of all runs; the last kWindow are kept
    double median = 1.0;
    Time lastAt{};
  };

  void EvictOldest();
  static double MedianOf(const Kind& aKind);

  // Invariant: at most kMaxKinds entries.
  std::map<std::string, Kind, std::less<>> kinds;
};

} // namespace hyssoppaddle::dispatch

#endif
