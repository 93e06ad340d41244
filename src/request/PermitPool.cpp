// Counts permits per team.
#include "request/PermitPool.h"

#include <algorithm>

namespace hyssoppaddle::request {

PermitPool::PermitPool(const state::FleetState& aView,
                       InstanceId aSelf,
                       std::string aBoot)
  : view(&aView)
  , self(std::move(aSelf))
  , boot(std::move(aBoot))
{
}

std::uint32_t
PermitPool::Retained(const Team& aTeam)
{
  return aTeam.granted - std::min(aTeam.granted, aTeam.returning);
}

// The replicated state applies returns in the order of their sequence numbers
// and skips those below the last applied one. A settled return is therefore
// either included in the granted number or can no longer be applied.
void
PermitPool::Settle(std::uint64_t aLastReturn)
{
  while (!this->unsettled.empty() &&
         this->unsettled.front().sequence <= aLastReturn) {
    const Unsettled& settled = this->unsettled.front();
    this->teams[settled.team].returning -= settled.count;
    this->unsettled.pop_front();
  }
}

std::vector<TeamId>
PermitPool::Refresh()
{
  static const std::map<TeamId, std::uint32_t> kNoPermits;
  const auto record = this->view->Entries().find(this->self);
  const bool current =
    record != this->view->Entries().end() && record->second.boot == this->boot;
  const auto& permits = current ? record->second.permits : kNoPermits;
  for (const auto& [team, count] : permits) {
    this->teams.try_emplace(team);
  }
  std::map<TeamId, std::uint32_t> before;
  for (const auto& [team, counts] : this->teams) {
    before.emplace(team, Retained(counts));
  }
  this->Settle(current ? record->second.lastReturnSequence : 0);
  std::vector<TeamId> more;
  for (auto& [team, counts] : this->teams) {
    const auto granted = permits.find(team);
    counts.granted = granted == permits.end() ? 0 : granted->second;
    this->changed.insert(team);
    if (Retained(counts) > before[team]) {
      more.push_back(team);
    }
  }
  return more;
}

std::uint32_t
PermitPool::Available(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  const state::TeamSpec* spec = this->view->FindTeam(aTeam);
  if (found == this->teams.end() || spec == nullptr) {
    return 0;
  }
  // A lowered limit applies to new attempts immediately, before the permits are
  // recalled.
  const Team& team = found->second;
  const std::uint32_t usable = std::min(Retained(team), spec->limit);
  return usable - std::min(usable, team.inUse);
}

std::uint32_t
PermitPool::InUse(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() ? 0 : found->second.inUse;
}

std::uint32_t
PermitPool::Granted(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() ? 0 : found->second.granted;
}

bool
PermitPool::Acquire(const TeamId& aTeam)
{
  if (this->Available(aTeam) == 0) {
    return false;
  }
  ++this->teams[aTeam].inUse;
  return true;
}

void
PermitPool::Release(const TeamId& aTeam)
{
  Team& team = this->teams[aTeam];
  team.inUse -= std::min(team.inUse, 1U);
  if (team.recalled > 0 || this->stopping) {
    this->changed.insert(aTeam);
  }
}

void
PermitPool::SetRecalls(
  const std::vector<std::pair<TeamId, std::uint32_t>>& aRecalls)
{
  for (auto& [team, counts] : this->teams) {
    counts.recalled = 0;
  }
  for (const auto& [team, count] : aRecalls) {
    const auto found = this->teams.find(team);
    if (found != this->teams.end()) {
      found->second.recalled = count;
      this->changed.insert(team);
    }
  }
}

void
PermitPool::BeginStop()
{
  this->stopping = true;
  for (const auto& [team, counts] : this->teams) {
    this->changed.insert(team);
  }
}

std::vector<state::ReturnPermits>
PermitPool::TakeReturns()
{
  std::vector<state::ReturnPermits> returns;
  for (const TeamId& team : this->changed) {
    Team& counts = this->teams[team];
    const std::uint32_t retained = Retained(counts);
    const std::uint32_t idle = retained - std::min(retained, counts.inUse);
    const std::uint32_t count =
      this->stopping ? idle : std::min(idle, counts.recalled);
    if (count > 0) {
      counts.returning += count;
      counts.recalled -= std::min(counts.recalled, count);
      const std::uint64_t sequence = this->nextReturn++;
      this->unsettled.push_back({ sequence, team, count });
      returns.push_back({ this->self, this->boot, team, count, sequence });
    }
  }
  this->changed.clear();
  return returns;
}

std::vector<wire::TeamDemand>
PermitPool::Demand() const
{
  std::vector<wire::TeamDemand> demand;
  for (const auto& [team, counts] : this->teams) {
    if (counts.granted > 0 || counts.inUse > 0) {
      demand.push_back({ team, counts.inUse, 0 });
    }
  }
  return demand;
}

} // namespace hyssoppaddle::request
