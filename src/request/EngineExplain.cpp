// Decision log entries, permit demand and the output of `explain`.
#include "request/Engine.h"

#include <iterator>

namespace hyssoppaddle::request {

namespace {

std::string_view
Describe(Health aHealth)
{
  switch (aHealth) {
    case Health::Healthy:
      return "in use";
    case Health::Ejected:
      return "ejected after consecutive failures";
    case Health::Probing:
      return "ejected and probed with one request at a time";
  }
  return "unknown";
}

} // namespace

void
Engine::Log(std::string aKind, const Request& aRequest, Router::Choice aChoice)
{
  LogDecision line;
  line.kind = std::move(aKind);
  line.subject = std::to_string(aRequest.arrival.request);
  line.team = aRequest.team;
  line.service = aRequest.arrival.service;
  line.chosen = aChoice.upstream->id.value;
  line.candidates = std::move(aChoice.candidates);
  line.rule = std::string(aChoice.rule);
  this->effects.emplace_back(std::move(line));
}

void
Engine::LogUpstream(std::string aKind,
                    const Upstream& aUpstream,
                    std::string_view aReason)
{
  LogDecision line;
  line.kind = std::move(aKind);
  line.subject = aUpstream.id.value;
  line.service = aUpstream.latestAnnouncement.service;
  line.reason = std::string(aReason);
  this->effects.emplace_back(std::move(line));
}

std::vector<wire::TeamDemand>
Engine::Demand() const
{
  std::map<TeamId, std::uint32_t> waiting = this->backlog.WaitingCounts();
  std::vector<wire::TeamDemand> demand = this->permits.Demand();
  for (wire::TeamDemand& team : demand) {
    const auto found = waiting.find(team.team);
    if (found != waiting.end()) {
      team.waiting = found->second;
      waiting.erase(found);
    }
  }
  for (const auto& [team, count] : waiting) {
    demand.push_back({ team, 0, count });
  }
  return demand;
}

std::vector<std::string>
Engine::ExplainTeam(const TeamId& aTeam, Time aNow) const
{
  std::vector<std::string> lines;
  lines.push_back("This instance holds " +
                  std::to_string(this->permits.Granted(aTeam)) +
                  " permits of the team, of which " +
                  std::to_string(this->permits.InUse(aTeam)) + " are in use.");
  const std::uint32_t waiting = this->backlog.WaitingCount(aTeam);
  lines.push_back(std::to_string(waiting) + " requests of the team wait here.");
  if (waiting == 0) {
    return lines;
  }
  if (!this->leases.PermitsValid(aNow)) {
    lines.emplace_back("They wait for an answered renewal with the leader.");
  } else if (this->permits.Available(aTeam) == 0) {
    lines.emplace_back("They wait for a permit: one that falls free here or a "
                       "grant by the leader.");
  } else {
    lines.emplace_back(
      "They wait for an upstream below its concurrency limit.");
  }
  return lines;
}

std::vector<std::string>
Engine::ExplainUpstream(const InstanceId& aUpstream, Time aNow) const
{
  const Upstream* upstream = this->directory.Find(aUpstream);
  if (upstream == nullptr) {
    return { "This instance does not know the upstream." };
  }
  std::vector<std::string> lines;
  if (upstream->usable) {
    lines.push_back("The upstream is " +
                    std::string(Describe(upstream->health)) + ".");
  } else if (!upstream->hasRecord) {
    lines.emplace_back("It gets no work: it is not in the replicated state.");
  } else if (!upstream->phaseAllowsWork) {
    lines.emplace_back("It gets no work: its instance is being stopped.");
  } else if (upstream->silentInRecord) {
    lines.emplace_back("It gets no work: it has been silent.");
  } else {
    lines.emplace_back("It gets no work: it is departing.");
  }
  lines.push_back("It runs " + std::to_string(upstream->inFlight) + " of " +
                  std::to_string(Router::CurrentLimit(*upstream, aNow)) +
                  " requests allowed from here.");
  if (!this->directory.IsAnnouncedHere(*upstream, aNow)) {
    lines.emplace_back("It was not heard here lately, so that it gets no work "
                       "while the leader cannot be reached.");
  }
  return lines;
}

} // namespace hyssoppaddle::request
