// The status that an upstream announces at regular intervals.
#ifndef hyssoppaddle_dispatch_Announcement_h
#define hyssoppaddle_dispatch_Announcement_h

#include "dispatch/Instructions.h"

#include <optional>

namespace hyssoppaddle::dispatch {

struct Announcement
{
  InstanceId id;
  work::Upstream record;
  std::uint64_t sequence = 0; // increases with each announcement of one boot
  std::optional<Duration> leavesIn; // earliest departure while it drains
  // How much longer it runs tasks slowly after its start.
  Duration coldFor{ 0 };
};

} // namespace hyssoppaddle::dispatch

#endif
