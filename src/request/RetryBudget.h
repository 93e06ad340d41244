// Limits retries of one service so that an outage is not multiplied by them: in
// each second at most 3, beyond that at most 10% of the first attempts of the
// last 10 s. Also gives the delay before a retry.
#ifndef hyssoppaddle_request_RetryBudget_h
#define hyssoppaddle_request_RetryBudget_h

#include "base/Random.h"
#include "base/Time.h"

#include <array>
#include <cstdint>

namespace hyssoppaddle::request {

class RetryBudget
{
public:
  void OnFirstAttempt(Time aNow);
  // Takes one retry from the budget; false when it is spent.
  bool TryRetry(Time aNow);

  // Delay before the retry that follows aTries attempts, with jitter.
  static Duration Delay(std::uint32_t aTries, Random& aRandom);

  static constexpr std::uint32_t kFloorPerSecond = 3;
  static constexpr std::uint32_t kPercent = 10;
  static constexpr std::uint32_t kMaxAttempts = 4; // of one request
  static constexpr Duration kFirstDelay{ 25000 };
  static constexpr Duration kLongestDelay{ 1000000 };

private:
  static constexpr std::size_t kSeconds = 10;

  struct Second
  {
    std::int64_t number = -1; // of the monotonic clock
    std::uint32_t first = 0;
    std::uint32_t retries = 0;
  };

  Second& Current(Time aNow);

  std::array<Second, kSeconds> seconds{};
};

} // namespace hyssoppaddle::request

#endif
