// Adapts the limit to the delay of the leader's events.
#include "dispatch/StartWindow.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::dispatch {

namespace {

// A start waits for about four events, so at this delay of each the leader adds
// to a step less than a tenth of a second.
constexpr Duration kMaxDelay = milliseconds(20);
constexpr Duration kInterval = milliseconds(100);
constexpr std::size_t kMinLimit = 32;
// The lowest limit is one start for this many upstreams.
constexpr std::size_t kUpstreamsPerStart = 4;
// A limit above this one makes no difference.
constexpr std::size_t kMaxLimit = 4096;
// Smallest increase.
constexpr std::size_t kMinIncrease = 4;

} // namespace

bool
StartWindow::Observe(Duration aDelay, Time aNow)
{
  this->shortestDelay = std::min(this->shortestDelay, aDelay);
  if (aNow < this->intervalEndsAt) {
    return false;
  }
  this->intervalEndsAt = aNow + kInterval;
  return true;
}

void
StartWindow::Adapt(std::size_t aUnderway, std::size_t aUpstreams)
{
  const Duration delay = std::exchange(this->shortestDelay, Duration::max());
  const std::size_t lowest =
    std::max(kMinLimit, aUpstreams / kUpstreamsPerStart);
  if (delay >= kMaxDelay) {
    const std::size_t base = std::min(this->limit, std::max(aUnderway, lowest));
    this->limit = std::max(lowest, base - base / 8);
    return;
  }
  if (!this->IsLimited()) {
    return;
  }
  // A limit that is not used up limits nothing, so it need not stay.
  this->limit += aUnderway < this->limit / 2
                   ? this->limit
                   : std::max(kMinIncrease, this->limit / 8);
  if (this->limit > kMaxLimit) {
    this->limit = kUnlimited;
  }
}

bool
StartWindow::IsOpen(std::size_t aUnderway) const
{
  return !this->IsLimited() || aUnderway <= this->limit / 4 * 3;
}

std::size_t
StartWindow::Room(std::size_t aUnderway) const
{
  return this->limit - std::min(this->limit, aUnderway);
}

} // namespace hyssoppaddle::dispatch
