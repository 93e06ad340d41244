// Text forms of enumerations in the JSON API. They are part of the public
// interface, and docs/api.md lists them.
#ifndef hyssoppaddle_api_Names_h
#define hyssoppaddle_api_Names_h

#include "state/Records.h"

#include <optional>
#include <string_view>

namespace hyssoppaddle::api {

std::string_view
NameOf(state::InstancePhase aPhase);
std::string_view
NameOf(state::JobState aState);
std::string_view
NameOf(state::TaskState aState);
std::string_view
NameOf(state::UpstreamState aState);
std::string_view
NameOf(state::WaveState aState);
std::string_view
NameOf(state::WorkClass aClass);

std::optional<state::TaskState>
ParseTaskState(std::string_view aText);
std::optional<state::WorkClass>
ParseWorkClass(std::string_view aText);

} // namespace hyssoppaddle::api

#endif
