// Conversion between an upstream's clock and the local clock.
#include "dispatch/LeaseClock.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

void
LeaseClock::AddReading(UpstreamClock aClock, Time aReceived)
{
  // Answers can arrive out of order, so a reading replaces the previous one
  // only when its clock value is not lower.
  if (!this->reading || aClock >= this->reading->clock) {
    this->reading = Reading{ aClock, aReceived };
  }
}

std::optional<UpstreamClock>
LeaseClock::LeaseEndAfter(Duration aLength, Time aNow) const
{
  if (!this->reading) {
    return std::nullopt;
  }
  return this->reading->clock +
         Milliseconds(aNow - this->reading->received + aLength);
}

void
LeaseClock::RecordGrant(UpstreamClock aUntil)
{
  this->grantedUntil = std::max(aUntil, this->grantedUntil.value_or(aUntil));
}

Time
LeaseClock::AllEndedBy() const
{
  if (!this->grantedUntil || !this->reading) {
    return this->floor;
  }
  const std::int64_t left =
    std::max<std::int64_t>(0, *this->grantedUntil - this->reading->clock);
  const auto slowest = Duration(static_cast<std::int64_t>(
    static_cast<double>(left) * 1000.0 / (1.0 - kMaxClockLag)));
  return std::max(this->floor, this->reading->received + slowest);
}

} // namespace hyssoppaddle::dispatch
