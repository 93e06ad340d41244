// Reads CLOCK_BOOTTIME and converts it to the core's Time.
#include "node/Clock.h"

#include <ctime>

namespace hyssoppaddle::node {

Time
SuspendAwareNow()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace hyssoppaddle::node
