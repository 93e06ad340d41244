// Ejects upstreams after consecutive failures, with a bound per service.
#include "request/Ejector.h"

#include <algorithm>

namespace hyssoppaddle::request {

Ejector::Ejector(std::uint64_t aSeed)
  : random(aSeed)
{
}

bool
Ejector::WithinBound(const ServiceGroup& aGroup, std::size_t aEjected)
{
  return aEjected * 100 <= aGroup.usable * kMaxEjectedPercent;
}

std::optional<Duration>
Ejector::OnFailure(Upstream& aUpstream, Time aNow)
{
  ++aUpstream.failures;
  aUpstream.failedAt = aNow;
  ServiceGroup* group = aUpstream.group;
  if (group == nullptr || aUpstream.health == Health::Ejected) {
    return std::nullopt;
  }
  if (aUpstream.health == Health::Healthy) {
    if (aUpstream.failures < kFailuresToEject ||
        !WithinBound(*group, group->ejected.size() + 1)) {
      return std::nullopt;
    }
    group->ejected.push_back(&aUpstream);
  }
  aUpstream.health = Health::Ejected;
  const Duration delay = this->ProbeDelay(aUpstream);
  ++aUpstream.ejections;
  return delay;
}

Duration
Ejector::ProbeDelay(const Upstream& aUpstream)
{
  const std::uint32_t doublings = std::min(aUpstream.ejections, 6U);
  const Duration delay = std::min(
    kFirstProbeDelay * (Duration::rep{ 1 } << doublings), kMaxProbeDelay);
  // Jitter prevents the upstreams of a lost rack from being probed at the same
  // time.
  return delay + this->random.Between(Duration(0), delay / 4);
}

bool
Ejector::OnSuccess(Upstream& aUpstream)
{
  aUpstream.failures = 0;
  if (aUpstream.health != Health::Probing) {
    return false;
  }
  if (aUpstream.group != nullptr) {
    std::erase(aUpstream.group->ejected, &aUpstream);
  }
  aUpstream.health = Health::Healthy;
  aUpstream.ejections = 0;
  return true;
}

void
Ejector::BeginProbe(Upstream& aUpstream)
{
  if (aUpstream.health == Health::Ejected) {
    aUpstream.health = Health::Probing;
  }
}

void
Ejector::Reset(Upstream& aUpstream, ServiceGroup& aGroup)
{
  if (aUpstream.health != Health::Healthy) {
    std::erase(aGroup.ejected, &aUpstream);
  }
  aUpstream.health = Health::Healthy;
  aUpstream.failures = 0;
  aUpstream.ejections = 0;
}

Upstream*
Ejector::ReadmitOverBound(ServiceGroup& aGroup)
{
  if (aGroup.ejected.empty() || WithinBound(aGroup, aGroup.ejected.size())) {
    return nullptr;
  }
  Upstream* oldest = aGroup.ejected.front();
  aGroup.ejected.erase(aGroup.ejected.begin());
  oldest->health = Health::Healthy;
  // A single further failure ejects it again if the bound permits it.
  oldest->failures = kFailuresToEject - 1;
  return oldest;
}

} // namespace hyssoppaddle::request
