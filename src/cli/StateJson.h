// JSON form of the replicated state for `state export`. Key digests are left
// out.
#ifndef hyssoppaddle_cli_StateJson_h
#define hyssoppaddle_cli_StateJson_h

#include <nlohmann/json_fwd.hpp>

namespace hyssoppaddle::state {
class FleetState;
}

namespace hyssoppaddle::cli {

nlohmann::json
StateJson(const state::FleetState& aState);

} // namespace hyssoppaddle::cli

#endif
