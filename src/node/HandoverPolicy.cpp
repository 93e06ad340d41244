// Compares the slowness of the voters.
#include "node/HandoverPolicy.h"

#include <cmath>

namespace hyssoppaddle::node {

namespace {

// A shorter slowness costs less than a change of the leader.
constexpr Duration kMinSlowTime = std::chrono::milliseconds(400);
// An older report says nothing about the present.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
// Time between two samples of a voter: a report that follows the slowness of
// this node by less can have been made before it.
constexpr Duration kSampleAge = std::chrono::milliseconds(200);
// A new leader first renews the leases of all upstreams.
constexpr Duration kMinTimeInOffice = std::chrono::seconds(2);
constexpr Duration kMinTimeBetweenAttempts = std::chrono::seconds(3);
// The next leader must be faster by this factor.
constexpr double kMinGain = 1.6;

} // namespace

void
HandoverPolicy::Record(const InstanceId& aVoter, double aSlowness, Time aNow)
{
  if (std::isfinite(aSlowness) && aSlowness > 0) {
    this->reports[aVoter] = { aSlowness, aNow };
  }
}

void
HandoverPolicy::OnElected(Time aNow)
{
  this->slowSince.reset();
  this->lastChoice.reset();
  this->earliestNext = aNow + kMinTimeInOffice;
}

std::optional<InstanceId>
HandoverPolicy::Choose(double aOwnSlowness,
                       std::span<const InstanceId> aVoters,
                       const InstanceId& aSelf,
                       Time aNow)
{
  if (aOwnSlowness < kSlow) {
    this->slowSince.reset();
    return std::nullopt;
  }
  this->slowSince = this->slowSince.value_or(aNow);
  if (aNow - *this->slowSince < kMinSlowTime || aNow < this->earliestNext) {
    return std::nullopt;
  }
  std::optional<InstanceId> fastest = this->Fastest(
    aOwnSlowness / kMinGain, aVoters, aSelf, this->lastChoice, aNow);
  if (!fastest && this->lastChoice) {
    fastest = this->Fastest(
      aOwnSlowness / kMinGain, aVoters, aSelf, std::nullopt, aNow);
  }
  if (fastest) {
    this->earliestNext = aNow + kMinTimeBetweenAttempts;
    this->lastChoice = fastest;
  }
  return fastest;
}

std::optional<InstanceId>
HandoverPolicy::Fastest(double aBelow,
                        std::span<const InstanceId> aVoters,
                        const InstanceId& aSelf,
                        const std::optional<InstanceId>& aExcept,
                        Time aNow) const
{
  std::optional<InstanceId> fastest;
  double slowness = aBelow;
  for (const InstanceId& voter : aVoters) {
    const auto report = this->reports.find(voter);
    const bool isCandidate = voter != aSelf && voter != aExcept &&
                             report != this->reports.end() &&
                             aNow - report->second.at < kReportLifetime &&
                             report->second.at >= *this->slowSince + kSampleAge;
    if (isCandidate && report->second.slowness < slowness) {
      fastest = voter;
      slowness = report->second.slowness;
    }
  }
  return fastest;
}

} // namespace hyssoppaddle::node
