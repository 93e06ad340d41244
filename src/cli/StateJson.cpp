// Writes the replicated state as JSON.
#include "cli/StateJson.h"

#include "api/Credentials.h"
#include "api/Names.h"
#include "base/WallTimeText.h"
#include "state/FleetState.h"

#include <nlohmann/json.hpp>

namespace hyssoppaddle::cli {

namespace {

nlohmann::json
BundlesJson(const state::FleetState& aState)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [version, record] : aState.Bundles()) {
    list.push_back({ { "version", version },
                     { "digest", record.digest },
                     { "accepted", record.acceptedAt.has_value() },
                     { "content", record.content } });
  }
  return list;
}

nlohmann::json
KeysJson(const state::FleetState& aState)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, record] : aState.Keys()) {
    list.push_back({ { "key", key.value },
                     { "role", api::ToString(record.role) },
                     { "subject", record.subject },
                     { "withdrawn", record.withdrawnAt.has_value() } });
  }
  return list;
}

nlohmann::json
JobsJson(const state::FleetState& aState)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [job, record] : aState.Jobs()) {
    list.push_back({ { "job", job.value },
                     { "team", record.team.value },
                     { "service", record.service.value },
                     { "state", api::NameOf(record.state) },
                     { "epoch", record.epoch } });
  }
  return list;
}

nlohmann::json
InstancesJson(const state::FleetState& aState)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [instance, record] : aState.Instances()) {
    list.push_back({ { "instance", instance.value },
                     { "pool", record.pool.value },
                     { "phase", api::NameOf(record.phase) } });
  }
  return list;
}

} // namespace

nlohmann::json
StateJson(const state::FleetState& aState)
{
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [member, record] : aState.Members()) {
    members.push_back(member.value);
  }
  return { { "time", FormatWallTime(aState.Now()) },
           { "bundle_version", aState.ActiveBundle().version },
           { "members", members },
           { "bundles", BundlesJson(aState) },
           { "keys", KeysJson(aState) },
           { "claims", aState.Claims().size() },
           { "jobs", JobsJson(aState) },
           { "instances", InstancesJson(aState) } };
}

} // namespace hyssoppaddle::cli
