// Maps an upstream's clock to the local clock for one boot, and tracks its
// lease: which lease end to request, and when all runs there are certain to
// have ended.
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
  // Leases of an earlier leader may be valid until aFloor.
  explicit LeaseClock(Time aFloor)
    : floor(aFloor)
  {
  }

  // aClock was read before aReceived.
  void AddReading(UpstreamClock aClock, Time aReceived);

  // Returns the lease end on the upstream's clock, aLength from now, or no
  // value before the first reading.
  [[nodiscard]] std::optional<UpstreamClock> LeaseEndAfter(Duration aLength,
                                                           Time aNow) const;

  // Called when the order is sent, because it may take effect without an
  // answer.
  void RecordGrant(UpstreamClock aUntil);

  // When all leases granted so far have expired even on the slowest clock.
  [[nodiscard]] Time AllEndedBy() const;

private:
  struct Reading
  {
    UpstreamClock clock = 0;
    Time received{};
  };

  Time floor;
  std::optional<Reading> reading; // the latest
  // Latest lease end of any order. Invariant: never decreases.
  std::optional<UpstreamClock> grantedUntil;
};

} // namespace hyssoppaddle::dispatch

#endif
