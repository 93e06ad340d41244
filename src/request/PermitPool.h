// Permits of this boot of this entry instance: granted by the replicated state,
// in use by running attempts, and being returned. A permit that is being
// returned is no longer used here from before the return is sent, so that no
// order of messages lets two entry instances use it.
#ifndef hyssoppaddle_request_PermitPool_h
#define hyssoppaddle_request_PermitPool_h

#include "base/Id.h"
#include "state/Commands.h"
#include "state/FleetState.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppaddle::request {

class PermitPool
{
public:
  PermitPool(const state::FleetState& aView,
             InstanceId aSelf,
             std::string aBoot);

  // The own entry record or a team's limit changed. Returns the teams that may
  // have more permits than before.
  std::vector<TeamId> Refresh();

  [[nodiscard]] std::uint32_t Available(const TeamId& aTeam) const;
  [[nodiscard]] std::uint32_t InUse(const TeamId& aTeam) const;
  [[nodiscard]] std::uint32_t Granted(const TeamId& aTeam) const;
  // Returns false, and takes nothing, when none is available.
  bool Acquire(const TeamId& aTeam);
  void Release(const TeamId& aTeam);

  // Permits that the leader wants back; replaces what it wanted before.
  void SetRecalls(
    const std::vector<std::pair<TeamId, std::uint32_t>>& aRecalls);
  // From now on every idle permit is returned.
  void BeginStop();
  // Returns that became possible; the own count is already lowered by them.
  std::vector<state::ReturnPermits> TakeReturns();

  // Teams with permits or running work.
  [[nodiscard]] std::vector<wire::TeamDemand> Demand() const;

private:
  struct Team
  {
    std::uint32_t granted = 0;   // in the replicated state
    std::uint32_t returning = 0; // sum of the team's unsettled returns
    std::uint32_t recalled = 0;  // still wanted back by the leader
    std::uint32_t inUse = 0;
  };

  // A return that the replicated state has not yet decided about.
  struct Unsettled
  {
    std::uint64_t sequence = 0;
    TeamId team;
    std::uint32_t count = 0;
  };

  [[nodiscard]] static std::uint32_t Own(const Team& aTeam);
  void Settle(std::uint64_t aLastReturn);

  const state::FleetState* view;
  InstanceId self;
  std::string boot;
  bool stopping = false;
  std::map<TeamId, Team> teams;
  std::set<TeamId> changed;        // to look at in TakeReturns
  std::deque<Unsettled> unsettled; // by sequence
  std::uint64_t nextReturn = 1;
};

} // namespace hyssoppaddle::request

#endif
