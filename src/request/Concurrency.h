// Adaptive limit on the requests that this entry instance runs concurrently at
// one upstream. The limit follows measured latency: additive increase while the
// latency is near the baseline of the service, multiplicative decrease when the
// upstream is slower or refuses requests. Other entry instances use the same
// slots, so the declared number is only an upper bound.
#ifndef hyssoppaddle_request_Concurrency_h
#define hyssoppaddle_request_Concurrency_h

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace hyssoppaddle::request {

// Baseline latency of a service: the lowest median of the recent windows. The
// lowest is used because demand peaks fill all upstreams at once, and a plain
// mean would then treat the queueing delay at the upstreams as normal.
class LatencyBaseline
{
public:
  void Add(Duration aLatency, Time aNow);
  [[nodiscard]] std::optional<Duration> BaselineLatency() const;

private:
  static constexpr Duration kWindowLength = std::chrono::seconds(10);
  static constexpr std::size_t kWindows = 6;
  static constexpr std::uint32_t kMinSamples = 8;

  void StartWindow(Time aNow);

  double median = 0; // of the current window, in microseconds; 0 if no sample
  std::uint32_t samples = 0;
  Time windowStart;
  std::array<double, kWindows> closedMedians{}; // in microseconds; 0 if empty
  std::size_t next = 0;
};

class ConcurrencyLimit
{
public:
  // Sets the upper bound, which follows from the declared slots and
  // connections. If the bound changes, the limit is reset to it.
  void SetCeiling(std::uint32_t aCeiling);
  // Adapts the limit to a response. aBusy: the limit was in use; otherwise
  // there is no reason to increase it.
  void OnAnswer(Duration aLatency,
                std::optional<Duration> aBaselineLatency,
                bool aBusy,
                Time aNow);
  // The upstream refused a request because it is full.
  void OnRejected(Time aNow);

  [[nodiscard]] double Value() const { return this->value; }
  [[nodiscard]] std::uint32_t Ceiling() const { return this->ceiling; }
  // Smoothed latency in microseconds; 0 before the first response.
  [[nodiscard]] double Latency() const { return this->latency; }

private:
  // An upstream is considered overloaded if its latency exceeds the baseline by
  // more than this factor.
  static constexpr double kOverloadSlowdown = 2.0;
  // The factor of a decrease is chosen to restore the baseline latency, within
  // these bounds. A refusal shows that the upstream is full regardless of its
  // latency, so it always uses the largest decrease.
  static constexpr double kSmallestDecreaseFactor = 0.9;
  static constexpr double kLargestDecreaseFactor = 0.5;
  static constexpr double kSmoothingFactor = 0.2;
  static constexpr Duration kMinDecreaseGap = std::chrono::milliseconds(20);

  void Decrease(double aFactor, Time aNow);

  double value = 1;
  std::uint32_t ceiling = 1;
  double latency = 0;
  Time decreasedAt;
};

} // namespace hyssoppaddle::request

#endif
