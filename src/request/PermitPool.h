// Permits held by the current boot of this entry instance: granted in the
// replicated state, in use by running attempts, or being returned. A permit is
// no longer used here before its return is sent, so that two entry instances
// cannot use it at the same time even if messages are reordered.
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

  // Reads the replicated record of this entry instance after a change. Returns
  // the teams that have more usable permits than before.
  std::vector<TeamId> Refresh();

  [[nodiscard]] std::uint32_t Available(const TeamId& aTeam) const;
  [[nodiscard]] std::uint32_t InUse(const TeamId& aTeam) const;
  [[nodiscard]] std::uint32_t Granted(const TeamId& aTeam) const;
  // Takes a permit; returns false if none is available.
  bool Acquire(const TeamId& aTeam);
  void Release(const TeamId& aTeam);

  // Sets the number of permits per team that the leader recalls; replaces the
  // previous recalls.
  void SetRecalls(
    const std::vector<std::pair<TeamId, std::uint32_t>>& aRecalls);
  // Starts the graceful stop: from now on, every idle permit is returned.
  void BeginStop();
  // Returns the commands for the permits that can be returned now. These
  // permits are no longer available.
  std::vector<state::ReturnPermits> TakeReturns();

  // Demand of the teams that hold permits or run requests.
  [[nodiscard]] std::vector<wire::TeamDemand> Demand() const;

private:
  struct Team
  {
    std::uint32_t granted = 0;   // in the replicated state
    std::uint32_t returning = 0; // total of the team's unsettled returns
    std::uint32_t recalled = 0;  // recalled by the leader and not yet returned
    std::uint32_t inUse = 0;
  };

  // A return that the replicated state neither applied nor skipped so far.
  struct Unsettled
  {
    std::uint64_t sequence = 0;
    TeamId team;
    std::uint32_t count = 0;
  };

  // Granted permits that are not being returned.
  [[nodiscard]] static std::uint32_t Retained(const Team& aTeam);
  void Settle(std::uint64_t aLastReturn);

  const state::FleetState* view;
  InstanceId self;
  std::string boot;
  bool stopping = false;
  std::map<TeamId, Team> teams;
  std::set<TeamId> changed;        // teams that TakeReturns has to check
  std::deque<Unsettled> unsettled; // ordered by sequence number
  std::uint64_t nextReturn = 1;
};

} // namespace hyssoppaddle::request

#endif
