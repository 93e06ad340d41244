// Limits the rate in windows of one second.
#include "shell/DecisionLog.h"

#include <nlohmann/json.hpp>

namespace hyssoppaddle::shell {

namespace {

constexpr Duration kRateWindow{ std::chrono::seconds(1) };

nlohmann::json
CandidateList(const std::vector<request::Candidate>& aCandidates)
{
  nlohmann::json list = nlohmann::json::array();
  for (const request::Candidate& candidate : aCandidates) {
    list.push_back({ { "upstream", candidate.upstream.value },
                     { "load", candidate.load },
                     { "same_data_centre", candidate.sameDataCentre } });
  }
  return list;
}

template<typename Decision>
nlohmann::json
CommonFields(const Decision& aDecision)
{
  return { { "kind", aDecision.kind },       { "subject", aDecision.subject },
           { "team", aDecision.team.value }, { "chosen", aDecision.chosen },
           { "rule", aDecision.rule },       { "reason", aDecision.reason },
           { "refusal", aDecision.refusal } };
}

} // namespace

DecisionLog::DecisionLog(std::uint32_t aLinesPerSecond,
                         std::shared_ptr<Metrics> aMetrics,
                         LineWriter aWriter)
  : linesPerSecond(aLinesPerSecond)
  , metrics(std::move(aMetrics))
  , writer(std::move(aWriter))
{
}

bool
DecisionLog::Admit(std::string_view aKind, bool aRefusal, Time aNow)
{
  this->Tick(aNow);
  this->metrics->CountDecision(aKind);
  if (!aRefusal && this->written >= this->linesPerSecond) {
    ++this->dropped;
    this->metrics->Add(Counter::DecisionsDropped);
    return false;
  }
  this->written += aRefusal ? 0 : 1;
  this->metrics->Add(Counter::DecisionsWritten);
  return true;
}

void
DecisionLog::Tick(Time aNow)
{
  if (aNow - this->windowStart < kRateWindow) {
    return;
  }
  this->windowStart = aNow;
  this->written = 0;
  if (this->dropped > 0) {
    this->writer("decisions_dropped", { { "lines", this->dropped } });
    this->dropped = 0;
  }
}

void
DecisionLog::Write(const request::LogDecision& aDecision, Time aNow)
{
  if (!this->Admit(aDecision.kind, aDecision.refusal, aNow)) {
    return;
  }
  nlohmann::json fields = CommonFields(aDecision);
  fields["service"] = aDecision.service.value;
  fields["candidates"] = CandidateList(aDecision.candidates);
  this->writer("decision", fields);
}

void
DecisionLog::Write(const planner::LogDecision& aDecision, Time aNow)
{
  if (!this->Admit(aDecision.kind, aDecision.refusal, aNow)) {
    return;
  }
  nlohmann::json fields = CommonFields(aDecision);
  fields["pool"] = aDecision.pool.value;
  fields["candidates"] = aDecision.candidates;
  this->writer("decision", fields);
}

} // namespace hyssoppaddle::shell
