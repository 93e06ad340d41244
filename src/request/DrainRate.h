// Measures the rate at which a queue is served while it is not empty. Idle time
// is excluded: the rate of a queue that is sometimes empty reflects the
// arrivals, not the service capacity.
#ifndef hyssoppaddle_request_DrainRate_h
#define hyssoppaddle_request_DrainRate_h

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace hyssoppaddle::request {

class DrainRate
{
public:
  // The queue has work; starts a measurement if it was empty before.
  void OnWaiting(Time aNow);
  void OnEmpty();
  void OnServed(Time aNow);
  // Requests served per second; empty while there are too few measurements.
  [[nodiscard]] std::optional<double> PerSecond(Time aNow) const;

private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr Duration kBucketWidth = std::chrono::milliseconds(500);
  // With fewer requests or a shorter time, the rate would be mostly noise.
  static constexpr std::uint32_t kMinServed = 5;
  static constexpr Duration kMinTime = std::chrono::milliseconds(500);

  struct Bucket
  {
    std::int64_t number = -1;
    std::uint32_t served = 0;
  };

  std::array<Bucket, kBuckets> buckets{};
  std::optional<Time> waitingSince;
};

} // namespace hyssoppaddle::request

#endif
