// Ordered set of timers; timers with the same time fire in insertion order.
#include "request/Timers.h"

namespace hyssoppaddle::request {

Timers::Handle
Timers::Add(Time aAt, Timer aTimer)
{
  const Handle handle{ aAt, this->next++ };
  this->timers.emplace(handle, std::move(aTimer));
  return handle;
}

void
Timers::Cancel(const Handle& aHandle)
{
  this->timers.erase(aHandle);
}

std::optional<Timer>
Timers::PopDue(Time aNow)
{
  const auto first = this->timers.begin();
  if (first == this->timers.end() || first->first.first > aNow) {
    return std::nullopt;
  }
  Timer due = std::move(first->second);
  this->timers.erase(first);
  return due;
}

} // namespace hyssoppaddle::request
