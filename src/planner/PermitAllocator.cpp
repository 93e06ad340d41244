// Permit allocation by demand. See section 9.1 of docs/design.md for why the
// leader grants.
#include "planner/PermitAllocator.h"

#include <algorithm>
#include <string>

namespace hyssoppaddle::planner {

namespace {

// A grant that was not applied in this time is forgotten; the state machine
// still enforces the limit should it be applied later.
constexpr Duration kPendingTimeout{ 5000000 };
// Idle permits above the headroom return after this time without use, so that
// short pauses cause no traffic.
constexpr Duration kIdleTime{ 3000000 };
constexpr Duration kReclaimRetry{ 5000000 };
// Idle permits that an entry instance keeps for the next arrivals: an eighth
// of what is in use, at least 2.
constexpr std::uint32_t kHeadroomDivisor = 8;
constexpr std::uint32_t kMinHeadroom = 2;

std::uint32_t
Minus(std::uint32_t aFrom, std::uint32_t aAmount)
{
  return aFrom > aAmount ? aFrom - aAmount : 0;
}

std::uint32_t
Headroom(std::uint32_t aInUse)
{
  return std::max(kMinHeadroom, aInUse / kHeadroomDivisor);
}

} // namespace

std::uint32_t
PermitAllocator::Share::Idle() const
{
  return Minus(this->granted, this->inUse + this->waiting);
}

std::uint32_t
PermitAllocator::Share::Need() const
{
  if (this->waiting == 0) {
    return 0;
  }
  return Minus(this->inUse + this->waiting, this->Held());
}

PermitAllocator::PermitAllocator(Reservations& aReservations)
  : reservations(aReservations)
{
}

void
PermitAllocator::Reset(Time aNow)
{
  this->since = aNow;
  this->entries.clear();
  this->reclaimedAt.clear();
  this->teams.clear();
  this->caps.clear();
  this->waitingTaskSlots.clear();
}

void
PermitAllocator::SetCap(const TeamId& aTeam, std::uint32_t aCap)
{
  this->caps[aTeam] = aCap;
}

void
PermitAllocator::SetWaitingTaskSlots(const TeamId& aTeam, std::uint32_t aSlots)
{
  if (aSlots == 0) {
    this->waitingTaskSlots.erase(aTeam);
  } else {
    this->waitingTaskSlots[aTeam] = aSlots;
  }
}

void
PermitAllocator::OnRenewed(Context& aContext, const EntryRenewed& aRenewal)
{
  Entry& entry = this->entries[aRenewal.entry];
  if (entry.boot != aRenewal.boot) {
    entry.boot = aRenewal.boot;
    this->SyncGranted(aContext, aRenewal.entry);
  }
  entry.renewedAt = aContext.now;
  std::map<TeamId, std::uint32_t> absent;
  absent.swap(entry.reported);
  for (const wire::TeamDemand& line : aRenewal.demand) {
    absent.erase(line.team);
    entry.reported[line.team] = line.inUse;
    Share& share = this->teams[line.team][aRenewal.entry];
    const bool calm = share.inUse == line.inUse && line.waiting == 0 &&
                      share.waiting == 0 && share.Idle() == 0;
    share.inUse = line.inUse;
    share.waiting = line.waiting;
    if (share.inUse + share.waiting > share.granted / 2) {
      share.busySince = aContext.now;
    }
    if (!calm) {
      this->Rebalance(aContext, line.team);
    }
  }
  for (const auto& [team, ignored] : absent) {
    Share& share = this->teams[team][aRenewal.entry];
    share.inUse = 0;
    share.waiting = 0;
    this->Rebalance(aContext, team);
  }
}

void
PermitAllocator::SyncGranted(Context& aContext, const InstanceId& aEntry)
{
  const auto found = aContext.state.Entries().find(aEntry);
  const std::string& boot = this->entries[aEntry].boot;
  const bool registered =
    found != aContext.state.Entries().end() && found->second.boot == boot;
  for (auto& [team, shares] : this->teams) {
    const auto share = shares.find(aEntry);
    if (share != shares.end()) {
      share->second.granted = 0;
    }
  }
  if (!registered) {
    return;
  }
  for (const auto& [team, count] : found->second.permits) {
    this->teams[team][aEntry].granted = count;
  }
}

void
PermitAllocator::OnEntryChanged(Context& aContext, const InstanceId& aEntry)
{
  std::map<TeamId, std::uint32_t> before;
  for (auto& [team, shares] : this->teams) {
    const auto share = shares.find(aEntry);
    if (share != shares.end()) {
      before[team] = share->second.granted;
    }
  }
  this->SyncGranted(aContext, aEntry);
  for (auto& [team, shares] : this->teams) {
    const auto share = shares.find(aEntry);
    if (share == shares.end()) {
      continue;
    }
    const std::uint32_t old = before[team];
    Share& own = share->second;
    if (own.granted > old) {
      this->ReleasePending(own, team, own.granted - old);
    }
    if (own.granted < old) {
      own.recall = Minus(own.recall, old - own.granted);
    }
    if (own.granted != old) {
      this->Rebalance(aContext, team);
    }
  }
}

void
PermitAllocator::OnRefused(Context& aContext, const state::GrantPermits& aGrant)
{
  const auto team = this->teams.find(aGrant.team);
  if (team == this->teams.end()) {
    return;
  }
  const auto share = team->second.find(aGrant.entry);
  if (share != team->second.end()) {
    this->ReleasePending(share->second, aGrant.team, aGrant.count);
  }
  (void)aContext;
}

void
PermitAllocator::ReleasePending(Share& aShare,
                                const TeamId& aTeam,
                                std::uint32_t aCount)
{
  const std::uint32_t count = std::min(aCount, aShare.pending);
  this->reservations.Remove(aTeam, count);
  aShare.pending -= count;
}

void
PermitAllocator::OnBundle(Context& aContext)
{
  for (auto& [team, shares] : this->teams) {
    this->Rebalance(aContext, team);
  }
}

void
PermitAllocator::OnTick(Context& aContext)
{
  for (auto& [team, shares] : this->teams) {
    for (auto& [entry, share] : shares) {
      if (share.pending > 0 &&
          aContext.now - share.pendingSince > kPendingTimeout) {
        this->ReleasePending(share, team, share.pending);
      }
    }
    this->Rebalance(aContext, team);
  }
  this->ReclaimSilent(aContext);
}

std::uint32_t
PermitAllocator::Cap(const state::FleetState& aState, const TeamId& aTeam) const
{
  const state::TeamSpec* team = aState.FindTeam(aTeam);
  if (team == nullptr) {
    return 0;
  }
  const auto cap = this->caps.find(aTeam);
  return cap == this->caps.end() ? team->limit
                                 : std::min(team->limit, cap->second);
}

void
PermitAllocator::Rebalance(Context& aContext, const TeamId& aTeam)
{
  this->GrantFree(aContext, aTeam);
  this->RecallIdle(aContext, aTeam);
}

// Entry instances in need, the latest renewal first: an older report may
// describe load that has moved away since.
std::vector<PermitAllocator::Claim>
PermitAllocator::Claims(const TeamId& aTeam, std::uint32_t aUsable) const
{
  std::vector<Claim> claims;
  std::uint64_t demand = 0;
  for (const auto& [entry, share] : this->teams.at(aTeam)) {
    demand += share.inUse + share.waiting;
  }
  for (const auto& [entry, share] : this->teams.at(aTeam)) {
    const std::uint64_t own = share.inUse + share.waiting;
    const std::uint64_t fair = demand <= aUsable ? own : own * aUsable / demand;
    const auto renewal = this->entries.find(entry);
    claims.push_back(Claim{
      entry,
      renewal == this->entries.end() ? Time{} : renewal->second.renewedAt,
      share.Need(),
      share.Held(),
      static_cast<std::uint32_t>(fair) });
  }
  std::stable_sort(
    claims.begin(), claims.end(), [](const Claim& aLeft, const Claim& aRight) {
      return aLeft.renewedAt > aRight.renewedAt;
    });
  return claims;
}

void
PermitAllocator::GrantFree(Context& aContext, const TeamId& aTeam)
{
  const std::uint32_t cap = this->Cap(aContext.state, aTeam);
  std::vector<Claim> claims = this->Claims(aTeam, cap);
  std::uint32_t held = 0;
  std::uint32_t need = 0;
  for (const Claim& claim : claims) {
    held += claim.held;
    need += claim.need;
  }
  if (need == 0) {
    return;
  }
  std::uint32_t free =
    std::min(this->reservations.Free(aContext.state, aTeam), Minus(cap, held));
  std::map<InstanceId, std::uint32_t> counts;
  const auto give = [&](Claim& aClaim, std::uint32_t aMost) {
    const std::uint32_t count = std::min({ free, aClaim.need, aMost });
    counts[aClaim.entry] += count;
    aClaim.need -= count;
    aClaim.held += count;
    free -= count;
  };
  // First up to the fair part of each, then whatever is left.
  for (Claim& claim : claims) {
    give(claim, Minus(claim.fair, claim.held));
  }
  for (Claim& claim : claims) {
    give(claim, claim.need);
  }
  for (const auto& [entry, count] : counts) {
    this->Grant(aContext, aTeam, entry, count);
  }
}

void
PermitAllocator::Grant(Context& aContext,
                       const TeamId& aTeam,
                       const InstanceId& aEntry,
                       std::uint32_t aCount)
{
  const auto entry = this->entries.find(aEntry);
  const auto record = aContext.state.Entries().find(aEntry);
  if (aCount == 0 || entry == this->entries.end() ||
      record == aContext.state.Entries().end() ||
      record->second.boot != entry->second.boot || !aContext.Take()) {
    return;
  }
  Share& share = this->teams[aTeam][aEntry];
  share.pending += aCount;
  share.pendingSince = aContext.now;
  share.recall = 0;
  this->reservations.Add(aTeam, aCount);
  aContext.Propose(
    state::GrantPermits{ aEntry, entry->second.boot, aTeam, aCount });
}

std::uint32_t
PermitAllocator::Unmet(const TeamId& aTeam) const
{
  std::uint32_t unmet = 0;
  for (const auto& [entry, share] : this->teams.at(aTeam)) {
    unmet += share.Need();
  }
  const auto tasks = this->waitingTaskSlots.find(aTeam);
  return unmet + (tasks == this->waitingTaskSlots.end() ? 0 : tasks->second);
}

std::uint32_t
PermitAllocator::Excess(const Context& aContext, const TeamId& aTeam) const
{
  std::uint32_t held = 0;
  for (const auto& [entry, share] : this->teams.at(aTeam)) {
    held += share.Held();
  }
  const std::uint32_t overCap = Minus(held, this->Cap(aContext.state, aTeam));
  const state::TeamSpec* team = aContext.state.FindTeam(aTeam);
  const std::uint32_t limit = team == nullptr ? 0 : team->limit;
  const std::uint32_t overLimit =
    Minus(aContext.state.CommittedSlots(aTeam), limit);
  return std::max(overCap, overLimit);
}

// Wanted back: all idle permits while work waits elsewhere or the limit is
// exceeded, otherwise only those that stayed idle above the headroom.
void
PermitAllocator::RecallIdle(Context& aContext, const TeamId& aTeam)
{
  std::map<InstanceId, Share>& shares = this->teams[aTeam];
  std::uint32_t excess = this->Excess(aContext, aTeam);
  std::uint32_t wanted = std::max(excess, this->Unmet(aTeam));
  for (auto& [entry, share] : shares) {
    const std::uint32_t idle = share.Idle();
    std::uint32_t recall = std::min(idle, wanted);
    wanted -= recall;
    excess = Minus(excess, recall);
    if (recall < idle && aContext.now - share.busySince > kIdleTime) {
      recall = std::max(recall, Minus(idle, Headroom(share.inUse)));
    }
    share.recall = recall;
  }
  this->RecallBusy(aContext, aTeam, excess);
}

// Permits in use return as their requests end: those above a cap, and those
// above the fair part of a holder while another one is below its own.
void
PermitAllocator::RecallBusy(Context& aContext,
                            const TeamId& aTeam,
                            std::uint32_t aExcess)
{
  std::map<InstanceId, Share>& shares = this->teams[aTeam];
  std::uint32_t excess = aExcess;
  for (auto& [entry, share] : shares) {
    const std::uint32_t part =
      std::min(excess, Minus(share.granted, share.recall));
    share.recall += part;
    excess -= part;
  }
  const std::uint32_t usable = this->Cap(aContext.state, aTeam);
  std::uint32_t missing = 0;
  const std::vector<Claim> claims = this->Claims(aTeam, usable);
  for (const Claim& claim : claims) {
    missing += std::min(claim.need, Minus(claim.fair, claim.held));
  }
  for (const Claim& claim : claims) {
    Share& share = shares[claim.entry];
    const std::uint32_t keep = claim.fair + Headroom(claim.fair);
    const std::uint32_t over =
      std::min(missing, Minus(share.granted, keep + share.recall));
    share.recall += over;
    missing -= over;
  }
}

void
PermitAllocator::ReclaimSilent(Context& aContext)
{
  const Duration bound = WithClockMargin(aContext.options.permitLease +
                                         aContext.options.maxDeadline);
  for (const auto& [id, record] : aContext.state.Entries()) {
    if (record.permits.empty()) {
      continue;
    }
    const auto entry = this->entries.find(id);
    const bool heard =
      entry != this->entries.end() && entry->second.boot == record.boot;
    const Time last =
      heard ? std::max(this->since, entry->second.renewedAt) : this->since;
    Time& tried = this->reclaimedAt.try_emplace(id, this->since - kReclaimRetry)
                    .first->second;
    if (aContext.now - last < bound || aContext.now - tried < kReclaimRetry ||
        !aContext.Take()) {
      continue;
    }
    tried = aContext.now;
    aContext.Propose(state::ReclaimPermits{ id, record.boot });
    aContext.Log(LogDecision{ .kind = "permits",
                              .subject = id.value,
                              .team = {},
                              .pool = {},
                              .candidates = {},
                              .chosen = "reclaim",
                              .rule = "silent holder",
                              .reason = "no renewal for the permit lease plus "
                                        "the longest deadline and margin" });
  }
}

std::vector<wire::TeamDemand>
PermitAllocator::Recalls(const InstanceId& aEntry) const
{
  std::vector<wire::TeamDemand> recalls;
  for (const auto& [team, shares] : this->teams) {
    const auto share = shares.find(aEntry);
    if (share != shares.end() && share->second.recall > 0) {
      recalls.push_back(wire::TeamDemand{ team, share->second.recall, 0 });
    }
  }
  return recalls;
}

wire::TeamDemand
PermitAllocator::Demand(const TeamId& aTeam) const
{
  wire::TeamDemand sum{ aTeam, 0, 0 };
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    return sum;
  }
  for (const auto& [entry, share] : found->second) {
    sum.inUse += share.inUse;
    sum.waiting += share.waiting;
  }
  return sum;
}

} // namespace hyssoppaddle::planner
