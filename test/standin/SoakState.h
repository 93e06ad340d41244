// Settings and the random sequence of the stand-in upstreams of a process.
#ifndef hyssoppaddle_test_standin_SoakState_h
#define hyssoppaddle_test_standin_SoakState_h

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace hyssoppaddle::standin {

struct SoakState
{
  std::mt19937_64 random;
  std::int64_t drainMs = 1500;
  std::int64_t maxHoldMs = 6000;
  std::int64_t reportMs = 500;
  bool calm = false; // no further faults
  // Delayed orders outlive the boot that they were sent to. The next boot under
  // the ID executes them then.
  bool ordersOutliveBoots = true;
  // Data centres whose evacuation was confirmed, with the time in steady ms.
  // One leaves before its withdrawal is sent.
  std::map<std::string, std::int64_t> evacuatedSince;

  // True when no start may arrive there any more: orders that had left before
  // the confirmation have arrived.
  [[nodiscard]] bool IsEvacuated(const std::string& aDataCentre,
                                 std::int64_t aNowMs) const
  {
    constexpr std::int64_t kOrderDeliveryMs = 2500;
    const auto found = this->evacuatedSince.find(aDataCentre);
    return found != this->evacuatedSince.end() &&
           aNowMs > found->second + kOrderDeliveryMs;
  }

  // Uniform in [0, aLimit).
  std::int64_t Below(std::int64_t aLimit)
  {
    return static_cast<std::int64_t>(this->random() %
                                     static_cast<std::uint64_t>(aLimit));
  }
  bool Chance(std::int64_t aPercent)
  {
    return !this->calm && this->Below(100) < aPercent;
  }
};

} // namespace hyssoppaddle::standin

#endif
