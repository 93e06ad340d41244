// Parameters of the dispatcher. The first group comes from the settings of the
// deployment, the second is derived from it.
#ifndef hyssoppaddle_dispatch_Options_h
#define hyssoppaddle_dispatch_Options_h

#include "base/Time.h"

#include <algorithm>

#include <string>

namespace hyssoppaddle::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

// For how long a deposed leader may still act after the election of its
// successor: until its quorum check ends its role.
inline constexpr Duration kDeposedLeaderWindow = milliseconds(500);

struct Options
{
  std::string self; // ID of this instance, recorded with instance orders

  // From the settings of the deployment.
  Duration announceInterval = milliseconds(1500); // of upstreams
  Duration maxLease = milliseconds(6000);         // upstreams cap longer ones
  Duration maxStopTime = milliseconds(400); // longest time a task takes to stop
  // Minimum time between orders of two leaders.
  Duration orderLease = milliseconds(3000);
  Duration maintenanceTime = seconds(2);
  // Duration of a move of an instance between two pools.
  Duration moveTime = milliseconds(1500);
  bool hasInstanceOwner = false;
  bool hasAdvisor = false;
  // Whether tasks that slow each other down are kept apart where there is room.
  bool learnsInterference = false;

  // Derived from them.
  // Four fifths of the longest lease, because a change of the leader takes 2 s.
  [[nodiscard]] Duration Lease() const { return this->maxLease * 4 / 5; }
  // How long a lease may last by the local clock.
  [[nodiscard]] Duration LongestLease() const
  {
    return this->maxLease + this->maxLease / 50;
  }
  // A third of the lease, so that a single lost answer does not let it expire.
  [[nodiscard]] Duration LongPoll() const
  {
    return std::min<Duration>(this->Lease() / 3, milliseconds(2000));
  }
};

} // namespace hyssoppaddle::dispatch

#endif
