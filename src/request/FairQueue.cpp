// Start-time fair queueing between teams, earliest deadline first within a
// team.
#include "request/FairQueue.h"

#include <algorithm>

namespace hyssoppaddle::request {

namespace {

constexpr double kSmoothingFactor = 0.1;
constexpr double kDefaultCostUs = 10000; // used before the first measurement
constexpr double kMaxCreditUs = 1000000; // in virtual time

void
Smooth(double& aMean, double aSample)
{
  aMean = aMean <= 0 ? aSample : aMean + kSmoothingFactor * (aSample - aMean);
}

} // namespace

std::size_t
FairQueue::BucketOf(Time aDeadline)
{
  return static_cast<std::size_t>(aDeadline.time_since_epoch().count() /
                                  1000000) %
         kBuckets;
}

double
FairQueue::CostOf(const Team& aTeam) const
{
  if (aTeam.estimateUs > 0) {
    return aTeam.estimateUs;
  }
  return this->meanCostUs > 0 ? this->meanCostUs : kDefaultCostUs;
}

void
FairQueue::Push(const QueuedRequest& aItem, std::uint32_t aShare, Time aNow)
{
  Team& team = this->teams[aItem.team];
  if (team.items.empty()) {
    team.share = std::max(aShare, 1U);
    team.startTag = std::max(team.startTag, this->virtualTime);
    this->order.emplace(team.startTag, aItem.team);
    this->waitingShares += team.share;
    team.rate.OnWaiting(aNow);
  }
  if (team.items.emplace(aItem.deadline, aItem.request).second) {
    ++team.countBySecond.at(BucketOf(aItem.deadline));
    ++this->size;
  }
}

bool
FairQueue::Remove(const QueuedRequest& aItem)
{
  const auto found = this->teams.find(aItem.team);
  if (found == this->teams.end() ||
      !found->second.items.contains({ aItem.deadline, aItem.request })) {
    return false;
  }
  this->Erase(found->first, found->second, aItem);
  return true;
}

void
FairQueue::Erase(const TeamId& aName, Team& aTeam, const QueuedRequest& aItem)
{
  aTeam.items.erase({ aItem.deadline, aItem.request });
  --aTeam.countBySecond.at(BucketOf(aItem.deadline));
  --this->size;
  if (aTeam.items.empty()) {
    this->order.erase({ aTeam.startTag, aName });
    this->waitingShares -= aTeam.share;
    aTeam.rate.OnEmpty();
  }
}

std::optional<QueuedRequest>
FairQueue::Pop(const Eligible& aEligible, Time aNow)
{
  const auto next = std::ranges::find_if(
    this->order, [&](const auto& aEntry) { return aEligible(aEntry.second); });
  if (next == this->order.end()) {
    return std::nullopt;
  }
  const TeamId name = next->second;
  Team& team = this->teams.at(name);
  const auto [deadline, request] = *team.items.begin();
  const QueuedRequest item{ request, name, deadline };
  team.rate.OnServed(aNow);
  this->order.erase(next);
  this->virtualTime = std::max(this->virtualTime, team.startTag);
  // Limits the credit that a team accumulates while it is passed over for lack
  // of a permit, but keeps refunds from OnEnded.
  const double base = std::max(team.startTag, this->virtualTime - kMaxCreditUs);
  team.startTag = base + this->CostOf(team) / team.share;
  this->order.emplace(team.startTag, name);
  this->Erase(name, team, item);
  return item;
}

void
FairQueue::OnEnded(const TeamId& aTeam, Duration aCharged, Duration aActual)
{
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    return;
  }
  Team& team = found->second;
  const auto actual = static_cast<double>(aActual.count());
  Smooth(team.estimateUs, actual);
  Smooth(this->meanCostUs, actual);
  const bool waits = !team.items.empty();
  if (waits) {
    this->order.erase({ team.startTag, aTeam });
  }
  team.startTag +=
    (actual - static_cast<double>(aCharged.count())) / team.share;
  if (waits) {
    this->order.emplace(team.startTag, aTeam);
  }
}

Duration
FairQueue::Estimate(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  const double cost =
    found == this->teams.end() ? kDefaultCostUs : this->CostOf(found->second);
  return Duration(static_cast<Duration::rep>(cost));
}

std::size_t
FairQueue::SizeOf(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() ? 0 : found->second.items.size();
}

std::size_t
FairQueue::CountAhead(const TeamId& aTeam, Time aDeadline) const
{
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end() || found->second.items.empty()) {
    return 0;
  }
  const Team& team = found->second;
  const Time first = team.items.begin()->first;
  const std::size_t last = BucketOf(aDeadline);
  if (aDeadline < first) {
    return 0;
  }
  std::size_t ahead = 0;
  std::size_t bucket = BucketOf(first);
  while (bucket != last) {
    ahead += team.countBySecond.at(bucket);
    bucket = (bucket + 1) % kBuckets;
  }
  return ahead + team.countBySecond.at(last);
}

std::optional<double>
FairQueue::RateOf(const TeamId& aTeam, Time aNow) const
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() ? std::nullopt
                                    : found->second.rate.PerSecond(aNow);
}

double
FairQueue::ShareOf(const TeamId& aTeam, std::uint32_t aShare) const
{
  const bool waits = this->SizeOf(aTeam) > 0;
  const double own = std::max(aShare, 1U);
  const double others =
    static_cast<double>(this->waitingShares) - (waits ? own : 0);
  return own / std::max(own + others, 1.0);
}

} // namespace hyssoppaddle::request
