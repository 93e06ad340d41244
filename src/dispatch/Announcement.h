// What an upstream says of itself at regular intervals.
#ifndef hyssoppaddle_dispatch_Announcement_h
#define hyssoppaddle_dispatch_Announcement_h

#include "dispatch/Instructions.h"

#include <optional>

namespace hyssoppaddle::dispatch {

struct Announcement
{
  InstanceId id;
  work::Upstream record;
  std::uint64_t sequence = 0; // rises with each announcement of one boot
  std::optional<UpstreamClock> clock;
  std::optional<Duration> leavesIn; // at the earliest, while draining
};

} // namespace hyssoppaddle::dispatch

#endif
