// Compares the slowness of the voters.
#include "node/HandoverPolicy.h"

namespace hyssoppaddle::node {

namespace {

// A shorter slowness costs less than a change of the leader.
constexpr Duration kMinSlowTime = std::chrono::milliseconds(400);
// Three reports; an older one says nothing about the present.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
// A new leader first renews the leases of all upstreams.
constexpr Duration kMinTimeInOffice = std::chrono::seconds(2);
constexpr Duration kMinTimeBetweenAttempts = std::chrono::seconds(3);
// The next leader must be faster by this factor.
constexpr double kMinGain = 1.6;

} // namespace

void
HandoverPolicy::Record(const InstanceId& aVoter, double aSlowness, Time aNow)
{
  this->reports[aVoter] = { aSlowness, aNow };
}

void
HandoverPolicy::OnElected(Time aNow)
{
  this->slowSince.reset();
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
  std::optional<InstanceId> fastest;
  double slowness = aOwnSlowness / kMinGain;
  for (const InstanceId& voter : aVoters) {
    const auto report = this->reports.find(voter);
    if (voter != aSelf && report != this->reports.end() &&
        aNow - report->second.at < kReportLifetime &&
        report->second.slowness < slowness) {
      fastest = voter;
      slowness = report->second.slowness;
    }
  }
  if (fastest) {
    this->earliestNext = aNow + kMinTimeBetweenAttempts;
  }
  return fastest;
}

} // namespace hyssoppaddle::node
