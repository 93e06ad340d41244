// Time types of the decision logic. The core reads no clock: every event
// carries its time.
#ifndef hyssoppaddle_base_Time_h
#define hyssoppaddle_base_Time_h

#include <chrono>
#include <cstdint>

namespace hyssoppaddle {

using Duration = std::chrono::microseconds;

// Tag of the process's monotonic clock. It has no now(): only the shell reads
// clocks.
struct MonotonicClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

// Monotonic time of one process. Values of different processes are not
// comparable.
using Time = std::chrono::time_point<MonotonicClock, Duration>;

// Tag of wall-clock time, which the leader stamps on replicated commands.
struct WallClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

// Microseconds since the Unix epoch, as stamped by the leader.
using WallTime = std::chrono::time_point<WallClock, Duration>;

// Clocks of two processes may differ in rate by at most this fraction.
inline constexpr double kMaxClockRateError = 0.01;

// Extends a duration by the largest clock rate error, rounded up.
constexpr Duration
WithClockMargin(Duration aDuration)
{
  return aDuration + aDuration / 100 + Duration(1);
}

} // namespace hyssoppaddle

#endif
