// Lends instances of the spare pool to pools by smoothed demand, and returns
// them. Each move costs a drain, so demand that changes every few seconds must
// not cause moves.
#ifndef hyssoppaddle_planner_PoolBalancer_h
#define hyssoppaddle_planner_PoolBalancer_h

#include "planner/Budget.h"
#include "planner/Context.h"
#include "planner/InstanceLoads.h"
#include "planner/PoolDemand.h"
#include "planner/Transfers.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::planner {

class PoolBalancer
{
public:
  PoolBalancer(const PoolDemand& aDemand,
               const InstanceLoads& aLoads,
               const Budget& aBudget,
               Transfers& aTransfers);

  void Clear();
  void ReadBundle(const state::Bundle& aBundle);
  // aBlocked: pools whose budget blocks a maintenance wave; they may borrow as
  // well.
  void OnTick(Context& aContext, const std::set<PoolId>& aBlocked);

  // True when the spare pool may lend one instance to aPool: afterwards the
  // spare pool is still less loaded than aPool, or aPool is below its budget.
  [[nodiscard]] bool MayLend(const Context& aContext,
                             const PoolId& aPool) const;
  [[nodiscard]] const PoolId& SparePool() const { return this->sparePool; }
  // Smoothed demand for slots, limited to the capacity of the pool.
  [[nodiscard]] double SmoothedDemand(const PoolId& aPool) const;

private:
  struct Trend
  {
    double used = 0;   // smoothed demand, limited to the capacity
    double wanted = 0; // smoothed demand with a limited backlog
    Time at{};
    bool started = false;
    std::optional<Time> shortSince;
    std::optional<Time> idleSince;
  };

  void Evaluate(Context& aContext, const PoolId& aPool, bool aWaveWaits);
  void UpdateTrend(const Context& aContext, const PoolId& aPool, Trend& aTrend);
  void BorrowInstanceIfNeeded(Context& aContext,
                              const PoolId& aPool,
                              Trend& aTrend,
                              bool aWaveWaits);
  void MaybeReturn(Context& aContext, const PoolId& aPool, Trend& aTrend);
  [[nodiscard]] std::uint32_t Borrowed(const Context& aContext,
                                       const PoolId& aPool) const;
  void Log(Context& aContext,
           const InstanceId& aInstance,
           const PoolId& aTo,
           const std::string& aReason) const;

  const PoolDemand& demand;
  const InstanceLoads& loads;
  const Budget& budget;
  Transfers& transfers;
  PoolId sparePool;
  std::vector<PoolId> pools;
  std::size_t cursor = 0;
  std::map<PoolId, Trend> trends;
};

} // namespace hyssoppaddle::planner

#endif
