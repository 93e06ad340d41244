// Sliding window of served counts over the last five seconds.
#include "request/DrainRate.h"

#include <algorithm>

namespace hyssoppaddle::request {

void
DrainRate::OnWaiting(Time aNow)
{
  if (!this->waitingSince) {
    this->waitingSince = aNow;
    this->slots.fill(Slot{});
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
  const std::int64_t number = aNow.time_since_epoch() / kSlot;
  Slot& slot = this->slots.at(static_cast<std::size_t>(number) % kSlots);
  if (slot.number != number) {
    slot = Slot{ number, 0 };
  }
  ++slot.served;
}

std::optional<double>
DrainRate::PerSecond(Time aNow) const
{
  if (!this->waitingSince) {
    return std::nullopt;
  }
  const std::int64_t oldest =
    aNow.time_since_epoch() / kSlot - static_cast<std::int64_t>(kSlots) + 1;
  std::uint32_t served = 0;
  for (const Slot& slot : this->slots) {
    served += slot.number >= oldest ? slot.served : 0;
  }
  const Time from = std::max(*this->waitingSince, Time(oldest * kSlot));
  const Duration time = aNow - from;
  if (served < kMinServed || time < kMinTime) {
    return std::nullopt;
  }
  return served * 1e6 / static_cast<double>(time.count());
}

} // namespace hyssoppaddle::request
