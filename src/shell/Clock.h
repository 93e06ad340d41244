// The clocks of the process. Only the shell reads them.
#ifndef hyssoppaddle_shell_Clock_h
#define hyssoppaddle_shell_Clock_h

#include "base/Time.h"

namespace hyssoppaddle::shell {

Time
MonotonicNow();

WallTime
WallClockNow();

} // namespace hyssoppaddle::shell

#endif
