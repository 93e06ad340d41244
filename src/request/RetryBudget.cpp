// Counts first attempts and retries in ten buckets of one second.
#include "request/RetryBudget.h"

#include <algorithm>

namespace hyssoppaddle::request {

namespace {

std::int64_t
SecondOf(Time aNow)
{
  return aNow.time_since_epoch().count() / 1000000;
}

} // namespace

RetryBudget::Second&
RetryBudget::Current(Time aNow)
{
  const std::int64_t number = SecondOf(aNow);
  Second& second =
    this->seconds.at(static_cast<std::size_t>(number) % kWindowSeconds);
  if (second.number != number) {
    second = Second{ number, 0, 0 };
  }
  return second;
}

void
RetryBudget::OnFirstAttempt(Time aNow)
{
  ++this->Current(aNow).firstAttempts;
}

bool
RetryBudget::TryRetry(Time aNow)
{
  Second& current = this->Current(aNow);
  if (current.retries >= kFloorPerSecond) {
    std::uint64_t first = 0;
    std::uint64_t retries = 0;
    for (const Second& second : this->seconds) {
      if (current.number - second.number <
          static_cast<std::int64_t>(kWindowSeconds)) {
        first += second.firstAttempts;
        retries += second.retries;
      }
    }
    if ((retries + 1) * 100 > first * kMaxRetryPercent) {
      return false;
    }
  }
  ++current.retries;
  return true;
}

Duration
RetryBudget::Delay(std::uint32_t aTries, Random& aRandom)
{
  const std::uint32_t doublings = std::min(aTries > 0 ? aTries - 1 : 0, 10U);
  const Duration full =
    std::min(kFirstDelay * (Duration::rep{ 1 } << doublings), kMaxDelay);
  return aRandom.Between(full / 2, full);
}

} // namespace hyssoppaddle::request
