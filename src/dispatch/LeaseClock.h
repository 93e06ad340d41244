// The clock and the lease of one boot of an upstream, as seen from here: which
// lease end to ask for, and from when on everything there has surely ended.
#ifndef hyssoppaddle_dispatch_LeaseClock_h
#define hyssoppaddle_dispatch_LeaseClock_h

#include "dispatch/Instructions.h"

#include <optional>

namespace hyssoppaddle::dispatch {

// An upstream's clock may run slower than ours by this fraction.
inline constexpr double kMaxClockLag = 0.02;

class LeaseClock
{
public:
  // aFloor: until then an earlier leader's leases may hold.
  explicit LeaseClock(Time aFloor)
    : floor(aFloor)
  {
  }

  // aClock was read before aReceived.
  void AddReading(UpstreamClock aClock, Time aReceived);

  // Lease end on the upstream's clock, aLength from now; nothing before the
  // first reading.
  [[nodiscard]] std::optional<UpstreamClock> LeaseEndAfter(Duration aLength,
                                                           Time aNow) const;

  // Recorded when the order leaves: it may take effect without an answer.
  void RecordGrant(UpstreamClock aUntil);

  // When all leases granted so far have ended on the slowest clock allowed.
  [[nodiscard]] Time AllEndedBy() const;

private:
  struct Reading
  {
    UpstreamClock clock = 0;
    Time received{};
  };

  Time floor;
  std::optional<Reading> reading; // the latest
  // Highest lease end of any order; invariant: never decreases.
  std::optional<UpstreamClock> grantedUntil;
};

} // namespace hyssoppaddle::dispatch

#endif
