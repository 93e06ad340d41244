// A load that admission uses for some time, so that deciding about a job does
// not look at all upstreams and jobs.
#ifndef hyssoppaddle_dispatch_RecentLoad_h
#define hyssoppaddle_dispatch_RecentLoad_h

#include "dispatch/Admission.h"

#include <optional>

namespace hyssoppaddle::dispatch {

struct RecentLoad
{
  Time measuredAt{};
  ServiceLoad load; // with the jobs that were accepted since
  std::optional<double> reachable;
};

} // namespace hyssoppaddle::dispatch

#endif
