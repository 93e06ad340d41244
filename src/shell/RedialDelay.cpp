// Exponential backoff with jitter.
#include "shell/RedialDelay.h"

#include <algorithm>

namespace hyssoppaddle::shell {

namespace {

constexpr Duration kMinRedialDelay{ std::chrono::milliseconds(100) };

} // namespace

RedialDelay::RedialDelay(Duration aFirst, Duration aLongest)
  : delay(aFirst)
  , longest(aLongest)
{
}

void
RedialDelay::Advance(bool aConnected, Random& aRandom)
{
  const Duration longer =
    std::min(std::max(this->delay * 2, kMinRedialDelay), this->longest);
  const Duration next = aConnected ? kMinRedialDelay : longer;
  this->delay = aRandom.Between(next / 2, next);
}

} // namespace hyssoppaddle::shell
