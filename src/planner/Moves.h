// Lends instances of the spare pool by smoothed demand, and takes them back.
// Each move costs a drain, so demand that turns every few seconds moves
// nothing.
#ifndef hyssoppaddle_planner_Moves_h
#define hyssoppaddle_planner_Moves_h

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

class Moves
{
public:
  Moves(const PoolDemand& aDemand,
        const InstanceLoads& aLoads,
        const Budget& aBudget,
        Transfers& aTransfers);

  void Clear();
  void ReadBundle(const state::Bundle& aBundle);
  // aBlocked: pools whose budget a wave waits for; they may borrow as well.
  void OnTick(Context& aContext, const std::set<PoolId>& aBlocked);

  // True when the spare pool may give one instance to aPool: it stays less
  // loaded than the receiver is, or the receiver is below its budget.
  [[nodiscard]] bool MayLend(const Context& aContext,
                             const PoolId& aPool) const;
  [[nodiscard]] const PoolId& SparePool() const { return this->spare; }
  // Smoothed demand for slots, up to the capacity.
  [[nodiscard]] double Smoothed(const PoolId& aPool) const;

private:
  struct Trend
  {
    double used = 0;   // demand up to the capacity
    double wanted = 0; // demand with a bounded backlog
    Time at{};
    bool started = false;
    std::optional<Time> shortSince;
    std::optional<Time> idleSince;
  };

  void Evaluate(Context& aContext, const PoolId& aPool, bool aWaveWaits);
  void Follow(const Context& aContext, const PoolId& aPool, Trend& aTrend);
  void MaybeBorrow(Context& aContext,
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
  PoolId spare;
  std::vector<PoolId> pools;
  std::size_t cursor = 0;
  std::map<PoolId, Trend> trends;
};

} // namespace hyssoppaddle::planner

#endif
