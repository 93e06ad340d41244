// JSON form of resource amounts: {"milli_cpus":..., "memory_mb":...,
// "accelerators":...}.
#ifndef hyssoppaddle_api_ResourcesJson_h
#define hyssoppaddle_api_ResourcesJson_h

#include "base/Finding.h"
#include "state/Resources.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hyssoppaddle::api {

// Missing fields are 0. Findings carry paths below aPath.
state::Resources
ReadResources(const nlohmann::json& aValue,
              Findings& aFindings,
              const std::string& aPath);

nlohmann::json
WriteResources(const state::Resources& aResources);

} // namespace hyssoppaddle::api

#endif
