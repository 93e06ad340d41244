// Text form of replicated times (RFC 3339 in UTC).
#ifndef hyssoppaddle_base_WallTimeText_h
#define hyssoppaddle_base_WallTimeText_h

#include "base/Time.h"

#include <string>

namespace hyssoppaddle {

// For example 2026-12-04T09:00:00.123456Z.
std::string
FormatWallTime(WallTime aTime);

} // namespace hyssoppaddle

#endif
