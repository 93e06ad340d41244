// Admission, early rejection and selection of the next request of a service.
#include "request/AdmissionQueue.h"

#include <algorithm>

namespace hyssoppaddle::request {

namespace {

constexpr Duration kShortestRetryAfter = std::chrono::seconds(1);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(60);

Duration
BoundRetryAfter(Duration aDelay)
{
  return std::clamp(aDelay, kShortestRetryAfter, kLongestRetryAfter);
}

} // namespace

FairQueue&
AdmissionQueue::QueueFor(state::WorkClass aClass)
{
  return this->classes.at(static_cast<std::size_t>(aClass));
}

const FairQueue&
AdmissionQueue::QueueFor(state::WorkClass aClass) const
{
  return this->classes.at(static_cast<std::size_t>(aClass));
}

AdmissionQueue::Verdict
AdmissionQueue::Evaluate(const AdmissionRequest& aAdmission, Time aNow) const
{
  const std::optional<Duration> wait = this->ExpectedWait(aAdmission, aNow);
  if (this->SizeOf(aAdmission.item.team) >= aAdmission.queueLimit) {
    return { AdmissionResult::Full,
             BoundRetryAfter(wait.value_or(kShortestRetryAfter)) };
  }
  const Duration left = aAdmission.item.deadline - aNow;
  const Duration run =
    this->QueueFor(aAdmission.workClass).Estimate(aAdmission.item.team);
  if (wait && *wait + run > left) {
    return { AdmissionResult::TooLate, BoundRetryAfter(*wait + run - left) };
  }
  return {};
}

std::optional<Duration>
AdmissionQueue::ExpectedWait(const AdmissionRequest& aAdmission,
                             Time aNow) const
{
  const FairQueue& queue = this->QueueFor(aAdmission.workClass);
  const TeamId& team = aAdmission.item.team;
  std::optional<double> perSecond = queue.RateOf(team, aNow);
  if (!perSecond) {
    perSecond = this->rate.PerSecond(aNow);
    if (!perSecond) {
      return std::nullopt;
    }
    *perSecond *= queue.ShareOf(team, aAdmission.share);
  }
  const auto ahead =
    static_cast<double>(queue.CountAhead(team, aAdmission.item.deadline));
  return Duration(static_cast<Duration::rep>(ahead / *perSecond * 1e6));
}

void
AdmissionQueue::Push(const AdmissionRequest& aAdmission, Time aNow)
{
  this->QueueFor(aAdmission.workClass)
    .Push(aAdmission.item, aAdmission.share, aNow);
  this->order.OnWaiting(aAdmission.workClass, aNow);
  this->rate.OnWaiting(aNow);
}

bool
AdmissionQueue::Remove(const QueuedRequest& aItem, state::WorkClass aClass)
{
  FairQueue& queue = this->QueueFor(aClass);
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
    FairQueue& queue = this->QueueFor(workClass);
    const std::optional<QueuedRequest> item = queue.Pop(aEligible, aNow);
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
  this->QueueFor(aClass).OnEnded(aTeam, aCharged, aActual);
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
