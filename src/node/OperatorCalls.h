// The node's own interface for operators, on the control listener of every
// deployment. docs/api.md lists the calls.
#ifndef hyssoppaddle_node_OperatorCalls_h
#define hyssoppaddle_node_OperatorCalls_h

#include "api/ControlHandler.h"
#include "node/Calls.h"

#include <optional>
#include <span>
#include <string>

namespace hyssoppaddle::node {

// Nothing when the call does not belong to this interface.
std::optional<Call>
DecodeOperatorCall(const api::HttpRequest& aRequest);

// A JSON object with the list `data_centres`.
std::string
EncodeEvacuations(std::span<const dispatch::EvacuationProgress> aEvacuations);

} // namespace hyssoppaddle::node

#endif
