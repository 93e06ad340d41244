// Instances on their way from one pool to another, for moves and repairs. A
// transfer drains, moves and reboots one instance.
#ifndef hyssoppaddle_planner_Transfers_h
#define hyssoppaddle_planner_Transfers_h

#include "planner/Budget.h"
#include "planner/Context.h"
#include "planner/Lifecycle.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hyssoppaddle::planner {

enum class TransferResult : std::uint8_t
{
  Underway,
  Arrived,
  Failed,
};

class Transfers
{
public:
  Transfers(Budget& aBudget, Lifecycle& aLifecycle);

  void Clear();
  // Starts with the instance of aFrom that has the least to finish; the home of
  // the instance is preferred as target. Nothing when the budget refuses.
  std::optional<InstanceId> Start(Context& aContext,
                                  const PoolId& aFrom,
                                  const PoolId& aTo,
                                  state::StopPurpose aPurpose,
                                  const std::string& aReason);
  void OnInstance(const Context& aContext, const InstanceId& aInstance);
  void OnTick(const Context& aContext);

  [[nodiscard]] std::uint32_t To(const PoolId& aPool) const;
  [[nodiscard]] std::uint32_t From(const PoolId& aPool) const;
  // Result of a finished transfer, given once.
  std::optional<TransferResult> TakeResult(const InstanceId& aInstance);
  [[nodiscard]] bool IsUnderway(const InstanceId& aInstance) const;

private:
  struct Transfer
  {
    PoolId from;
    PoolId to;
    Time startedAt{};
  };

  [[nodiscard]] std::optional<InstanceId> Pick(const Context& aContext,
                                               const PoolId& aFrom,
                                               const PoolId& aTo) const;
  void End(const InstanceId& aInstance, TransferResult aResult);

  Budget& budget;
  Lifecycle& lifecycle;
  std::map<InstanceId, Transfer> transfers;
  std::map<InstanceId, TransferResult> results;
  std::map<PoolId, std::uint32_t> inbound;
  std::map<PoolId, std::uint32_t> outbound;
};

} // namespace hyssoppaddle::planner

#endif
