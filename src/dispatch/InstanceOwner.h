// Orders to the owner of the instances that are under way, and instances that
// are away.
#ifndef hyssoppaddle_dispatch_InstanceOwner_h
#define hyssoppaddle_dispatch_InstanceOwner_h

#include "dispatch/Instructions.h"

#include <map>
#include <string>

namespace hyssoppaddle::dispatch {

struct InstanceOwner
{
  struct OpenOrder
  {
    std::string instance;
    std::uint64_t wave = 0;
  };

  std::map<std::uint64_t, OpenOrder> orders; // by token
  std::map<std::string, Time> begunAt;       // maintenance, as known here
  std::map<std::string, Time> missingSince;  // without an upstream
};

} // namespace hyssoppaddle::dispatch

#endif
