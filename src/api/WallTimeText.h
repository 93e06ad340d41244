// Text of replicated times: RFC 3339 in UTC.
#ifndef hyssoppaddle_api_WallTimeText_h
#define hyssoppaddle_api_WallTimeText_h

#include "base/Time.h"

#include <string>

namespace hyssoppaddle::api {

// For example 2026-12-04T09:00:00.123456Z.
std::string
FormatWallTime(WallTime aTime);

} // namespace hyssoppaddle::api

#endif
