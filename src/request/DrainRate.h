// Measured rate at which a queue is served while work waits in it. Idle time
// does not count: the rate of a queue that was empty says how much came, not
// how fast it could have gone.
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
  // The queue has work now / none any more.
  void OnWaiting(Time aNow);
  void OnEmpty();
  void OnServed(Time aNow);
  // Starts per second; empty while too little was measured.
  [[nodiscard]] std::optional<double> PerSecond(Time aNow) const;

private:
  static constexpr std::size_t kSlots = 10;
  static constexpr Duration kSlot{ 500000 };
  // Fewer starts or less time give a rate that is mostly chance.
  static constexpr std::uint32_t kMinServed = 5;
  static constexpr Duration kMinTime{ 500000 };

  struct Slot
  {
    std::int64_t number = -1;
    std::uint32_t served = 0;
  };

  std::array<Slot, kSlots> slots{};
  std::optional<Time> waitingSince;
};

} // namespace hyssoppaddle::request

#endif
