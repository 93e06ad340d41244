// Transfers of instances from one pool to another, for moves and repairs. A
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
  // Transfers the instance of aFrom with the fewest jobs; instances whose home
  // pool is aTo are preferred. Returns nothing when the budget refuses the
  // drain.
  std::optional<InstanceId> Start(Context& aContext,
                                  const PoolId& aFrom,
                                  const PoolId& aTo,
                                  state::StopPurpose aPurpose,
                                  const std::string& aReason);
  void OnInstance(const Context& aContext, const InstanceId& aInstance);
  void OnTick(const Context& aContext);

  [[nodiscard]] std::uint32_t InboundTo(const PoolId& aPool) const;
  [[nodiscard]] std::uint32_t OutboundFrom(const PoolId& aPool) const;
  // Result of a finished transfer. Each result is returned only once.
  std::optional<TransferResult> TakeResult(const InstanceId& aInstance);
  [[nodiscard]] bool IsUnderway(const InstanceId& aInstance) const;

private:
  struct Transfer
  {
    PoolId from;
    PoolId to;
    Time startedAt{};
  };

  [[nodiscard]] std::optional<InstanceId> ChooseInstance(
    const Context& aContext,
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
