// Writes instructions for upstreams.
#include "api/InstructionJson.h"

#include "core/Events.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string_view>

namespace hyssoppaddle::api {

namespace {

std::string_view
NameOf(planner::InstructionKind aKind)
{
  switch (aKind) {
    case planner::InstructionKind::StartTask:
      return "start_task";
    case planner::InstructionKind::StopTask:
      return "stop_task";
    case planner::InstructionKind::Drain:
      return "drain";
    case planner::InstructionKind::Reboot:
      return "reboot";
  }
  return "unknown";
}

std::string_view
NameOf(state::StopMode aMode)
{
  switch (aMode) {
    case state::StopMode::Checkpoint:
      return "checkpoint";
    case state::StopMode::Throttle:
      return "throttle";
    case state::StopMode::Resume:
      return "resume";
    case state::StopMode::Stop:
      return "stop";
  }
  return "unknown";
}

} // namespace

nlohmann::json
WriteInstruction(const planner::Instruction& aInstruction)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  nlohmann::json json{ { "kind", NameOf(aInstruction.kind) },
                       { "boot", aInstruction.boot } };
  if (!aInstruction.job.empty()) {
    json["job"] = aInstruction.job.value;
    json["epoch"] = aInstruction.epoch;
  }
  if (aInstruction.kind == planner::InstructionKind::StopTask) {
    json["mode"] = NameOf(aInstruction.mode);
  }
  if (aInstruction.kind == planner::InstructionKind::StartTask) {
    json["lease_ms"] = duration_cast<milliseconds>(aInstruction.lease).count();
    json["resume"] = aInstruction.resume;
  }
  return json;
}

nlohmann::json
WriteDelivery(const core::DeliverInstruction& aDelivery)
{
  nlohmann::json json = WriteInstruction(aDelivery.instruction);
  json["payload"] = aDelivery.payload;
  json["service"] = aDelivery.service.value;
  return json;
}

} // namespace hyssoppaddle::api
