// Reads and writes resource amounts.
#include "api/ResourcesJson.h"

#include "api/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace hyssoppaddle::api {

namespace {

// Larger than any machine, and small enough that sums cannot overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000;

} // namespace

state::Resources
ReadResources(const nlohmann::json& aValue,
              Findings& aFindings,
              const std::string& aPath)
{
  if (aValue.is_null()) {
    return {};
  }
  ObjectReader reader(aValue, aFindings, aPath);
  state::Resources resources;
  resources.milliCpus = reader.OptionalNumber("milli_cpus", 0, kMaxAmount, 0);
  resources.memoryMb = reader.OptionalNumber("memory_mb", 0, kMaxAmount, 0);
  resources.accelerators =
    reader.OptionalNumber("accelerators", 0, kMaxAmount, 0);
  reader.RejectUnknown();
  return resources;
}

nlohmann::json
WriteResources(const state::Resources& aResources)
{
  return { { "milli_cpus", aResources.milliCpus },
           { "memory_mb", aResources.memoryMb },
           { "accelerators", aResources.accelerators } };
}

} // namespace hyssoppaddle::api
