// Grants the permits of each team to entry instances by reported demand,
// recalls idle permits when work waits elsewhere, and reclaims those of entry
// instances that stopped renewing.
#ifndef hyssoppaddle_planner_PermitAllocator_h
#define hyssoppaddle_planner_PermitAllocator_h

#include "planner/Context.h"
#include "planner/Reservations.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoppaddle::planner {

class PermitAllocator
{
public:
  explicit PermitAllocator(Reservations& aReservations);

  void Reset(Time aNow);
  void OnRenewed(Context& aContext, const EntryRenewed& aRenewal);
  void OnEntryChanged(Context& aContext, const InstanceId& aEntry);
  void OnRefused(Context& aContext, const state::GrantPermits& aGrant);
  void OnTick(Context& aContext);
  // The bundle, and with it the limits of teams, changed.
  void OnBundle(Context& aContext);

  // Maximum number of slots a team may use while the pools of its services are
  // full. Without a cap the limit of the team applies.
  void SetCap(const TeamId& aTeam, std::uint32_t aCap);
  void ClearCaps() { this->caps.clear(); }
  // Slots of waiting jobs that cannot run because of the team's limit. Idle
  // permits are recalled for them.
  void SetWaitingTaskSlots(const TeamId& aTeam, std::uint32_t aSlots);

  [[nodiscard]] std::vector<wire::TeamDemand> Recalls(
    const InstanceId& aEntry) const;
  // Requests in use and waiting over all entry instances, as last reported.
  [[nodiscard]] wire::TeamDemand Demand(const TeamId& aTeam) const;
  [[nodiscard]] std::uint32_t Cap(const state::FleetState& aState,
                                  const TeamId& aTeam) const;

private:
  // Permits of one team on one entry instance.
  struct Allocation
  {
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;
    std::uint32_t granted = 0; // in the replicated state
    std::uint32_t pending = 0; // proposed, not yet applied
    std::uint32_t recall = 0;
    Time pendingSince{};
    // Last renewal with more than half of the permits in use.
    Time busySince{};

    [[nodiscard]] std::uint32_t Held() const
    {
      return this->granted + this->pending;
    }
    [[nodiscard]] std::uint32_t Idle() const;
    [[nodiscard]] std::uint32_t Need() const;
  };

  struct Entry
  {
    std::string boot;
    Time renewedAt{};
    std::map<TeamId, std::uint32_t> reported; // teams in the last renewal
  };

  // An entry instance that competes for the permits of a team.
  struct Claim
  {
    InstanceId entry;
    Time renewedAt{};
    std::uint32_t need = 0;
    std::uint32_t held = 0;
    std::uint32_t fair = 0; // part of the usable permits by demand
  };

  [[nodiscard]] std::vector<Claim> Claims(const TeamId& aTeam,
                                          std::uint32_t aUsable) const;
  void Rebalance(Context& aContext, const TeamId& aTeam);
  void Grant(Context& aContext,
             const TeamId& aTeam,
             const InstanceId& aEntry,
             std::uint32_t aCount);
  void GrantFree(Context& aContext, const TeamId& aTeam);
  void RecallIdle(Context& aContext, const TeamId& aTeam);
  void RecallBusy(Context& aContext,
                  const TeamId& aTeam,
                  std::uint32_t aExcess);
  void ReleasePending(Allocation& aAllocation,
                      const TeamId& aTeam,
                      std::uint32_t aCount);
  void ReclaimSilent(Context& aContext);
  void SyncGranted(Context& aContext, const InstanceId& aEntry);
  [[nodiscard]] std::uint32_t UnmetNeed(const TeamId& aTeam) const;
  [[nodiscard]] std::uint32_t Excess(const Context& aContext,
                                     const TeamId& aTeam) const;

  Reservations& reservations;
  Time leaderSince{}; // start of this leadership
  std::map<InstanceId, Entry> entries;
  std::map<InstanceId, Time> reclaimedAt;
  std::map<TeamId, std::map<InstanceId, Allocation>> teams;
  std::map<TeamId, std::uint32_t> caps;
  std::map<TeamId, std::uint32_t> waitingTaskSlots;
};

} // namespace hyssoppaddle::planner

#endif
