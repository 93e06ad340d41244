// Formats replicated times independently of the locale and the time zone of the
// process.
#include "base/WallTimeText.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace hyssoppaddle {

std::string
FormatWallTime(WallTime aTime)
{
  constexpr Duration::rep kMicrosecondsPerSecond = 1'000'000;
  const Duration::rep total = aTime.time_since_epoch().count();
  const std::time_t seconds = total / kMicrosecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> day{};
  std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(),
                text.size(),
                "%s.%06ldZ",
                day.data(),
                static_cast<long>(total % kMicrosecondsPerSecond));
  return text.data();
}

} // namespace hyssoppaddle
