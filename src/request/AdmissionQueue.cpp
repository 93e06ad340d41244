// Admission, early refusal and the choice of the next request of a service.
#include "request/AdmissionQueue.h"

#include <algorithm>

namespace hyssoppaddle::request {

namespace {

constexpr Duration kShortestRetryAfter{ 1000000 };
constexpr Duration kLongestRetryAfter{ 60000000 };

Duration
BoundRetryAfter(Duration aDelay)
{
  return std::clamp(aDelay, kShortestRetryAfter, kLongestRetryAfter);
}

} // namespace

FairQueue&
AdmissionQueue::Of(state::WorkClass aClass)
{
  return this->classes.at(static_cast<std::size_t>(aClass));
}

const FairQueue&
AdmissionQueue::Of(state::WorkClass aClass) const
{
  return this->classes.at(static_cast<std::size_t>(aClass));
}

AdmissionQueue::Verdict
AdmissionQueue::Judge(const Offer& aOffer, Time aNow) const
{
  const std::optional<Duration> wait = this->ExpectedWait(aOffer, aNow);
  if (this->SizeOf(aOffer.item.team) >= aOffer.queueLimit) {
    return { Answer::Full,
             BoundRetryAfter(wait.value_or(kShortestRetryAfter)) };
  }
  const Duration left = aOffer.item.deadline - aNow;
  const Duration run = this->Of(aOffer.workClass).Estimate(aOffer.item.team);
  if (wait && *wait + run > left) {
    return { Answer::TooLate, BoundRetryAfter(*wait + run - left) };
  }
  return {};
}

std::optional<Duration>
AdmissionQueue::ExpectedWait(const Offer& aOffer, Time aNow) const
{
  const FairQueue& queue = this->Of(aOffer.workClass);
  const TeamId& team = aOffer.item.team;
  std::optional<double> perSecond = queue.RateOf(team, aNow);
  if (!perSecond) {
    perSecond = this->rate.PerSecond(aNow);
    if (!perSecond) {
      return std::nullopt;
    }
    *perSecond *= queue.ShareOf(team, aOffer.share);
  }
  const auto ahead =
    static_cast<double>(queue.Ahead(team, aOffer.item.deadline));
  return Duration(static_cast<Duration::rep>(ahead / *perSecond * 1e6));
}

void
AdmissionQueue::Push(const Offer& aOffer, Time aNow)
{
  this->Of(aOffer.workClass).Push(aOffer.item, aOffer.share, aNow);
  this->order.OnWaiting(aOffer.workClass, aNow);
  this->rate.OnWaiting(aNow);
}

bool
AdmissionQueue::Remove(const Waiting& aItem, state::WorkClass aClass)
{
  FairQueue& queue = this->Of(aClass);
  const bool removed = queue.Remove(aItem);
  if (queue.Size() == 0) {
    this->order.OnEmpty(aClass);
  }
  if (this->Size() == 0) {
    this->rate.OnEmpty();
  }
  return removed;
}

std::optional<AdmissionQueue::Next>
AdmissionQueue::Pop(const FairQueue::Eligible& aEligible, Time aNow)
{
  for (const state::WorkClass workClass : this->order.Order(aNow)) {
    FairQueue& queue = this->Of(workClass);
    const std::optional<Waiting> item = queue.Pop(aEligible, aNow);
    if (!item) {
      continue;
    }
    this->rate.OnServed(aNow);
    this->order.OnServed(workClass, aNow);
    if (queue.Size() == 0) {
      this->order.OnEmpty(workClass);
    }
    if (this->Size() == 0) {
      this->rate.OnEmpty();
    }
    return Next{ *item, workClass, queue.Estimate(item->team) };
  }
  return std::nullopt;
}

void
AdmissionQueue::OnEnded(const TeamId& aTeam,
                        state::WorkClass aClass,
                        Duration aCharged,
                        Duration aActual)
{
  this->Of(aClass).OnEnded(aTeam, aCharged, aActual);
}

std::size_t
AdmissionQueue::Size() const
{
  std::size_t size = 0;
  for (const FairQueue& queue : this->classes) {
    size += queue.Size();
  }
  return size;
}

std::size_t
AdmissionQueue::SizeOf(const TeamId& aTeam) const
{
  std::size_t size = 0;
  for (const FairQueue& queue : this->classes) {
    size += queue.SizeOf(aTeam);
  }
  return size;
}

} // namespace hyssoppaddle::request
