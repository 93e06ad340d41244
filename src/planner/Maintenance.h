// Maintenance waves: every instance once per interval, one failure domain
// after the other, within the budgets. A wave pauses after correlated losses.
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
  // Pools whose budget keeps the wave from going on.
  [[nodiscard]] const std::set<PoolId>& BlockedPools() const
  {
    return this->blocked;
  }
  [[nodiscard]] std::vector<std::string> Explain(const Context& aContext) const;

private:
  using Slot = std::tuple<DataCentreId, RackId, InstanceId>;
  using Domain = std::pair<DataCentreId, RackId>;

  void MaybeStart(Context& aContext);
  void Collect(const Context& aContext);
  void Consider(const Context& aContext, const InstanceId& aInstance);
  void Pursue(Context& aContext);
  void StopNext(Context& aContext);
  bool PauseOrResume(Context& aContext);
  void Refresh(Context& aContext);
  void Set(Context& aContext, state::WaveState aState, std::string aReason);
  [[nodiscard]] const state::WaveRecord* Record(const Context& aContext) const;
  [[nodiscard]] Duration Remaining(const Context& aContext) const;
  [[nodiscard]] Duration PerDomain(const Context& aContext) const;
  [[nodiscard]] std::size_t Parallel(const Context& aContext) const;
  [[nodiscard]] WallTime Cutoff(const Context& aContext) const;

  Budget& budget;
  const DomainHistory& history;
  Time since{}; // leadership began
  std::optional<WaveId> wave;
  std::map<InstanceId, WallTime> maintained;
  std::set<std::pair<WallTime, InstanceId>> byAge;
  std::map<InstanceId, Domain> domains;
  std::map<Domain, std::size_t> domainSizes;
  std::set<Slot> remaining;      // instances that the wave still has to stop
  std::set<InstanceId> underway; // stopped by it and not yet soaked
  bool collected = false;
  std::pair<WallTime, InstanceId> collectCursor;
  std::set<PoolId> blocked;
  std::string waitReason;
  Time notBefore{};
  Time refreshAt{};
  Time pausedAt{};
  // Measured pace of this wave, for the forecast.
  std::size_t done = 0;
  Time paceSince{};
};

} // namespace hyssoppaddle::planner

#endif
