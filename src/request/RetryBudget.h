// Limits the retries of one service so that they do not amplify an outage: 3
// retries per second are always allowed, and beyond that at most 10% of the
// first attempts of the last 10 s. Also computes the delay before a retry.
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
  // Takes one retry from the budget; returns false if the budget is exhausted.
  bool TryRetry(Time aNow);

  // Delay before the retry that follows aTries attempts, with jitter.
  static Duration Delay(std::uint32_t aTries, Random& aRandom);

  static constexpr std::uint32_t kFloorPerSecond = 3;
  static constexpr std::uint32_t kMaxRetryPercent = 10;
  static constexpr std::uint32_t kMaxAttempts = 4; // per request
  static constexpr Duration kFirstDelay = std::chrono::milliseconds(25);
  static constexpr Duration kMaxDelay = std::chrono::seconds(1);

private:
  static constexpr std::size_t kWindowSeconds = 10;

  struct Second
  {
    std::int64_t number = -1; // second of the monotonic clock
    std::uint32_t firstAttempts = 0;
    std::uint32_t retries = 0;
  };

  Second& Current(Time aNow);

  std::array<Second, kWindowSeconds> seconds{};
};

} // namespace hyssoppaddle::request

#endif
