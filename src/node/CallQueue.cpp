// Shares the leader's time between the classes of calls.
#include "node/CallQueue.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::node {

namespace {

// A class whose oldest call has waited this long is behind.
constexpr Duration kMaxFairDelay = std::chrono::milliseconds(150);
// A call is not started with less time left than this, or a quarter of the time
// that it had on arrival if that is shorter. Its caller learns in time that it
// has not run.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(120);
// Charged at least for each call, so that a class of calls that take no
// measurable time cannot displace the others.
constexpr Duration kMinCharge = std::chrono::microseconds(10);

// Shares of the leader's time while all classes have waiting calls, in the
// order of CallClass. Orders are few, and what they change lasts.
constexpr std::array<double, CallQueue::kClasses> kWeights{ 8, 4, 4, 4 };

} // namespace

CallQueue::CallQueue(DiscardFunction aDiscard)
  : discard(std::move(aDiscard))
{
}

void
CallQueue::Push(QueuedCall aCall)
{
  Lane& lane = this->lanes[static_cast<std::size_t>(aCall.callClass)];
  if (lane.calls.empty()) {
    // A class gains no credit while it has nothing to serve.
    lane.served = std::max(lane.served, this->servedFloor);
  }
  lane.calls.push_back(std::move(aCall));
  if (lane.calls.size() > kMaxWaiting) {
    QueuedCall oldest = std::move(lane.calls.front());
    lane.calls.pop_front();
    this->discard(std::move(oldest), DiscardReason::NotServed);
  }
}

bool
CallQueue::DiscardIfLate(QueuedCall& aCall, Time aNow)
{
  if (aNow >= aCall.answerBy) {
    this->discard(std::move(aCall), DiscardReason::CallerGone);
    return true;
  }
  const Duration reserve =
    std::min(kMinTimeLeft, (aCall.answerBy - aCall.arrivedAt) / 4);
  if (aNow > aCall.answerBy - reserve) {
    this->discard(std::move(aCall), DiscardReason::NotServed);
    return true;
  }
  return false;
}

CallQueue::Lane*
CallQueue::NextLane()
{
  Lane* next = nullptr;
  for (Lane& lane : this->lanes) {
    if (!lane.calls.empty() &&
        (next == nullptr || lane.served < next->served)) {
      next = &lane;
    }
  }
  return next;
}

std::optional<QueuedCall>
CallQueue::Pop(Time aNow)
{
  for (Lane& lane : this->lanes) {
    while (!lane.calls.empty() &&
           this->DiscardIfLate(lane.calls.front(), aNow)) {
      lane.calls.pop_front();
    }
  }
  while (Lane* lane = this->NextLane()) {
    const bool isBehind = aNow - lane->calls.front().arrivedAt >= kMaxFairDelay;
    QueuedCall call =
      std::move(isBehind ? lane->calls.back() : lane->calls.front());
    if (isBehind) {
      lane->calls.pop_back();
    } else {
      lane->calls.pop_front();
    }
    if (!this->DiscardIfLate(call, aNow)) {
      this->servedFloor = lane->served;
      return call;
    }
  }
  return std::nullopt;
}

void
CallQueue::Charge(CallClass aClass, Duration aElapsed)
{
  const auto index = static_cast<std::size_t>(aClass);
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::duration<double, std::micro>>(
      std::max(aElapsed, kMinCharge));
  this->lanes[index].served += microseconds.count() / kWeights[index];
}

void
CallQueue::DiscardAll()
{
  for (Lane& lane : this->lanes) {
    for (QueuedCall& call : std::exchange(lane.calls, {})) {
      this->discard(std::move(call), DiscardReason::NotServed);
    }
  }
}

bool
CallQueue::IsEmpty() const
{
  return std::all_of(this->lanes.begin(),
                     this->lanes.end(),
                     [](const Lane& aLane) { return aLane.calls.empty(); });
}

} // namespace hyssoppaddle::node
