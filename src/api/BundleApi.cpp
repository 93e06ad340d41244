// Bundles: proposal, approval, status.
#include "api/ControlApi.h"
#include "api/Reply.h"
#include "base/WallTimeText.h"
#include "config/BundleParser.h"
#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace hyssoppaddle::api {

namespace {

std::optional<std::uint64_t>
ParseVersion(const std::string& aText)
{
  std::uint64_t version = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, version);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return version;
}

// Members that have not yet approved a pending bundle.
nlohmann::json
AwaitedMembers(const state::FleetState& aState,
               const state::BundleRecord& aRecord)
{
  nlohmann::json awaited = nlohmann::json::array();
  for (const auto& [member, record] : aState.Members()) {
    if (!aRecord.approvals.contains(member)) {
      awaited.push_back(member.value);
    }
  }
  return awaited;
}

nlohmann::json
Summary(const state::FleetState& aState,
        std::uint64_t aVersion,
        const state::BundleRecord& aRecord)
{
  nlohmann::json approvals = nlohmann::json::array();
  for (const MemberId& member : aRecord.approvals) {
    approvals.push_back(member.value);
  }
  nlohmann::json summary{ { "version", aVersion },
                          { "digest", aRecord.digest },
                          { "proposer", aRecord.proposer },
                          { "proposed_at", FormatWallTime(aRecord.proposedAt) },
                          { "approved_by", approvals } };
  if (aRecord.acceptedAt) {
    summary["state"] = "accepted";
    summary["accepted_at"] = FormatWallTime(*aRecord.acceptedAt);
  } else {
    summary["state"] = "proposed";
    summary["awaiting_members"] = AwaitedMembers(aState, aRecord);
  }
  return summary;
}

} // namespace

void
ControlApi::ProposeBundle(Exchange aExchange)
{
  auto bundle = config::ParseBundle(aExchange.request.body);
  if (!bundle) {
    aExchange.reply(FindingsReply(bundle.error()));
    return;
  }
  state::ProposeBundle command;
  command.content = std::move(aExchange.request.body);
  command.digest = config::BundleDigest(command.content);
  command.proposer = aExchange.principal.key.value;
  command.bundle = std::move(*bundle);
  nlohmann::json success{ { "version", command.bundle.version },
                          { "digest", command.digest } };
  this->Submit(
    std::move(aExchange), std::move(command), 201, std::move(success));
}

void
ControlApi::ApproveBundle(Exchange aExchange)
{
  const std::optional<std::uint64_t> version =
    ParseVersion(aExchange.pathArguments.at(0));
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  const bool hasDigest =
    body.is_object() && body.contains("digest") && body["digest"].is_string();
  if (!version || !hasDigest) {
    aExchange.reply(ProblemReply(
      422,
      "invalid",
      R"(expected /v1/bundles/<version>/approvals with {"digest": "..."})"));
    return;
  }
  state::ApproveBundle command;
  command.version = *version;
  command.digest = body["digest"].get<std::string>();
  command.member = MemberId(aExchange.principal.subject);
  this->Submit(
    std::move(aExchange), std::move(command), 200, { { "version", *version } });
}

void
ControlApi::ListBundles(Exchange aExchange)
{
  this->Read(std::move(aExchange), &ControlApi::BundleList);
}

nlohmann::json
ControlApi::BundleList(const Exchange& /*aExchange*/) const
{
  const state::FleetState& state = this->port.Core().State();
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [version, record] : state.Bundles()) {
    list.push_back(Summary(state, version, record));
  }
  return { { "in_force", state.ActiveBundle().version }, { "bundles", list } };
}

void
ControlApi::ShowBundle(Exchange aExchange)
{
  this->Read(std::move(aExchange), &ControlApi::BundleStatus);
}

nlohmann::json
ControlApi::BundleStatus(const Exchange& aExchange) const
{
  const core::Reducer& core = this->port.Core();
  const std::optional<std::uint64_t> version =
    ParseVersion(aExchange.pathArguments.at(0));
  const auto& bundles = core.State().Bundles();
  const auto found = version ? bundles.find(*version) : bundles.end();
  if (found == bundles.end()) {
    return { { "state", "unknown" }, { "detail", "no such bundle version" } };
  }
  nlohmann::json status = Summary(core.State(), *version, found->second);
  status["content"] = found->second.content;
  if (!core.Log().Leader().empty() &&
      core.Log().CurrentRole() != agreement::Role::Leader) {
    status["roll_out"] = "ask " + core.Log().Leader().value + ", the leader";
    return status;
  }
  nlohmann::json inForce = nlohmann::json::array();
  nlohmann::json awaiting = nlohmann::json::array();
  for (const core::EntryStatus& entry : core.Entries(this->port.Now())) {
    auto& list = entry.bundleVersion >= *version ? inForce : awaiting;
    list.push_back(entry.entry.value);
  }
  status["in_force_on"] = inForce;
  status["awaiting_entries"] = awaiting;
  return status;
}

} // namespace hyssoppaddle::api
