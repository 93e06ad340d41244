// Samples candidates and maintains the lists of upstreams that can take work.
#include "request/Router.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::request {

namespace {

using IndexMember = std::size_t Upstream::*;

void
Remove(std::vector<Upstream*>& aList,
       Upstream& aUpstream,
       IndexMember aIndexMember)
{
  const std::size_t index = aUpstream.*aIndexMember;
  if (index == kNotListed) {
    return;
  }
  Upstream* last = aList.back();
  aList[index] = last;
  last->*aIndexMember = index;
  aList.pop_back();
  aUpstream.*aIndexMember = kNotListed;
}

void
SetListed(std::vector<Upstream*>& aList,
          Upstream& aUpstream,
          IndexMember aIndexMember,
          bool aListed)
{
  if (!aListed) {
    Remove(aList, aUpstream, aIndexMember);
  } else if (aUpstream.*aIndexMember == kNotListed) {
    aUpstream.*aIndexMember = aList.size();
    aList.push_back(&aUpstream);
  }
}

std::vector<Upstream*>&
ReadyList(ServiceGroup& aGroup, const Upstream& aUpstream)
{
  return aUpstream.sameDataCentre ? aGroup.ready : aGroup.readyRemote;
}

// Load of the upstream: the fraction of its limit in use including the new
// request, times its latency relative to the baseline. The requests of this
// instance are only about a tenth of those that an upstream runs, so its
// latency says more about its load than their number. Recent failures increase
// the load as well: at most 30% of a service can be ejected, but a lost rack
// can contain more.
double
Load(const Upstream& aUpstream, Time aNow)
{
  const std::optional<Duration> baselineLatency =
    aUpstream.group->baseline.BaselineLatency();
  const double used = static_cast<double>(aUpstream.inFlight) + 1;
  const double slowdown = baselineLatency
                            ? aUpstream.limit.Latency() /
                                static_cast<double>(baselineLatency->count())
                            : 1;
  const bool failedRecently =
    aUpstream.failures > 0 &&
    aNow - aUpstream.failedAt < Router::kFailurePenaltyTime;
  const double failures = failedRecently ? aUpstream.failures : 0;
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
Router::CanPick(const ServiceGroup& aGroup, bool aAnnouncedHereOnly)
{
  if (aAnnouncedHereOnly) {
    return !aGroup.readyAnnounced.empty();
  }
  return !aGroup.ready.empty() || !aGroup.readyRemote.empty();
}

Router::Choice
Router::Pick(const ServiceGroup& aGroup, const Criteria& aCriteria)
{
  Choice choice;
  if (aCriteria.mayProbe && !aCriteria.announcedHereOnly &&
      !aGroup.toProbe.empty()) {
    choice.rule = "probe of an ejected upstream";
    choice.upstream = aGroup.toProbe.back();
    return choice;
  }
  if (aCriteria.announcedHereOnly) {
    choice.rule = "least loaded of those heard here";
    this->Sample(aGroup.readyAnnounced, aCriteria, 1, choice);
  } else {
    choice.rule = "least loaded in own data centre";
    this->Sample(aGroup.ready, aCriteria, 1, choice);
    if (choice.load > kSpilloverLoad &&
        this->Sample(aGroup.readyRemote, aCriteria, kRemotePenalty, choice)) {
      choice.rule = "least loaded in other data centres";
    }
  }
  if (choice.upstream == nullptr && !aCriteria.avoid.empty()) {
    Criteria any = aCriteria;
    any.avoid = InstanceId();
    return this->Pick(aGroup, any);
  }
  return choice;
}

bool
Router::Sample(const UpstreamList& aList,
               const Criteria& aCriteria,
               double aPenalty,
               Choice& aChoice)
{
  constexpr std::size_t kSamples = 3;
  std::array<std::size_t, kSamples> drawn{};
  bool chosen = false;
  const std::size_t count = std::min(kSamples, aList.size());
  for (std::size_t draw = 0; draw < count; ++draw) {
    // Floyd's algorithm: samples distinct indexes without a shuffle.
    const std::size_t top = aList.size() - count + draw;
    std::size_t index = this->random.Below(top + 1);
    const auto* end = drawn.begin() + draw;
    if (std::find(static_cast<const std::size_t*>(drawn.begin()), end, index) !=
        end) {
      index = top;
    }
    drawn.at(draw) = index;
    Upstream& upstream = *aList[index];
    if (upstream.id == aCriteria.avoid) {
      continue;
    }
    const double load = aPenalty * Load(upstream, aCriteria.now);
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
Router::OnAnnouncementChanged(Upstream& aUpstream) const
{
  const state::Announcement& latestAnnouncement = aUpstream.latestAnnouncement;
  aUpstream.limit.SetCeiling(
    std::min(latestAnnouncement.slots, latestAnnouncement.connections));
  const bool same = latestAnnouncement.dataCentre == this->own;
  if (same != aUpstream.sameDataCentre && aUpstream.group != nullptr) {
    Unlist(aUpstream, *aUpstream.group);
  }
  aUpstream.sameDataCentre = same;
}

void
Router::BeginRamp(Upstream& aUpstream, Time aNow, Duration aServedFor)
{
  aUpstream.rampStartedAt =
    aNow - std::clamp(aServedFor, Duration(0), kSlowStartTime);
  aUpstream.ramping = aServedFor < kSlowStartTime;
}

std::uint32_t
Router::CurrentLimit(const Upstream& aUpstream, Time aNow)
{
  if (aUpstream.health == Health::Probing) {
    return 1;
  }
  double limit = aUpstream.limit.Value();
  if (aUpstream.ramping) {
    const auto served =
      static_cast<double>((aNow - aUpstream.rampStartedAt).count());
    limit *=
      std::min(1.0, served / static_cast<double>(kSlowStartTime.count()));
  }
  return std::max(1U, static_cast<std::uint32_t>(limit));
}

void
Router::Refresh(Upstream& aUpstream, bool aAnnouncedHere, Time aNow)
{
  if (aUpstream.group == nullptr) {
    return;
  }
  if (aUpstream.ramping && aNow - aUpstream.rampStartedAt >= kSlowStartTime) {
    aUpstream.ramping = false;
  }
  ServiceGroup& group = *aUpstream.group;
  const bool ready = aUpstream.health != Health::Ejected &&
                     aUpstream.inFlight < CurrentLimit(aUpstream, aNow);
  SetListed(
    ReadyList(group, aUpstream), aUpstream, &Upstream::readyIndex, ready);
  SetListed(group.readyAnnounced,
            aUpstream,
            &Upstream::announcedIndex,
            ready && aAnnouncedHere);
  const bool toProbe =
    aUpstream.health == Health::Probing && aUpstream.inFlight == 0;
  SetListed(group.toProbe, aUpstream, &Upstream::probeIndex, toProbe);
}

void
Router::Unlist(Upstream& aUpstream, ServiceGroup& aGroup)
{
  Remove(ReadyList(aGroup, aUpstream), aUpstream, &Upstream::readyIndex);
  Remove(aGroup.readyAnnounced, aUpstream, &Upstream::announcedIndex);
  Remove(aGroup.toProbe, aUpstream, &Upstream::probeIndex);
}

} // namespace hyssoppaddle::request
