// JSON form of instructions to upstreams, in answers to announcements and in
// pushed instructions.
#ifndef hyssoppaddle_api_InstructionJson_h
#define hyssoppaddle_api_InstructionJson_h

#include <nlohmann/json_fwd.hpp>

namespace hyssoppaddle::core {
struct DeliverInstruction;
}

namespace hyssoppaddle::planner {
struct Instruction;
}

namespace hyssoppaddle::api {

// {"kind", "boot", "job", "epoch", "mode", "lease_ms", "resume"}.
nlohmann::json
WriteInstruction(const planner::Instruction& aInstruction);

// The same with "payload" and "service".
nlohmann::json
WriteDelivery(const core::DeliverInstruction& aDelivery);

} // namespace hyssoppaddle::api

#endif
