// Collects the times of a takeover and reports them once.
#include "node/TakeoverMeter.h"

#include "dispatch/Text.h"

namespace hyssoppaddle::node {

namespace {

// An upstream that has not confirmed by then is down.
constexpr Duration kReportDelay = std::chrono::seconds(3);

// In the order of TakeoverStep.
constexpr std::array<std::string_view, TakeoverMeter::kSteps> kNames{
  "elected",
  "ready",
  "first_upstream",
  "first_start",
  "all_upstreams"
};
constexpr std::array<std::string_view, TakeoverMeter::kSteps> kFields{
  "elected_ms",
  "ready_ms",
  "first_upstream_ms",
  "first_start_ms",
  "all_upstreams_ms"
};

std::size_t
IndexOf(TakeoverStep aStep)
{
  return static_cast<std::size_t>(aStep);
}

} // namespace

void
TakeoverMeter::OnLeaderLost(Time aNow)
{
  this->lostAt = aNow;
}

void
TakeoverMeter::OnElected(Time aNow)
{
  this->isMeasuring = true;
  this->begunAt = this->lostAt;
  this->electedAt = aNow;
  this->reachedAt = {};
  this->confirmed = 0;
  this->upstreams = 0;
  this->OnStep(TakeoverStep::Elected, aNow);
}

void
TakeoverMeter::OnStep(TakeoverStep aStep, Time aNow)
{
  std::optional<Time>& reached = this->reachedAt[IndexOf(aStep)];
  if (this->isMeasuring && !reached) {
    reached = aNow;
  }
}

void
TakeoverMeter::OnUpstreams(std::size_t aConfirmed,
                           std::size_t aTotal,
                           Time aNow)
{
  this->confirmed = aConfirmed;
  this->upstreams = aTotal;
  if (aConfirmed > 0) {
    this->OnStep(TakeoverStep::FirstUpstream, aNow);
  }
  if (aConfirmed > 0 && aConfirmed == aTotal) {
    this->OnStep(TakeoverStep::AllUpstreams, aNow);
  }
}

std::optional<dispatch::Decision>
TakeoverMeter::TakeReport(bool aLeads, Time aNow)
{
  const bool isComplete = this->TimeTo(TakeoverStep::AllUpstreams) &&
                          this->TimeTo(TakeoverStep::FirstStart);
  const bool isDue =
    !aLeads || isComplete || aNow - this->electedAt >= kReportDelay;
  if (!this->isMeasuring || !isDue) {
    return std::nullopt;
  }
  this->isMeasuring = false;
  dispatch::Decision report{ "takeover", {}, {} };
  for (std::size_t i = 0; i < kSteps; ++i) {
    const auto elapsed = this->TimeTo(static_cast<TakeoverStep>(i));
    report.fields.emplace_back(
      kFields[i], elapsed ? dispatch::Text(*elapsed) : "not reached");
  }
  report.fields.emplace_back("confirmed", dispatch::Text(this->confirmed));
  report.fields.emplace_back("upstreams", dispatch::Text(this->upstreams));
  return report;
}

std::optional<Duration>
TakeoverMeter::TimeTo(TakeoverStep aStep) const
{
  const std::optional<Time>& reached = this->reachedAt[IndexOf(aStep)];
  return reached ? std::optional<Duration>(*reached - this->begunAt)
                 : std::nullopt;
}

std::string_view
TakeoverMeter::NameOf(TakeoverStep aStep)
{
  return kNames[IndexOf(aStep)];
}

} // namespace hyssoppaddle::node
