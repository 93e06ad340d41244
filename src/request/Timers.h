// Timers of the request path. The owner of a timer cancels it when it is no
// longer needed, so that the set contains only active timers.
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
  Deadline,            // the deadline of a request passed
  RetryDue,            // the delay before the next attempt of a request is over
  HoldExpired,         // an abandoned attempt can no longer be running
  Probe,               // an ejected upstream may be probed
  RampStep,            // the limit of an upstream in slow start increases
  AnnouncementExpired, // the last announcement of an upstream expired
};

struct Timer
{
  TimerKind kind = TimerKind::Deadline;
  std::uint64_t number = 0; // of the request or hold; unused for upstreams
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
  std::uint64_t next = 1; // 0 is the handle of a timer that was never added
};

} // namespace hyssoppaddle::request

#endif
