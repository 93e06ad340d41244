// Maps an upstream's clock to the local clock for one boot, and tracks its
// lease: which lease end to request, and when all runs there are certain to
// have ended. An order names the upstream by its ID only, so another boot under
// the same ID can carry it out: by the clock of that boot the lease end in the
// order means nothing.
#ifndef hyssoppaddle_dispatch_LeaseClock_h
#define hyssoppaddle_dispatch_LeaseClock_h

#include "dispatch/Instructions.h"

#include <optional>

namespace hyssoppaddle::dispatch {

// Maximum fraction by which an upstream's clock may run slower than ours.
inline constexpr double kMaxClockLag = 0.02;

class LeaseClock
{
public:
  // Leases of an earlier leader may be valid until aFloor. Upstreams cap a
  // lease at aLongestLease by the local clock, from when they receive the
  // order.
  LeaseClock(Time aFloor, Duration aLongestLease)
    : floor(aFloor)
    , longestLease(aLongestLease)
    , lastGrantAt(aFloor - aLongestLease)
  {
  }

  // aClock was read between aAsked and aReceived, by this boot.
  void AddReading(UpstreamClock aClock, Time aAsked, Time aReceived);

  // False when this boot's clock cannot have shown aClock between aAsked and
  // aReceived, so that another boot has answered.
  [[nodiscard]] bool CanHaveShown(UpstreamClock aClock,
                                  Time aAsked,
                                  Time aReceived) const;

  // Returns the lease end on the upstream's clock, aLength from now, or no
  // value before the first reading.
  [[nodiscard]] std::optional<UpstreamClock> LeaseEndAfter(Duration aLength,
                                                           Time aNow) const;

  // Called when the order is sent, because it may take effect without an
  // answer.
  void RecordGrant(UpstreamClock aUntil, Time aSentAt);

  // When all leases granted so far to this boot have expired even on the
  // slowest clock.
  [[nodiscard]] Time AllEndedBy() const;

  // The same if another boot has received the orders, at most aDelivery after
  // they were sent.
  [[nodiscard]] Time AllEndedOnAnotherBootBy(Duration aDelivery) const
  {
    return this->lastGrantAt + aDelivery + this->longestLease;
  }

private:
  struct Reading
  {
    UpstreamClock clock = 0;
    Time asked{};
    Time received{};
  };

  Time floor;
  Duration longestLease;
  Time lastGrantAt; // when the last order with a lease end was sent
  std::optional<Reading> reading; // the latest
  // Latest lease end of any order. Invariant: never decreases.
  std::optional<UpstreamClock> grantedUntil;
};

} // namespace hyssoppaddle::dispatch

#endif
