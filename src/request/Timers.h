// Times at which the request path has to act without an outside event. The
// owner of a timer cancels it when its reason is gone, so that the set holds
// only live entries.
#ifndef hyssoppaddle_request_Timers_h
#define hyssoppaddle_request_Timers_h

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace hyssoppaddle::request {

enum class TimerKind : std::uint8_t
{
  Deadline,    // of a request
  RetryDue,    // a request's delay before the next attempt is over
  PermitFree,  // an abandoned attempt cannot be running any more
  Probe,       // an ejected upstream may be tried again
  RampStep,    // an upstream in slow start may take more
  HeardLapsed, // an upstream was last heard here too long ago
};

struct Timer
{
  TimerKind kind = TimerKind::Deadline;
  std::uint64_t number = 0; // request or hold; unused for upstreams
  InstanceId upstream;
};

class Timers
{
public:
  using Handle = std::pair<Time, std::uint64_t>;

  Handle Add(Time aAt, Timer aTimer);
  void Cancel(const Handle& aHandle);
  // Removes and returns the earliest timer that is due.
  std::optional<Timer> PopDue(Time aNow);
  [[nodiscard]] std::size_t Size() const { return this->timers.size(); }

private:
  std::map<Handle, Timer> timers;
  std::uint64_t next = 1; // 0: a handle that was never added
};

} // namespace hyssoppaddle::request

#endif
