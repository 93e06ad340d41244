// Sampling of candidates and the lists of upstreams that can take work.
#include "request/Router.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::request {

namespace {

using Place = std::size_t Upstream::*;

void
Remove(std::vector<Upstream*>& aList, Upstream& aUpstream, Place aPlace)
{
  const std::size_t place = aUpstream.*aPlace;
  if (place == kNowhere) {
    return;
  }
  Upstream* last = aList.back();
  aList[place] = last;
  last->*aPlace = place;
  aList.pop_back();
  aUpstream.*aPlace = kNowhere;
}

void
SetListed(std::vector<Upstream*>& aList,
          Upstream& aUpstream,
          Place aPlace,
          bool aListed)
{
  if (!aListed) {
    Remove(aList, aUpstream, aPlace);
  } else if (aUpstream.*aPlace == kNowhere) {
    aUpstream.*aPlace = aList.size();
    aList.push_back(&aUpstream);
  }
}

std::vector<Upstream*>&
ReadyList(ServiceGroup& aGroup, const Upstream& aUpstream)
{
  return aUpstream.sameDataCentre ? aGroup.ready : aGroup.readyRemote;
}

// Share of the limit in use once this request runs there, times the slowdown
// against the service's usual latency. The own requests are about a tenth of
// what an upstream runs, so that its latency tells more about its load than
// their number. Late failures count like load: at most 30% of a service can be
// ejected, and a lost rack can be more.
double
Load(const Upstream& aUpstream, Time aNow)
{
  const std::optional<Duration> usual = aUpstream.group->baseline.Usual();
  const double used = static_cast<double>(aUpstream.inFlight) + 1;
  const double slowdown =
    usual ? aUpstream.limit.Latency() / static_cast<double>(usual->count()) : 1;
  const bool failedLately = aUpstream.failures > 0 &&
                            aNow - aUpstream.failedAt < Router::kFailureWeighs;
  const double failures = failedLately ? aUpstream.failures : 0;
  return used * std::max(1.0, slowdown) * (1 + failures) /
         aUpstream.limit.Value();
}

} // namespace

Router::Router(DataCentreId aOwn, std::uint64_t aSeed)
  : own(std::move(aOwn))
  , random(aSeed)
{
}

bool
Router::CanPick(const ServiceGroup& aGroup, bool aHeardOnly)
{
  if (aHeardOnly) {
    return !aGroup.readyHeard.empty();
  }
  return !aGroup.ready.empty() || !aGroup.readyRemote.empty();
}

Router::Choice
Router::Pick(const ServiceGroup& aGroup, const Wish& aWish)
{
  Choice choice;
  if (aWish.mayProbe && !aWish.heardOnly && !aGroup.toProbe.empty()) {
    choice.rule = "probe of an ejected upstream";
    choice.upstream = aGroup.toProbe.back();
    return choice;
  }
  if (aWish.heardOnly) {
    choice.rule = "least loaded of those heard here";
    this->Sample(aGroup.readyHeard, aWish, 1, choice);
  } else {
    choice.rule = "least loaded in own data centre";
    this->Sample(aGroup.ready, aWish, 1, choice);
    if (choice.load > kSpillLoad &&
        this->Sample(aGroup.readyRemote, aWish, kRemotePenalty, choice)) {
      choice.rule = "least loaded in other data centres";
    }
  }
  if (choice.upstream == nullptr && !aWish.avoid.empty()) {
    Wish any = aWish;
    any.avoid = InstanceId();
    return this->Pick(aGroup, any);
  }
  return choice;
}

bool
Router::Sample(const List& aList,
               const Wish& aWish,
               double aPenalty,
               Choice& aChoice)
{
  constexpr std::size_t kSamples = 3;
  std::array<std::size_t, kSamples> drawn{};
  bool chosen = false;
  const std::size_t count = std::min(kSamples, aList.size());
  for (std::size_t draw = 0; draw < count; ++draw) {
    // Floyd's sampling: distinct places without a shuffle.
    const std::size_t top = aList.size() - count + draw;
    std::size_t place = this->random.Below(top + 1);
    const auto* end = drawn.begin() + draw;
    if (std::find(static_cast<const std::size_t*>(drawn.begin()), end, place) !=
        end) {
      place = top;
    }
    drawn.at(draw) = place;
    Upstream& upstream = *aList[place];
    if (upstream.id == aWish.avoid) {
      continue;
    }
    const double load = aPenalty * Load(upstream, aWish.now);
    aChoice.candidates.push_back(
      { upstream.id, load, upstream.sameDataCentre });
    if (load < aChoice.load) {
      aChoice.load = load;
      aChoice.upstream = &upstream;
      chosen = true;
    }
  }
  return chosen;
}

void
Router::OnFactsChanged(Upstream& aUpstream) const
{
  const state::Announcement& facts = aUpstream.facts;
  aUpstream.limit.SetCeiling(std::min(facts.slots, facts.connections));
  const bool same = facts.dataCentre == this->own;
  if (same != aUpstream.sameDataCentre && aUpstream.group != nullptr) {
    Unlist(aUpstream, *aUpstream.group);
  }
  aUpstream.sameDataCentre = same;
}

void
Router::BeginRamp(Upstream& aUpstream, Time aNow, Duration aServedFor)
{
  aUpstream.rampFrom = aNow - std::clamp(aServedFor, Duration(0), kSlowStart);
  aUpstream.ramping = aServedFor < kSlowStart;
}

std::uint32_t
Router::LimitNow(const Upstream& aUpstream, Time aNow)
{
  if (aUpstream.health == Health::Probing) {
    return 1;
  }
  double limit = aUpstream.limit.Value();
  if (aUpstream.ramping) {
    const auto served =
      static_cast<double>((aNow - aUpstream.rampFrom).count());
    limit *= std::min(1.0, served / static_cast<double>(kSlowStart.count()));
  }
  return std::max(1U, static_cast<std::uint32_t>(limit));
}

void
Router::Refresh(Upstream& aUpstream, bool aHeard, Time aNow)
{
  if (aUpstream.group == nullptr) {
    return;
  }
  if (aUpstream.ramping && aNow - aUpstream.rampFrom >= kSlowStart) {
    aUpstream.ramping = false;
  }
  ServiceGroup& group = *aUpstream.group;
  const bool ready = aUpstream.health != Health::Ejected &&
                     aUpstream.inFlight < LimitNow(aUpstream, aNow);
  SetListed(
    ReadyList(group, aUpstream), aUpstream, &Upstream::readyPlace, ready);
  SetListed(
    group.readyHeard, aUpstream, &Upstream::heardPlace, ready && aHeard);
  const bool toProbe =
    aUpstream.health == Health::Probing && aUpstream.inFlight == 0;
  SetListed(group.toProbe, aUpstream, &Upstream::probePlace, toProbe);
}

void
Router::Unlist(Upstream& aUpstream, ServiceGroup& aGroup)
{
  Remove(ReadyList(aGroup, aUpstream), aUpstream, &Upstream::readyPlace);
  Remove(aGroup.readyHeard, aUpstream, &Upstream::heardPlace);
  Remove(aGroup.toProbe, aUpstream, &Upstream::probePlace);
}

} // namespace hyssoppaddle::request
