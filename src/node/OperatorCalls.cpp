// Paths and JSON bodies of the operators' interface.
#include "node/OperatorCalls.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssoppaddle::node {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kDataCentresPath = "/v1/data-centres";
constexpr std::size_t kMaxNameBytes = 256;

// The caller's name in the body, which may be empty or absent.
std::optional<std::string>
DecodeCaller(const std::string& aBody)
{
  if (aBody.empty()) {
    return std::string();
  }
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  const auto by = body.find("by");
  if (by == body.end()) {
    return std::string();
  }
  if (!by->is_string() ||
      by->get_ref<const std::string&>().size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return by->get<std::string>();
}

// One segment of a path: visible ASCII without a slash.
bool
IsDataCentreName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::all_of(aName.begin(), aName.end(), [](char aByte) {
           return aByte > ' ' && aByte <= '~' && aByte != '/';
         });
}

std::int64_t
Milliseconds(auto aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

std::optional<Call>
DecodeOperatorCall(const api::HttpRequest& aRequest)
{
  const std::string_view target = aRequest.target;
  if (aRequest.listener != api::Listener::Control ||
      !target.starts_with(kDataCentresPath)) {
    return std::nullopt;
  }
  const std::string_view rest = target.substr(kDataCentresPath.size());
  if (rest.empty() && aRequest.method == "GET") {
    return ShowEvacuationsCall{};
  }
  const std::size_t slash = rest.rfind('/');
  if (!rest.starts_with('/') || slash == 0 || aRequest.method != "POST") {
    return MalformedCall{ "no call to data centres", !rest.empty() };
  }
  const std::string_view name = rest.substr(1, slash - 1);
  const std::string_view action = rest.substr(slash + 1);
  if (action != "empty" && action != "restore") {
    return MalformedCall{ "unknown action on a data centre", true };
  }
  auto by = DecodeCaller(aRequest.body);
  if (!by || !IsDataCentreName(name)) {
    return MalformedCall{ "the name or the caller cannot be read", true };
  }
  return EvacuateCall{ DataCentreId(std::string(name)),
                       action == "empty",
                       std::move(*by) };
}

std::string
EncodeEvacuations(std::span<const dispatch::EvacuationProgress> aEvacuations)
{
  Json list = Json::array();
  for (const dispatch::EvacuationProgress& progress : aEvacuations) {
    list.push_back(
      { { "data_centre", progress.dataCentre.value },
        { "by", progress.order.by },
        { "since_ms", Milliseconds(progress.order.since.time_since_epoch()) },
        { "upstreams", progress.upstreams },
        { "tasks", progress.tasks },
        { "long_running_tasks", progress.longRunning },
        { "expected_end_ms", Milliseconds(progress.expectedEnd) } });
  }
  return Json{ { "data_centres", std::move(list) } }.dump(
    -1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hyssoppaddle::node
