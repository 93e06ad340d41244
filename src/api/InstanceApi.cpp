// Fleet instances: list, and the operators' requests to drain, return or move
// one.
#include "api/ControlApi.h"
#include "api/Names.h"
#include "api/Reply.h"
#include "base/WallTimeText.h"
#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hyssoppaddle::api {

namespace {

nlohmann::json
InstanceJson(const state::FleetState& aState,
             const InstanceId& aInstance,
             const state::InstanceRecord& aRecord)
{
  nlohmann::json json{ { "instance", aInstance.value },
                       { "pool", aRecord.pool.value },
                       { "home_pool", aRecord.homePool.value },
                       { "data_centre", aRecord.dataCentre.value },
                       { "rack", aRecord.rack.value },
                       { "phase", NameOf(aRecord.phase) },
                       { "since", FormatWallTime(aRecord.since) },
                       { "reason", aRecord.reason },
                       { "tasks", aState.JobsOn(aInstance).size() } };
  if (!aRecord.movingToPool.empty()) {
    json["moving_to"] = aRecord.movingToPool.value;
  }
  const auto upstream = aState.Upstreams().find(aInstance);
  if (upstream != aState.Upstreams().end()) {
    json["upstream"] = NameOf(upstream->second.state);
    json["address"] = upstream->second.announcement.address;
    json["service"] = upstream->second.announcement.service.value;
  }
  return json;
}

} // namespace

void
ControlApi::ListInstances(Exchange aExchange)
{
  this->Read(std::move(aExchange), &ControlApi::InstanceList);
}

nlohmann::json
ControlApi::InstanceList(const Exchange& /*aExchange*/) const
{
  const state::FleetState& state = this->port.Core().State();
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [instance, record] : state.Instances()) {
    list.push_back(InstanceJson(state, instance, record));
  }
  return { { "instances", list } };
}

void
ControlApi::DrainInstance(Exchange aExchange)
{
  state::RequestInstanceAction command;
  command.instance = InstanceId(aExchange.pathArguments.at(0));
  command.request = state::InstanceAction::Drain;
  nlohmann::json success{ { "instance", command.instance.value } };
  this->Submit(
    std::move(aExchange), std::move(command), 202, std::move(success));
}

void
ControlApi::ReturnInstance(Exchange aExchange)
{
  state::RequestInstanceAction command;
  command.instance = InstanceId(aExchange.pathArguments.at(0));
  command.request = state::InstanceAction::Return;
  nlohmann::json success{ { "instance", command.instance.value } };
  this->Submit(
    std::move(aExchange), std::move(command), 202, std::move(success));
}

void
ControlApi::MoveInstance(Exchange aExchange)
{
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  if (!body.is_object() || !body.contains("pool") ||
      !body["pool"].is_string()) {
    aExchange.reply(
      ProblemReply(422, "invalid", R"(expected {"pool": "<target>"})"));
    return;
  }
  state::RequestInstanceAction command;
  command.instance = InstanceId(aExchange.pathArguments.at(0));
  command.request = state::InstanceAction::Move;
  command.to = PoolId(body["pool"].get<std::string>());
  nlohmann::json success{ { "instance", command.instance.value },
                          { "pool", command.to.value } };
  this->Submit(
    std::move(aExchange), std::move(command), 202, std::move(success));
}

} // namespace hyssoppaddle::api
