// Replaces lost instances.
#include "planner/Repair.h"

#include <algorithm>
#include <vector>

namespace hyssoppaddle::planner {

namespace {

// Most lost instances return sooner after a restart. Replacing those would cost
// drains without benefit.
constexpr Duration kRepairDelay{ std::chrono::seconds(60) };
constexpr Duration kHour{ std::chrono::hours(1) };
constexpr std::size_t kMaxFailedReplacements = 3;
constexpr std::size_t kMaxInstancesPerTick = 16;

} // namespace

Repair::Repair(const DomainHistory& aHistory,
               const PoolBalancer& aBalancer,
               Transfers& aTransfers)
  : history(aHistory)
  , balancer(aBalancer)
  , transfers(aTransfers)
{
}

void
Repair::Clear()
{
  this->cases.clear();
  this->failures.clear();
}

void
Repair::OnTick(Context& aContext)
{
  const std::set<InstanceId>& lost = this->history.LostInstances();
  std::erase_if(this->cases, [&](const auto& aEntry) {
    return !lost.contains(aEntry.first);
  });
  if (this->balancer.SparePool().empty() || lost.empty()) {
    return;
  }
  auto next = lost.upper_bound(this->cursor);
  const std::size_t count = std::min(kMaxInstancesPerTick, lost.size());
  for (std::size_t step = 0; step < count; ++step) {
    if (next == lost.end()) {
      next = lost.begin();
    }
    this->cursor = *next++;
    this->Attempt(aContext, this->cursor);
  }
}

std::size_t
Repair::Failures(const Context& aContext, const InstanceId& aInstance)
{
  const auto found = this->failures.find(aInstance);
  if (found == this->failures.end()) {
    return 0;
  }
  std::set<Time>& times = found->second;
  while (!times.empty() && aContext.now - *times.begin() > kHour) {
    times.erase(times.begin());
  }
  return times.size();
}

void
Repair::Attempt(Context& aContext, const InstanceId& aInstance)
{
  const PoolId& spare = this->balancer.SparePool();
  const auto record = aContext.state.Instances().find(aInstance);
  const std::optional<Time> since = this->history.LostSince(aInstance);
  if (record == aContext.state.Instances().end() || !since ||
      aContext.now - *since < kRepairDelay || record->second.retired ||
      record->second.pool == spare) {
    return;
  }
  Case& repair = this->cases[aInstance];
  this->UpdateCase(aContext, aInstance, repair);
  if (repair.replacement || repair.stopped) {
    return;
  }
  if (this->Failures(aContext, aInstance) >= kMaxFailedReplacements) {
    this->StopCase(aContext, aInstance, repair);
    return;
  }
  if (!this->balancer.MayLend(aContext, record->second.pool)) {
    return;
  }
  const std::string reason = "replaces the lost " + aInstance.value;
  repair.replacement = this->transfers.Start(
    aContext, spare, record->second.pool, state::StopPurpose::Repair, reason);
  if (repair.replacement) {
    repair.arrived = false;
    aContext.Log(LogDecision{ .kind = "repair",
                              .subject = aInstance.value,
                              .team = {},
                              .pool = record->second.pool,
                              .candidates = {},
                              .chosen = repair.replacement->value,
                              .rule = "replace from the spare pool",
                              .reason = reason });
  }
}

// A replacement has failed when it is lost during its transfer or after its
// arrival.
void
Repair::UpdateCase(Context& aContext, const InstanceId& aInstance, Case& aCase)
{
  if (!aCase.replacement) {
    return;
  }
  const auto result = this->transfers.TakeResult(*aCase.replacement);
  const bool arrivedAndLost =
    aCase.arrived && this->history.LostInstances().contains(*aCase.replacement);
  if (result == TransferResult::Arrived) {
    aCase.arrived = true;
  } else if (result == TransferResult::Failed || arrivedAndLost) {
    this->failures[aInstance].insert(aContext.now);
    aCase.replacement.reset();
    aCase.arrived = false;
  }
}

void
Repair::StopCase(Context& aContext, const InstanceId& aInstance, Case& aCase)
{
  aCase.stopped = true;
  aContext.Log(LogDecision{
    .kind = "repair",
    .subject = aInstance.value,
    .team = {},
    .pool = aContext.state.Instances().at(aInstance).pool,
    .candidates = {},
    .chosen = "stopped",
    .rule = "3 failed replacements within an hour",
    .reason = "its replacements were lost as well; an operator should look",
    .refusal = true });
}

std::string
Repair::Explain(const InstanceId& aInstance) const
{
  const auto found = this->cases.find(aInstance);
  if (found == this->cases.end()) {
    return {};
  }
  if (found->second.stopped) {
    return "its replacement stopped after 3 failures within an hour";
  }
  if (found->second.replacement) {
    return (found->second.arrived ? "it was replaced by "
                                  : "it is being replaced by ") +
           found->second.replacement->value;
  }
  return "its replacement waits until the spare pool can lend: its budget and "
         "its "
         "own load come first";
}

} // namespace hyssoppaddle::planner
