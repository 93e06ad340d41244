// How many requests this entry instance keeps running at one upstream. The
// limit follows measured latency: additive increase while the upstream is as
// fast as its service usually is, multiplicative decrease when it is slower or
// refuses. Other entry instances use the same slots, so the declared number is
// only an upper bound.
#ifndef hyssoppaddle_request_Concurrency_h
#define hyssoppaddle_request_Concurrency_h

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace hyssoppaddle::request {

// Usual latency of a service: the lowest of the last windows' medians. The
// lowest one is kept because demand peaks fill all upstreams at once, and a
// plain mean would then take the queueing at the upstreams for normal.
class LatencyBaseline
{
public:
  void Add(Duration aLatency, Time aNow);
  [[nodiscard]] std::optional<Duration> Usual() const;

private:
  static constexpr Duration kWindow{ 10000000 };
  static constexpr std::size_t kWindows = 6;
  static constexpr std::uint32_t kMinSamples = 8;

  void StartWindow(Time aNow);

  double median = 0; // of the current window, in us; 0 before the first sample
  std::uint32_t samples = 0;
  Time windowStart;
  std::array<double, kWindows> closed{}; // 0: no value
  std::size_t next = 0;
};

class ConcurrencyLimit
{
public:
  // aCeiling: the declared slots and connections allow no more.
  void SetCeiling(std::uint32_t aCeiling);
  // aBusy: the limit was in use, so that an increase has a reason.
  void OnAnswer(Duration aLatency,
                std::optional<Duration> aUsual,
                bool aBusy,
                Time aNow);
  // The upstream refused because it is full.
  void OnRejected(Time aNow);

  [[nodiscard]] double Value() const { return this->value; }
  [[nodiscard]] std::uint32_t Ceiling() const { return this->ceiling; }
  // Smoothed latency in us; 0 before the first answer.
  [[nodiscard]] double Latency() const { return this->latency; }

private:
  // An upstream this many times slower than usual is taken for overloaded.
  static constexpr double kTolerance = 2.0;
  // A decrease aims at the usual latency, within these bounds. A refusal says
  // that the upstream is full, whatever its latency.
  static constexpr double kLeastDecrease = 0.9;
  static constexpr double kMostDecrease = 0.5;
  static constexpr double kSmoothing = 0.2;
  static constexpr Duration kMinDecreaseGap{ 20000 };

  void Decrease(double aFactor, Time aNow);

  double value = 1;
  std::uint32_t ceiling = 1;
  double latency = 0;
  Time decreasedAt;
};

} // namespace hyssoppaddle::request

#endif
