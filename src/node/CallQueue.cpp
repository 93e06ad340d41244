// Shares the leader's time between the classes of calls.
#include "node/CallQueue.h"

#include <algorithm>
#include <numeric>
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

CallQueue::CallQueue(DiscardFunction aDiscard, std::size_t aMaxBytes)
  : discard(std::move(aDiscard))
  , maxBytes(aMaxBytes)
{
}

QueuedCall
CallQueue::Lane::TakeFront()
{
  QueuedCall call = std::move(this->calls.front());
  this->calls.pop_front();
  this->bytes -= call.request.body.size();
  return call;
}

QueuedCall
CallQueue::Lane::TakeBack()
{
  QueuedCall call = std::move(this->calls.back());
  this->calls.pop_back();
  this->bytes -= call.request.body.size();
  return call;
}

void
CallQueue::DiscardOldest(Lane& aLane)
{
  this->discard(aLane.TakeFront(), DiscardReason::NotServed);
}

void
CallQueue::Push(QueuedCall aCall)
{
  Lane& lane = this->lanes[static_cast<std::size_t>(aCall.callClass)];
  if (lane.calls.empty()) {
    // A class gains no credit while it has nothing to serve.
    lane.served = std::max(lane.served, this->servedFloor);
  }
  lane.bytes += aCall.request.body.size();
  lane.calls.push_back(std::move(aCall));
  if (lane.calls.size() > kMaxWaiting) {
    this->DiscardOldest(lane);
  }
  while (this->Bytes() > this->maxBytes) {
    const auto largest =
      std::max_element(this->lanes.begin(),
                       this->lanes.end(),
                       [](const Lane& aLeft, const Lane& aRight) {
                         return aLeft.bytes < aRight.bytes;
                       });
    this->DiscardOldest(*largest);
  }
}

std::size_t
CallQueue::Bytes() const
{
  return std::accumulate(
    this->lanes.begin(),
    this->lanes.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const Lane& aLane) { return aSum + aLane.bytes; });
}

std::optional<CallQueue::DiscardReason>
CallQueue::LateReason(const QueuedCall& aCall, Time aNow)
{
  if (aNow >= aCall.answerBy) {
    return DiscardReason::CallerGone;
  }
  const Duration reserve =
    std::min(kMinTimeLeft, (aCall.answerBy - aCall.arrivedAt) / 4);
  return aNow > aCall.answerBy - reserve
           ? std::optional(DiscardReason::NotServed)
           : std::nullopt;
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
    while (!lane.calls.empty()) {
      const auto reason = LateReason(lane.calls.front(), aNow);
      if (!reason) {
        break;
      }
      this->discard(lane.TakeFront(), *reason);
    }
  }
  while (Lane* lane = this->NextLane()) {
    const bool isBehind = aNow - lane->calls.front().arrivedAt >= kMaxFairDelay;
    QueuedCall call = isBehind ? lane->TakeBack() : lane->TakeFront();
    if (const auto reason = LateReason(call, aNow)) {
      this->discard(std::move(call), *reason);
      continue;
    }
    this->servedFloor = lane->served;
    return call;
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
    lane.bytes = 0;
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
