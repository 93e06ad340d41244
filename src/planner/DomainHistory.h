// Losses and returns of instances by failure domain (rack and data centre) and
// by pool. Waves and budgets are more careful right after a repair.
#ifndef hyssoppaddle_planner_DomainHistory_h
#define hyssoppaddle_planner_DomainHistory_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/FleetState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace hyssoppaddle::planner {

// Why a wave must pause.
struct Alarm
{
  std::string reason;
  Time at{};
};

class DomainHistory
{
public:
  void Clear();
  // aSoak: how long after a return another loss counts as "right after".
  void OnInstance(const state::FleetState& aState,
                  const InstanceId& aInstance,
                  Duration aSoak,
                  Time aNow);

  [[nodiscard]] bool RepairedWithin(const PoolId& aPool,
                                    Duration aTime,
                                    Time aNow) const;
  // Latest reason to pause, if any was seen.
  [[nodiscard]] const std::optional<Alarm>& LatestAlarm() const
  {
    return this->alarm;
  }
  [[nodiscard]] std::optional<Time> LatestLoss() const
  {
    return this->lastLoss;
  }
  [[nodiscard]] const std::set<InstanceId>& Lost() const { return this->lost; }
  // When the instance was last seen to be lost, and how often in the last hour.
  [[nodiscard]] std::uint32_t LossesOf(const InstanceId& aInstance,
                                       Time aNow) const;
  [[nodiscard]] std::optional<Time> LostSince(
    const InstanceId& aInstance) const;

private:
  void OnLoss(const state::InstanceRecord& aRecord,
              const InstanceId& aInstance,
              Duration aSoak,
              Time aNow);
  [[nodiscard]] bool IsRecent(const std::optional<Time>& aAt,
                              Duration aTime,
                              Time aNow) const;

  std::map<InstanceId, state::InstancePhase> phases;
  std::set<InstanceId> lost;
  std::map<InstanceId, Time> lostSince;
  std::map<InstanceId, std::set<Time>> losses;
  std::map<RackId, std::set<InstanceId>> lostInRack;
  std::map<RackId, Time> returnedInRack;
  std::map<DataCentreId, Time> returnedInCentre;
  std::map<PoolId, Time> returnedInPool;
  std::optional<Alarm> alarm;
  std::optional<Time> lastLoss;
};

} // namespace hyssoppaddle::planner

#endif
