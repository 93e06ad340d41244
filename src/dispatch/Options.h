// Figures the dispatcher works with. The first group comes from the deployment,
// the second is its own.
#ifndef hyssoppaddle_dispatch_Options_h
#define hyssoppaddle_dispatch_Options_h

#include "base/Time.h"

#include <algorithm>

#include <string>

namespace hyssoppaddle::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An earlier leader may act for this long after the election that replaced it:
// until its check of the quorum ends its role.
inline constexpr Duration kDeposedLeaderWindow = milliseconds(500);

struct Options
{
  std::string self; // names this instance as the holder of instance orders

  // Of the deployment.
  Duration announceInterval = milliseconds(1500); // of upstreams
  Duration maxLease = milliseconds(6000);         // longer ones are shortened
  Duration maxStopTime = milliseconds(400);       // longest stop of a task
  Duration orderLease = milliseconds(3000);       // between two holders' orders
  Duration maintenanceTime = seconds(2);
  Duration moveTime = milliseconds(1500); // of an instance between two pools
  bool hasInstanceOwner = false;
  bool hasAdvisor = false;

  // Of the dispatcher.
  // Four fifths of the longest lease: a change of the leader takes 2 s.
  [[nodiscard]] Duration Lease() const { return this->maxLease * 4 / 5; }
  // A third of the lease, so that one lost answer costs no lease.
  [[nodiscard]] Duration LongPoll() const
  {
    return std::min<Duration>(this->Lease() / 3, milliseconds(2000));
  }
};

} // namespace hyssoppaddle::dispatch

#endif
