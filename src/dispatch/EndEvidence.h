// What the leader relied on when it recorded the end of a run.
#ifndef hyssoppaddle_dispatch_EndEvidence_h
#define hyssoppaddle_dispatch_EndEvidence_h

#include <cstdint>

namespace hyssoppaddle::dispatch {

enum class EndEvidence : std::uint8_t
{
  None,
  Listed,          // the upstream listed the end
  AbsentFromLists, // a complete answer of the upstream did not list the run
  LeaseExpired,
  AddressReused, // the address answered for another upstream
  StartRefused,  // the upstream refused the start
  NotSent,       // the start was never sent
};

} // namespace hyssoppaddle::dispatch

#endif
