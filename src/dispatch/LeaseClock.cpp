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

// Allows for clocks in whole milliseconds.
constexpr UpstreamClock kClockRounding = 5;

} // namespace

void
LeaseClock::AddReading(UpstreamClock aClock, Time aAsked, Time aReceived)
{
  // Answers can arrive out of order, so a reading replaces the previous one
  // only when its clock value is not lower, or when the previous one turns out
  // to be that of another boot.
  if (!this->reading || aClock >= this->reading->clock ||
      !this->CanHaveShown(aClock, aAsked, aReceived)) {
    this->reading = Reading{ aClock, aAsked, aReceived };
  }
}

bool
LeaseClock::CanHaveShown(UpstreamClock aClock,
                         Time aAsked,
                         Time aReceived) const
{
  if (!this->reading) {
    return true;
  }
  // The time between the two readings is at least `least`, which is negative
  // when the order of the readings is not known, and at most `most`.
  const auto least =
    static_cast<double>(Milliseconds(aAsked - this->reading->received));
  const auto most =
    static_cast<double>(Milliseconds(aReceived - this->reading->asked));
  const auto elapsed = static_cast<double>(aClock - this->reading->clock);
  const double lowest = least > 0 ? least * (1 - kMaxClockLag) : least;
  const double highest = most * (1 + kMaxClockLag);
  return elapsed >= lowest - kClockRounding &&
         elapsed <= highest + kClockRounding;
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
LeaseClock::RecordGrant(UpstreamClock aUntil, Time aSentAt)
{
  this->lastGrantAt = std::max(this->lastGrantAt, aSentAt);
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
