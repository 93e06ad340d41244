// Accounts the time of the event loop to its parts.
#include "node/LoopMeter.h"

#include "dispatch/Text.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hyssoppaddle::node {

namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);
// A timer later than this delays leases and heartbeats.
constexpr Duration kNotableDelay = std::chrono::milliseconds(100);

// In the order of LoopPart.
constexpr std::array<std::string_view, LoopMeter::kParts> kNames{
  "outside",  "calls",   "peer_messages", "raft",  "apply",
  "handling", "answers", "dispatch_tick", "output"
};

std::size_t
IndexOf(LoopPart aPart)
{
  return static_cast<std::size_t>(aPart);
}

} // namespace

LoopMeter::Scope::Scope(LoopMeter& aMeter, LoopPart aPart)
  : meter(aMeter)
  , outer(aMeter.current)
{
  this->meter.SwitchTo(aPart);
}

LoopMeter::Scope::~Scope()
{
  this->meter.SwitchTo(this->outer);
}

LoopMeter::LoopMeter(Clock aClock)
  : clock(std::move(aClock))
  , since(this->clock())
  , reportedAt(this->since)
{
}

void
LoopMeter::SwitchTo(LoopPart aPart)
{
  const Time now = this->clock();
  this->totals[IndexOf(this->current)] += now - this->since;
  this->current = aPart;
  this->since = now;
}

void
LoopMeter::RecordTimer(Time aDue, Time aRan)
{
  this->maxDelay = std::max(this->maxDelay, aRan - aDue);
}

std::optional<dispatch::Decision>
LoopMeter::TakeReport(Time aNow, bool aAlways)
{
  if (aNow - this->reportedAt < kReportInterval) {
    return std::nullopt;
  }
  dispatch::Decision report{ "loop_load", {}, {} };
  report.fields.emplace_back("ms", dispatch::Text(aNow - this->reportedAt));
  report.fields.emplace_back("max_delay_ms", dispatch::Text(this->maxDelay));
  for (std::size_t i = 1; i < kParts; ++i) {
    report.fields.emplace_back(
      kNames[i], dispatch::Text(this->totals[i] - this->reported[i]));
  }
  const bool isNotable = this->maxDelay >= kNotableDelay;
  this->reported = this->totals;
  this->reportedAt = aNow;
  this->maxDelay = Duration(0);
  return aAlways || isNotable ? std::optional(std::move(report)) : std::nullopt;
}

Duration
LoopMeter::Total(LoopPart aPart) const
{
  return this->totals[IndexOf(aPart)];
}

std::string_view
LoopMeter::NameOf(LoopPart aPart)
{
  return kNames[IndexOf(aPart)];
}

} // namespace hyssoppaddle::node
