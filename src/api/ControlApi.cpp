// Route table, authentication, and the submit and read steps shared by all
// handlers.
#include "api/ControlApi.h"

#include "api/Reply.h"
#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace hyssoppaddle::api {

namespace {

constexpr std::uint32_t
Bit(state::KeyRole aRole)
{
  return 1U << static_cast<std::uint32_t>(aRole);
}

constexpr std::uint32_t kOperator = Bit(state::KeyRole::Operator);
constexpr std::uint32_t kMember = Bit(state::KeyRole::Member);
constexpr std::uint32_t kUpstream = Bit(state::KeyRole::Upstream);
constexpr std::uint32_t kTeam = Bit(state::KeyRole::Team);
constexpr std::uint32_t kReaders = kOperator | kMember;

constexpr std::size_t kMaxRequestIdBytes = 256;

// Returns the values of the {} segments if the path matches the pattern.
std::optional<std::vector<std::string>>
MatchPattern(std::string_view aPattern, std::string_view aPath)
{
  std::vector<std::string> pathArguments;
  while (true) {
    const std::size_t patternEnd = aPattern.find('/');
    const std::size_t pathEnd = aPath.find('/');
    const std::string_view expected = aPattern.substr(0, patternEnd);
    const std::string_view actual = aPath.substr(0, pathEnd);
    if (expected == "{}" && !actual.empty()) {
      pathArguments.emplace_back(actual);
    } else if (expected != actual) {
      return std::nullopt;
    }
    const bool patternDone = patternEnd == std::string_view::npos;
    const bool pathDone = pathEnd == std::string_view::npos;
    if (patternDone || pathDone) {
      return patternDone && pathDone ? std::optional(pathArguments)
                                     : std::nullopt;
    }
    aPattern.remove_prefix(patternEnd + 1);
    aPath.remove_prefix(pathEnd + 1);
  }
}

} // namespace

const std::vector<ControlApi::Route>&
ControlApi::Routes()
{
  using Api = ControlApi;
  static const std::vector<Route> kRoutes{
    { "GET", "/v1/bundles", kReaders, false, &Api::ListBundles },
    { "POST", "/v1/bundles", kOperator, false, &Api::ProposeBundle },
    { "GET", "/v1/bundles/{}", kReaders, false, &Api::ShowBundle },
    { "POST", "/v1/bundles/{}/approvals", kMember, false, &Api::ApproveBundle },
    { "GET", "/v1/members", kReaders, false, &Api::ListMembers },
    { "POST", "/v1/members", kOperator, false, &Api::ProposeMember },
    { "POST", "/v1/members/{}/approvals", kMember, false, &Api::ApproveMember },
    { "DELETE",
      "/v1/members/{}/approvals",
      kMember,
      false,
      &Api::WithdrawApproval },
    { "DELETE", "/v1/members/{}", kMember, false, &Api::LeaveMember },
    { "GET", "/v1/keys", kReaders, false, &Api::ListKeys },
    { "POST", "/v1/keys", kReaders, false, &Api::GrantKey },
    { "DELETE", "/v1/keys/{}", kReaders, false, &Api::WithdrawKey },
    { "POST", "/v1/jobs", kTeam, true, &Api::SubmitJob },
    { "GET", "/v1/jobs/{}", kTeam | kOperator, true, &Api::ShowJob },
    { "DELETE", "/v1/jobs/{}", kTeam, true, &Api::CancelJob },
    { "POST", "/v1/jobs/cancellations", kTeam, true, &Api::CancelJobs },
    { "GET", "/v1/instances", kReaders, false, &Api::ListInstances },
    { "POST", "/v1/instances/{}/drain", kOperator, false, &Api::DrainInstance },
    { "POST",
      "/v1/instances/{}/return",
      kOperator,
      false,
      &Api::ReturnInstance },
    { "POST", "/v1/instances/{}/move", kOperator, false, &Api::MoveInstance },
    { "POST", "/v1/announcements", kUpstream, false, &Api::Announce },
    { "GET", "/v1/status", kReaders, false, &Api::ShowStatus },
    { "GET", "/v1/explain", kReaders, false, &Api::Explain },
    { "POST", "/v1/replicas", kOperator, false, &Api::ChangeReplicas },
  };
  return kRoutes;
}

ControlApi::ControlApi(CorePort& aPort, std::string_view aBootstrapToken)
  : port(aPort)
  , credentials(aPort, aBootstrapToken)
{
}

void
ControlApi::Handle(HttpRequest aRequest, ReplyCallback aReply)
{
  const std::size_t queryStart = aRequest.target.find('?');
  const std::string path = aRequest.target.substr(0, queryStart);
  Exchange exchange;
  if (queryStart != std::string::npos) {
    exchange.query = aRequest.target.substr(queryStart + 1);
  }
  const bool isCallersListener = aRequest.listener == Listener::Callers;
  bool pathKnown = false;
  for (const Route& route : ControlApi::Routes()) {
    auto pathArguments = MatchPattern(route.pattern, path);
    if (!pathArguments || (isCallersListener && !route.servedToCallers)) {
      continue;
    }
    pathKnown = true;
    if (route.method == aRequest.method) {
      exchange.pathArguments = std::move(*pathArguments);
      exchange.request = std::move(aRequest);
      exchange.reply = std::move(aReply);
      this->Dispatch(route, std::move(exchange));
      return;
    }
  }
  aReply(pathKnown ? ProblemReply(
                       405, "method_not_allowed", "the path has no such method")
                   : ProblemReply(404, "not_found", "no such path"));
}

void
ControlApi::Dispatch(const Route& aRoute, Exchange aExchange)
{
  Result<Principal> principal = this->credentials.Identify(aExchange.request);
  if (!principal) {
    const Error& error = principal.error();
    const bool isStale = error.code == ErrorCode::Unavailable;
    aExchange.reply(
      ProblemReply(isStale ? 503 : 401, ToString(error.code), error.message));
    return;
  }
  if ((aRoute.roles & Bit(principal->role)) == 0) {
    aExchange.reply(ProblemReply(403,
                                 "forbidden",
                                 "a key of role " +
                                   std::string(ToString(principal->role)) +
                                   " cannot do this"));
    return;
  }
  const std::string_view idempotencyKey =
    aExchange.request.Header("Idempotency-Key");
  if (idempotencyKey.size() > kMaxRequestIdBytes) {
    aExchange.reply(
      ProblemReply(422, "invalid", "Idempotency-Key is longer than 256 bytes"));
    return;
  }
  if (!idempotencyKey.empty()) {
    aExchange.requestId =
      principal->key.value + "/" + std::string(idempotencyKey);
  }
  aExchange.principal = std::move(*principal);
  (this->*aRoute.handler)(std::move(aExchange));
}

void
ControlApi::Submit(Exchange aExchange,
                   state::CommandBody aBody,
                   std::uint32_t aStatus,
                   nlohmann::json aSuccess)
{
  state::Command command;
  command.requestId = std::move(aExchange.requestId);
  command.actor = aExchange.principal.key.value;
  command.body = std::move(aBody);
  this->port.SubmitCommand(
    std::move(command),
    [reply = std::move(aExchange.reply),
     aStatus,
     success = std::move(aSuccess)](const core::CommandDecided& aDecided) {
      reply(CommandReply(aDecided, aStatus, success));
    });
}

void
ControlApi::Read(Exchange aExchange,
                 nlohmann::json (ControlApi::*aReader)(const Exchange&) const)
{
  auto shared = std::make_shared<Exchange>(std::move(aExchange));
  this->port.Read([this, shared, aReader](bool aReady) {
    if (!aReady) {
      shared->reply(ProblemReply(
        503, "no_leader", "no leader of the log confirmed the read"));
      return;
    }
    shared->reply(JsonReply(200, (this->*aReader)(*shared)));
  });
}

} // namespace hyssoppaddle::api
