// Counts queued requests by team, work class and service.
#include "request/TeamBacklog.h"

namespace hyssoppaddle::request {

void
TeamBacklog::OnWaiting(const TeamId& aTeam,
                       const ServiceId& aService,
                       state::WorkClass aClass,
                       Time aNow)
{
  Team& team = this->teams[aTeam];
  ++team.waiting;
  ++team.classes.at(static_cast<std::size_t>(aClass))[aService];
  team.order.OnWaiting(aClass, aNow);
}

void
TeamBacklog::OnLeft(const TeamId& aTeam,
                    const ServiceId& aService,
                    state::WorkClass aClass,
                    bool aServed,
                    Time aNow)
{
  Team& team = this->teams.at(aTeam);
  auto& services = team.classes.at(static_cast<std::size_t>(aClass));
  --team.waiting;
  if (--services.at(aService) == 0) {
    services.erase(aService);
  }
  if (services.empty()) {
    team.order.OnEmpty(aClass);
  } else if (aServed) {
    team.order.OnServed(aClass, aNow);
  }
  if (team.waiting == 0) {
    this->teams.erase(aTeam);
  }
}

std::vector<ServiceId>
TeamBacklog::Services(const TeamId& aTeam, Time aNow) const
{
  std::vector<ServiceId> services;
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    return services;
  }
  for (const state::WorkClass workClass : found->second.order.Order(aNow)) {
    for (const auto& [service, count] :
         found->second.classes.at(static_cast<std::size_t>(workClass))) {
      services.push_back(service);
    }
  }
  return services;
}

std::uint32_t
TeamBacklog::WaitingCount(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() ? 0 : found->second.waiting;
}

std::map<TeamId, std::uint32_t>
TeamBacklog::WaitingCounts() const
{
  std::map<TeamId, std::uint32_t> all;
  for (const auto& [name, team] : this->teams) {
    all.emplace(name, team.waiting);
  }
  return all;
}

std::vector<TeamId>
TeamBacklog::Teams() const
{
  std::vector<TeamId> names;
  for (const auto& [name, team] : this->teams) {
    names.push_back(name);
  }
  return names;
}

} // namespace hyssoppaddle::request
