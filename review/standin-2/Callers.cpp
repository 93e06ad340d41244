// Calls of the operator and of the clients.
#include "Callers.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char* kHost = "pule25.example";
constexpr const char* kApiKey = "sjnbanfqasnmgkcuyj8p";
constexpr int kOperatorLimitMs = 1000;

void
Sleep(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

} // namespace

std::string
Configuration(std::uint64_t aVersion, const std::vector<Route>& aRoutes)
{
  Json routes = Json::array();
  Json services = Json::array();
  for (const Route& route : aRoutes) {
    routes.push_back(
      { { "name", route.name },
        { "host", kHost },
        { "path_prefix",
          "/" + (route.prefix.empty() ? route.name : route.prefix) + "/" },
        { "kind", "non_idempotent" },
        { "timeout_ms", 3000 },
        { "target_completion_ms", route.targetMs },
        { "priority", route.priority },
        { "service", route.service },
        { "max_attempts", route.maxAttempts },
        { "stretch", route.stretch },
        { "allow_anonymous", false } });
  }
  for (const char* name : { "huvo11a", "kafi81c" }) {
    services.push_back({ { "name", name },
                         { "health_path", "/healthz" },
                         { "max_connections", 64 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "enforces_capacity", true },
                         { "standby", false } });
  }
  return Json{
    { "version", aVersion },
    { "routes", routes },
    { "services", services },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 262144 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } },
    { "tenants",
      { { { "name", "cugo130" },
          { "api_keys", { kApiKey } },
          { "priority", 1 },
          { "weight", 37 },
          { "max_count", { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } } } } } }
  }.dump();
}

Reply
Operator::Follow(std::size_t aNode, const Request& aRequest) const
{
  Request request = aRequest;
  std::string address = this->fleet.Control(aNode);
  Reply reply = Send(address, request, kOperatorLimitMs);
  for (int i = 0; i < 2 && reply.status == 307; ++i) {
    constexpr std::string_view kScheme = "http://";
    const auto slash = reply.location.find('/', kScheme.size());
    address = reply.location.substr(kScheme.size(), slash - kScheme.size());
    request.target = reply.location.substr(slash);
    reply = Send(address, request, kOperatorLimitMs);
  }
  return reply;
}

int
Operator::Put(std::uint64_t aVersion,
              const std::vector<Route>& aRoutes,
              int aLimitMs)
{
  const std::int64_t until = SteadyMs() + aLimitMs;
  const Request request{
    "PUT", "/config", {}, Configuration(aVersion, aRoutes)
  };
  std::string names;
  for (const Route& route : aRoutes) {
    names += " " + route.name;
  }
  this->record.Add("operator sends version " + std::to_string(aVersion) +
                   ", routes:" + names);
  while (SteadyMs() < until) {
    const std::size_t node = this->next % this->fleet.Size();
    const int status = this->Follow(node, request).status;
    if (status != 0 && status < 500 && status != 408 && status != 429 &&
        status != 307) {
      this->record.Add("version " + std::to_string(aVersion) + ": " +
                       std::to_string(status) + " by node " +
                       std::to_string(node + 1));
      return status;
    }
    ++this->next;
    Sleep(20);
  }
  return 0;
}

std::size_t
Operator::Leader() const
{
  const Request request{ "GET", "/config", {}, {} };
  for (std::size_t i = 0; i < this->fleet.Size(); ++i) {
    if (Send(this->fleet.Control(i), request, kOperatorLimitMs).status == 200) {
      return i;
    }
  }
  return 0;
}

std::optional<std::uint64_t>
Operator::Read(std::size_t aNode)
{
  const Reply reply = this->Follow(aNode, { "GET", "/config", {}, {} });
  const Json json = Json::parse(reply.body, nullptr, false);
  if (reply.status != 200 || !json.is_object()) {
    return std::nullopt;
  }
  return json.value("version", std::uint64_t{ 0 });
}

Reply
Client::Call(std::size_t aNode,
             const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody,
             int aLimitMs) const
{
  return Send(this->fleet.Front(aNode),
              { aMethod,
                aPath,
                { { "host", kHost },
                  { "x-api-key", kApiKey },
                  { "x-deadline-ms", std::to_string(kClientLimitMs) } },
                aBody },
              aLimitMs);
}

int
Client::Submit(const std::string& aRoute,
               const std::string& aId,
               const std::string& aBody)
{
  constexpr int kTries = 5;
  int status = 0;
  for (int i = 0; i < kTries; ++i) {
    const std::size_t node = this->next++ % this->fleet.Size();
    status = this->Call(node, "POST", "/" + aRoute + "/" + aId, aBody).status;
    this->record.Add("client hands in " + aId + " at node " +
                     std::to_string(node + 1) + ": " + std::to_string(status));
    if (status / 100 == 2 || status == 404 || status == 401) {
      break;
    }
    Sleep(300);
  }
  return status;
}

int
Client::SubmitOnce(const std::string& aRoute,
                   const std::string& aId,
                   const std::string& aBody,
                   std::size_t aNode,
                   int aLeavesAfterMs)
{
  const int status =
    this->Call(aNode, "POST", "/" + aRoute + "/" + aId, aBody, aLeavesAfterMs)
      .status;
  this->record.Add(
    "client hands in " + aId + " at node " + std::to_string(aNode + 1) + ": " +
    (status == 0 ? "leaves without an answer" : std::to_string(status)));
  return status;
}

int
Client::Cancel(const std::string& aRoute,
               const std::string& aId,
               std::size_t aNode)
{
  const int status =
    this->Call(aNode, "DELETE", "/" + aRoute + "/" + aId, {}).status;
  this->record.Add("client cancels " + aId + " at node " +
                   std::to_string(aNode + 1) + ": " + std::to_string(status));
  return status;
}

std::string
Client::StateOf(const std::string& aRoute, const std::string& aId)
{
  const std::size_t node = this->next++ % this->fleet.Size();
  const Reply reply = this->Call(node, "GET", "/" + aRoute + "/" + aId, {});
  const Json json = Json::parse(reply.body, nullptr, false);
  const std::string state = reply.status == 200 && json.is_object()
                              ? json.value("state", "?")
                              : std::to_string(reply.status);
  this->record.Add("client asks for " + aId + " at node " +
                   std::to_string(node + 1) + ": " + state);
  return state;
}

} // namespace review
