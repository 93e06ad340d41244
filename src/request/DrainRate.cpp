// Counts served requests in a sliding window of five seconds.
#include "request/DrainRate.h"

#include <algorithm>

namespace hyssoppaddle::request {

void
DrainRate::OnWaiting(Time aNow)
{
  if (!this->waitingSince) {
    this->waitingSince = aNow;
    this->buckets.fill(Bucket{});
  }
}

void
DrainRate::OnEmpty()
{
  this->waitingSince.reset();
}

void
DrainRate::OnServed(Time aNow)
{
  const std::int64_t number = aNow.time_since_epoch() / kBucketWidth;
  Bucket& bucket =
    this->buckets.at(static_cast<std::size_t>(number) % kBuckets);
  if (bucket.number != number) {
    bucket = Bucket{ number, 0 };
  }
  ++bucket.served;
}

std::optional<double>
DrainRate::PerSecond(Time aNow) const
{
  if (!this->waitingSince) {
    return std::nullopt;
  }
  const std::int64_t oldest = aNow.time_since_epoch() / kBucketWidth -
                              static_cast<std::int64_t>(kBuckets) + 1;
  std::uint32_t served = 0;
  for (const Bucket& bucket : this->buckets) {
    served += bucket.number >= oldest ? bucket.served : 0;
  }
  const Time from = std::max(*this->waitingSince, Time(oldest * kBucketWidth));
  const Duration time = aNow - from;
  if (served < kMinServed || time < kMinTime) {
    return std::nullopt;
  }
  return served * 1e6 / static_cast<double>(time.count());
}

} // namespace hyssoppaddle::request
