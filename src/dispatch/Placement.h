// Which upstream a task goes to.
//
// Load pattern: wide steps of unequal tasks on a pool that is nearly full. The
// fullest upstream that still holds the task keeps whole upstreams free for the
// large tasks; the data's rack comes before that, since work elsewhere takes a
// multiple of the time.
#ifndef hyssoppaddle_dispatch_Placement_h
#define hyssoppaddle_dispatch_Placement_h

#include "dispatch/UpstreamSession.h"

#include <functional>
#include <map>
#include <string>

namespace hyssoppaddle::dispatch {

using Sessions = std::map<InstanceId, UpstreamSession>;

struct PlacementQuery
{
  const work::Step* step = nullptr;
  work::TaskRef task;
  ServiceId service;
  std::string rack; // all tasks of the step should be on this one; may be empty
  InstanceId avoid; // where the task failed last
  bool enforcesCapacity = true;
  Time now{};
  // Ticket to run the step there; null where the queue needs no advice.
  std::function<bool(const InstanceId&)> hasTicket;
};

// True when starts may go to the upstream at all.
bool
IsUsable(const UpstreamSession& aSession, Time aNow);

// The best upstream, or null.
UpstreamSession*
ChooseUpstream(Sessions& aSessions, const PlacementQuery& aQuery);

} // namespace hyssoppaddle::dispatch

#endif
