// Converts the standard clocks to the time types of the core.
#include "shell/Clock.h"

#include <chrono>

namespace hyssoppaddle::shell {

Time
MonotonicNow()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(now));
}

WallTime
WallClockNow()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Duration>(now));
}

} // namespace hyssoppaddle::shell
