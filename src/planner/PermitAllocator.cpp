// Allocates permits by demand. Section 9.1 of docs/design.md explains why the
// leader grants them.
#include "planner/PermitAllocator.h"

#include <algorithm>
#include <string>

namespace hyssoppaddle::planner {

namespace {

// A grant that was not applied within this time is no longer counted. If it is
// applied later, the state machine still enforces the limit.
constexpr Duration kGrantTimeout{ std::chrono::seconds(5) };
// Idle permits above the headroom are recalled after this time without use, so
// that short pauses cause no traffic.
constexpr Duration kIdleRecallDelay{ std::chrono::seconds(3) };
constexpr Duration kReclaimRetryInterval{ std::chrono::seconds(5) };
// An entry instance keeps some idle permits for the next arrivals: an eighth of
// those in use, at least 2.
constexpr std::uint32_t kHeadroomDivisor = 8;
constexpr std::uint32_t kMinHeadroom = 2;

std::uint32_t
SaturatingSubtract(std::uint32_t aFrom, std::uint32_t aAmount)
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
PermitAllocator::Allocation::Idle() const
{
  return SaturatingSubtract(this->granted, this->inUse + this->waiting);
}

std::uint32_t
PermitAllocator::Allocation::Need() const
{
  if (this->waiting == 0) {
    return 0;
  }
  return SaturatingSubtract(this->inUse + this->waiting, this->Held());
}

PermitAllocator::PermitAllocator(Reservations& aReservations)
  : reservations(aReservations)
{
}

void
PermitAllocator::Reset(Time aNow)
{
  this->leaderSince = aNow;
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
    Allocation& allocation = this->teams[line.team][aRenewal.entry];
    const bool unchanged = allocation.inUse == line.inUse &&
                           line.waiting == 0 && allocation.waiting == 0 &&
                           allocation.Idle() == 0;
    allocation.inUse = line.inUse;
    allocation.waiting = line.waiting;
    if (allocation.inUse + allocation.waiting > allocation.granted / 2) {
      allocation.busySince = aContext.now;
    }
    if (!unchanged) {
      this->Rebalance(aContext, line.team);
    }
  }
  for (const auto& [team, ignored] : absent) {
    Allocation& allocation = this->teams[team][aRenewal.entry];
    allocation.inUse = 0;
    allocation.waiting = 0;
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
  for (auto& [team, allocations] : this->teams) {
    const auto allocation = allocations.find(aEntry);
    if (allocation != allocations.end()) {
      allocation->second.granted = 0;
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
  for (auto& [team, allocations] : this->teams) {
    const auto allocation = allocations.find(aEntry);
    if (allocation != allocations.end()) {
      before[team] = allocation->second.granted;
    }
  }
  this->SyncGranted(aContext, aEntry);
  for (auto& [team, allocations] : this->teams) {
    const auto allocation = allocations.find(aEntry);
    if (allocation == allocations.end()) {
      continue;
    }
    const std::uint32_t old = before[team];
    Allocation& own = allocation->second;
    if (own.granted > old) {
      this->ReleasePending(own, team, own.granted - old);
    }
    if (own.granted < old) {
      own.recall = SaturatingSubtract(own.recall, old - own.granted);
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
  const auto allocation = team->second.find(aGrant.entry);
  if (allocation != team->second.end()) {
    this->ReleasePending(allocation->second, aGrant.team, aGrant.count);
  }
  (void)aContext;
}

void
PermitAllocator::ReleasePending(Allocation& aAllocation,
                                const TeamId& aTeam,
                                std::uint32_t aCount)
{
  const std::uint32_t count = std::min(aCount, aAllocation.pending);
  this->reservations.Remove(aTeam, count);
  aAllocation.pending -= count;
}

void
PermitAllocator::OnBundle(Context& aContext)
{
  for (auto& [team, allocations] : this->teams) {
    this->Rebalance(aContext, team);
  }
}

void
PermitAllocator::OnTick(Context& aContext)
{
  for (auto& [team, allocations] : this->teams) {
    for (auto& [entry, allocation] : allocations) {
      if (allocation.pending > 0 &&
          aContext.now - allocation.pendingSince > kGrantTimeout) {
        this->ReleasePending(allocation, team, allocation.pending);
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

// Claims of the entry instances, latest renewal first: an older report may
// describe load that has moved to another entry instance since.
std::vector<PermitAllocator::Claim>
PermitAllocator::Claims(const TeamId& aTeam, std::uint32_t aUsable) const
{
  std::vector<Claim> claims;
  std::uint64_t demand = 0;
  for (const auto& [entry, allocation] : this->teams.at(aTeam)) {
    demand += allocation.inUse + allocation.waiting;
  }
  for (const auto& [entry, allocation] : this->teams.at(aTeam)) {
    const std::uint64_t own = allocation.inUse + allocation.waiting;
    const std::uint64_t fair = demand <= aUsable ? own : own * aUsable / demand;
    const auto renewal = this->entries.find(entry);
    claims.push_back(Claim{
      entry,
      renewal == this->entries.end() ? Time{} : renewal->second.renewedAt,
      allocation.Need(),
      allocation.Held(),
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
    std::min(this->reservations.FreeSlots(aContext.state, aTeam),
             SaturatingSubtract(cap, held));
  std::map<InstanceId, std::uint32_t> counts;
  const auto grantUpTo = [&](Claim& aClaim, std::uint32_t aMax) {
    const std::uint32_t count = std::min({ free, aClaim.need, aMax });
    counts[aClaim.entry] += count;
    aClaim.need -= count;
    aClaim.held += count;
    free -= count;
  };
  // First up to the fair part of each claim, then whatever is left.
  for (Claim& claim : claims) {
    grantUpTo(claim, SaturatingSubtract(claim.fair, claim.held));
  }
  for (Claim& claim : claims) {
    grantUpTo(claim, claim.need);
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
      record->second.boot != entry->second.boot || !aContext.TakeDecision()) {
    return;
  }
  Allocation& allocation = this->teams[aTeam][aEntry];
  allocation.pending += aCount;
  allocation.pendingSince = aContext.now;
  allocation.recall = 0;
  this->reservations.Add(aTeam, aCount);
  aContext.Propose(
    state::GrantPermits{ aEntry, entry->second.boot, aTeam, aCount });
}

std::uint32_t
PermitAllocator::UnmetNeed(const TeamId& aTeam) const
{
  std::uint32_t unmetNeed = 0;
  for (const auto& [entry, allocation] : this->teams.at(aTeam)) {
    unmetNeed += allocation.Need();
  }
  const auto tasks = this->waitingTaskSlots.find(aTeam);
  return unmetNeed +
         (tasks == this->waitingTaskSlots.end() ? 0 : tasks->second);
}

std::uint32_t
PermitAllocator::Excess(const Context& aContext, const TeamId& aTeam) const
{
  std::uint32_t held = 0;
  for (const auto& [entry, allocation] : this->teams.at(aTeam)) {
    held += allocation.Held();
  }
  const std::uint32_t overCap =
    SaturatingSubtract(held, this->Cap(aContext.state, aTeam));
  const state::TeamSpec* team = aContext.state.FindTeam(aTeam);
  const std::uint32_t limit = team == nullptr ? 0 : team->limit;
  const std::uint32_t overLimit =
    SaturatingSubtract(aContext.state.CommittedSlots(aTeam), limit);
  return std::max(overCap, overLimit);
}

// Recalls all idle permits while work waits elsewhere or the limit is exceeded,
// otherwise only those above the headroom that stayed idle.
void
PermitAllocator::RecallIdle(Context& aContext, const TeamId& aTeam)
{
  std::map<InstanceId, Allocation>& allocations = this->teams[aTeam];
  std::uint32_t excess = this->Excess(aContext, aTeam);
  std::uint32_t wanted = std::max(excess, this->UnmetNeed(aTeam));
  for (auto& [entry, allocation] : allocations) {
    const std::uint32_t idle = allocation.Idle();
    std::uint32_t recall = std::min(idle, wanted);
    wanted -= recall;
    excess = SaturatingSubtract(excess, recall);
    if (recall < idle &&
        aContext.now - allocation.busySince > kIdleRecallDelay) {
      recall =
        std::max(recall, SaturatingSubtract(idle, Headroom(allocation.inUse)));
    }
    allocation.recall = recall;
  }
  this->RecallBusy(aContext, aTeam, excess);
}

// Recalls permits that are in use; they are returned as their requests end.
// These are the permits above a cap, and those above the fair part of an entry
// instance while another one is below its fair part.
void
PermitAllocator::RecallBusy(Context& aContext,
                            const TeamId& aTeam,
                            std::uint32_t aExcess)
{
  std::map<InstanceId, Allocation>& allocations = this->teams[aTeam];
  std::uint32_t excess = aExcess;
  for (auto& [entry, allocation] : allocations) {
    const std::uint32_t part = std::min(
      excess, SaturatingSubtract(allocation.granted, allocation.recall));
    allocation.recall += part;
    excess -= part;
  }
  const std::uint32_t usable = this->Cap(aContext.state, aTeam);
  std::uint32_t missing = 0;
  const std::vector<Claim> claims = this->Claims(aTeam, usable);
  for (const Claim& claim : claims) {
    missing += std::min(claim.need, SaturatingSubtract(claim.fair, claim.held));
  }
  for (const Claim& claim : claims) {
    Allocation& allocation = allocations[claim.entry];
    const std::uint32_t keep = claim.fair + Headroom(claim.fair);
    const std::uint32_t over = std::min(
      missing,
      SaturatingSubtract(allocation.granted, keep + allocation.recall));
    allocation.recall += over;
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
    const Time lastHeard =
      heard ? std::max(this->leaderSince, entry->second.renewedAt)
            : this->leaderSince;
    Time& lastAttempt =
      this->reclaimedAt
        .try_emplace(id, this->leaderSince - kReclaimRetryInterval)
        .first->second;
    if (aContext.now - lastHeard < bound ||
        aContext.now - lastAttempt < kReclaimRetryInterval ||
        !aContext.TakeDecision()) {
      continue;
    }
    lastAttempt = aContext.now;
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
  for (const auto& [team, allocations] : this->teams) {
    const auto allocation = allocations.find(aEntry);
    if (allocation != allocations.end() && allocation->second.recall > 0) {
      recalls.push_back(wire::TeamDemand{ team, allocation->second.recall, 0 });
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
  for (const auto& [entry, allocation] : found->second) {
    sum.inUse += allocation.inUse;
    sum.waiting += allocation.waiting;
  }
  return sum;
}

} // namespace hyssoppaddle::planner
