// Resending of instructions.
#include "planner/OwedInstructions.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

constexpr Duration kFirstResend{ 1000000 };
constexpr Duration kLongestResend{ 8000000 };
// Answers to announcements stay small.
constexpr std::size_t kMaxPerAnswer = 64;

bool
Same(const Instruction& aLeft, const Instruction& aRight)
{
  return aLeft.kind == aRight.kind && aLeft.epoch == aRight.epoch &&
         aLeft.mode == aRight.mode;
}

} // namespace

void
OwedInstructions::Clear()
{
  this->debts.clear();
  this->due.clear();
}

void
OwedInstructions::Owe(const Instruction& aInstruction, Time aNow)
{
  std::map<JobId, Debt>& ofInstance = this->debts[aInstruction.instance];
  const auto found = ofInstance.find(aInstruction.job);
  if (found != ofInstance.end()) {
    if (Same(found->second.instruction, aInstruction)) {
      return;
    }
    this->due.erase(
      { found->second.dueAt, aInstruction.instance, aInstruction.job });
  }
  ofInstance[aInstruction.job] = Debt{ aInstruction, aNow, kFirstResend };
  this->due.emplace(aNow, aInstruction.instance, aInstruction.job);
}

void
OwedInstructions::Settle(const InstanceId& aInstance, const JobId& aJob)
{
  const auto ofInstance = this->debts.find(aInstance);
  if (ofInstance == this->debts.end()) {
    return;
  }
  const auto found = ofInstance->second.find(aJob);
  if (found == ofInstance->second.end()) {
    return;
  }
  this->due.erase({ found->second.dueAt, aInstance, aJob });
  ofInstance->second.erase(found);
  if (ofInstance->second.empty()) {
    this->debts.erase(ofInstance);
  }
}

void
OwedInstructions::SendDue(Context& aContext)
{
  while (!this->due.empty()) {
    const auto [at, instance, job] = *this->due.begin();
    if (at > aContext.now || !aContext.Take()) {
      return;
    }
    this->due.erase(this->due.begin());
    Debt& debt = this->debts[instance][job];
    aContext.Send(debt.instruction);
    debt.dueAt = aContext.now + debt.delay;
    debt.delay = std::min(debt.delay * 2, kLongestResend);
    this->due.emplace(debt.dueAt, instance, job);
  }
}

std::vector<Instruction>
OwedInstructions::To(const InstanceId& aInstance) const
{
  std::vector<Instruction> result;
  const auto found = this->debts.find(aInstance);
  if (found == this->debts.end()) {
    return result;
  }
  for (const auto& [job, debt] : found->second) {
    if (result.size() == kMaxPerAnswer) {
      break;
    }
    result.push_back(debt.instruction);
  }
  return result;
}

} // namespace hyssoppaddle::planner
