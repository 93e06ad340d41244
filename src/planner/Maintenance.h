// Maintenance waves: each wave drains and reboots every instance once per
// interval, one failure domain after the other, within the budgets. A wave
// pauses after correlated losses.
#ifndef hyssoppaddle_planner_Maintenance_h
#define hyssoppaddle_planner_Maintenance_h

#include "planner/Budget.h"
#include "planner/Context.h"
#include "planner/DomainHistory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hyssoppaddle::planner {

class Maintenance
{
public:
  Maintenance(Budget& aBudget, const DomainHistory& aHistory);

  void Reset(Time aNow);
  void OnInstance(const Context& aContext, const InstanceId& aInstance);
  void OnWaves(const Context& aContext);
  void OnTick(Context& aContext);
  // Pools whose budget currently blocks the wave.
  [[nodiscard]] const std::set<PoolId>& BlockedPools() const
  {
    return this->blocked;
  }
  [[nodiscard]] std::vector<std::string> Explain(const Context& aContext) const;

private:
  using WaveTarget = std::tuple<DataCentreId, RackId, InstanceId>;
  using Domain = std::pair<DataCentreId, RackId>;

  void MaybeStart(Context& aContext);
  void CollectDue(const Context& aContext);
  void AddIfDue(const Context& aContext, const InstanceId& aInstance);
  void AdvanceWave(Context& aContext);
  void DrainNext(Context& aContext);
  bool PauseOrResume(Context& aContext);
  void RefreshForecast(Context& aContext);
  void ProposeState(Context& aContext,
                    state::WaveState aState,
                    std::string aReason);
  [[nodiscard]] const state::WaveRecord* ActiveRecord(
    const Context& aContext) const;
  [[nodiscard]] Duration RemainingTime(const Context& aContext) const;
  [[nodiscard]] Duration TimePerDomain(const Context& aContext) const;
  [[nodiscard]] std::size_t ParallelDomains(const Context& aContext) const;
  [[nodiscard]] WallTime Cutoff(const Context& aContext) const;

  Budget& budget;
  const DomainHistory& history;
  Time leaderSince{}; // start of this leadership
  std::optional<WaveId> wave;
  std::map<InstanceId, WallTime> maintained;
  std::set<std::pair<WallTime, InstanceId>> byLastMaintained;
  std::map<InstanceId, Domain> domains;
  std::map<Domain, std::size_t> domainSizes;
  std::set<WaveTarget> remaining; // instances the wave has not stopped yet
  std::set<InstanceId> underway;  // stopped by the wave, soak not complete
  bool collected = false;
  std::pair<WallTime, InstanceId> collectCursor;
  std::set<PoolId> blocked;
  std::string waitReason;
  Time notBefore{};
  Time refreshAt{};
  Time pausedAt{};
  // Instances maintained in this wave and the time since when they are counted,
  // for the forecast.
  std::size_t doneCount = 0;
  Time paceSince{};
};

} // namespace hyssoppaddle::planner

#endif
