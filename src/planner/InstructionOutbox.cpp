// Sends due instructions with exponential delays.
#include "planner/InstructionOutbox.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::planner {

namespace {

constexpr Duration kInitialResendDelay{ std::chrono::seconds(1) };
constexpr Duration kMaxResendDelay{ std::chrono::seconds(8) };
// Limits the size of the answers to announcements.
constexpr std::size_t kMaxInstructionsPerAnswer = 64;

bool
IsSameInstruction(const Instruction& aLeft, const Instruction& aRight)
{
  return aLeft.kind == aRight.kind && aLeft.epoch == aRight.epoch &&
         aLeft.mode == aRight.mode;
}

} // namespace

void
InstructionOutbox::Clear()
{
  this->pendingByInstance.clear();
  this->due.clear();
}

void
InstructionOutbox::KeepSending(const Instruction& aInstruction, Time aNow)
{
  std::map<JobId, PendingInstruction>& ofInstance =
    this->pendingByInstance[aInstruction.instance];
  const auto found = ofInstance.find(aInstruction.job);
  if (found != ofInstance.end()) {
    if (IsSameInstruction(found->second.instruction, aInstruction)) {
      return;
    }
    this->due.erase(
      { found->second.dueAt, aInstruction.instance, aInstruction.job });
  }
  ofInstance[aInstruction.job] =
    PendingInstruction{ aInstruction, aNow, aNow, kInitialResendDelay };
  this->due.emplace(aNow, aInstruction.instance, aInstruction.job);
}

void
InstructionOutbox::StopSending(const InstanceId& aInstance, const JobId& aJob)
{
  const auto ofInstance = this->pendingByInstance.find(aInstance);
  if (ofInstance == this->pendingByInstance.end()) {
    return;
  }
  const auto found = ofInstance->second.find(aJob);
  if (found == ofInstance->second.end()) {
    return;
  }
  this->due.erase({ found->second.dueAt, aInstance, aJob });
  ofInstance->second.erase(found);
  if (ofInstance->second.empty()) {
    this->pendingByInstance.erase(ofInstance);
  }
}

void
InstructionOutbox::SendDue(Context& aContext)
{
  while (!this->due.empty()) {
    const auto [at, instance, job] = *this->due.begin();
    if (at > aContext.now || !aContext.TakeDecision()) {
      return;
    }
    this->due.erase(this->due.begin());
    PendingInstruction& pending = this->pendingByInstance[instance][job];
    std::optional<Instruction> instruction = SendableAt(pending, aContext.now);
    if (!instruction) {
      continue;
    }
    aContext.Send(*std::move(instruction));
    pending.dueAt = aContext.now + pending.resendDelay;
    pending.resendDelay = std::min(pending.resendDelay * 2, kMaxResendDelay);
    this->due.emplace(pending.dueAt, instance, job);
  }
}

std::vector<Instruction>
InstructionOutbox::PendingFor(const InstanceId& aInstance, Time aNow) const
{
  std::vector<Instruction> result;
  const auto found = this->pendingByInstance.find(aInstance);
  if (found == this->pendingByInstance.end()) {
    return result;
  }
  for (const auto& [job, pending] : found->second) {
    if (result.size() == kMaxInstructionsPerAnswer) {
      break;
    }
    if (std::optional<Instruction> instruction = SendableAt(pending, aNow)) {
      result.push_back(*std::move(instruction));
    }
  }
  return result;
}

std::optional<Instruction>
InstructionOutbox::SendableAt(const PendingInstruction& aPending, Time aNow)
{
  Instruction instruction = aPending.instruction;
  if (instruction.kind != InstructionKind::StartTask) {
    return instruction;
  }
  const Duration shortest = instruction.lease / 2;
  instruction.lease -= aNow - aPending.since;
  if (instruction.lease < shortest) {
    return std::nullopt;
  }
  return instruction;
}

} // namespace hyssoppaddle::planner
