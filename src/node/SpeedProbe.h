// Measures how much slower this machine executes code now than at its best, by
// timing a fixed computation.
//
// A replica that executes code slowly can still answer heartbeats in time, and
// a follower with little to do shows no delay although it would as a leader.
#ifndef hyssoppaddle_node_SpeedProbe_h
#define hyssoppaddle_node_SpeedProbe_h

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <functional>

namespace hyssoppaddle::node {

class SpeedProbe
{
public:
  // Returns how long the computation took.
  using Sample = std::function<Duration()>;

  explicit SpeedProbe(Sample aSample);

  // Takes a sample when one is due.
  void Tick(Time aNow);
  // 1 at the best speed seen so far, 2 at half of it. The median of the last
  // samples, so that one interrupted sample has no effect.
  [[nodiscard]] double Slowness() const;

private:
  static constexpr std::size_t kSamples = 3;

  Sample sample;
  Time nextSampleAt{};
  std::array<Duration, kSamples> recent{};
  std::size_t taken = 0;
  Duration median{ 0 };
  Duration best{ 0 }; // shortest median so far; 0: none
};

// A sample that computes on the processor for some tens of microseconds.
Duration
TimeFixedComputation(const std::function<Time()>& aClock);

} // namespace hyssoppaddle::node

#endif
