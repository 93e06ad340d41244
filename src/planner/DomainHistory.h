// Records losses and returns of instances by failure domain (rack and data
// centre) and by pool. Maintenance waves and budgets use it to be more cautious
// right after a repair.
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

// The reason why a maintenance wave must pause.
struct Alarm
{
  std::string reason;
  Time at{};
};

class DomainHistory
{
public:
  void Clear();
  // aSoak: period after a return in which another loss counts as "right after a
  // repair".
  void OnInstance(const state::FleetState& aState,
                  const InstanceId& aInstance,
                  Duration aSoak,
                  Time aNow);

  [[nodiscard]] bool RepairedWithin(const PoolId& aPool,
                                    Duration aPeriod,
                                    Time aNow) const;
  // The latest reason to pause a wave, if there is one.
  [[nodiscard]] const std::optional<Alarm>& LatestAlarm() const
  {
    return this->alarm;
  }
  [[nodiscard]] std::optional<Time> LatestLoss() const
  {
    return this->lastLossAt;
  }
  [[nodiscard]] const std::set<InstanceId>& LostInstances() const
  {
    return this->lost;
  }
  // Number of losses of the instance in the last hour, and the time since when
  // it has been lost.
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
                              Duration aPeriod,
                              Time aNow) const;

  std::map<InstanceId, state::InstancePhase> phases;
  std::set<InstanceId> lost;
  std::map<InstanceId, Time> lostSince;
  std::map<InstanceId, std::set<Time>> losses;
  std::map<RackId, std::set<InstanceId>> lostInRack;
  std::map<RackId, Time> returnedInRack;
  std::map<DataCentreId, Time> returnedInDataCentre;
  std::map<PoolId, Time> returnedInPool;
  std::optional<Alarm> alarm;
  std::optional<Time> lastLossAt;
};

} // namespace hyssoppaddle::planner

#endif
