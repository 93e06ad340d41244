// Token parsing and constant-time comparison of keyed digests.
#include "api/Credentials.h"

#include "core/Reducer.h"
#include "shell/HttpText.h"
#include "state/FleetState.h"

#include <sodium.h>

#include <array>
#include <utility>

namespace hyssoppaddle::api {

namespace {

struct RoleName
{
  state::KeyRole role;
  std::string_view name;
};

constexpr std::array<RoleName, 4> kRoleNames{ {
  { state::KeyRole::Operator, "operator" },
  { state::KeyRole::Member, "member" },
  { state::KeyRole::Upstream, "upstream" },
  { state::KeyRole::Team, "team" },
} };

constexpr std::string_view kTokenPrefix = "hp_";
constexpr std::string_view kBearerScheme = "Bearer ";

bool
EqualDigests(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() && !aLeft.empty() &&
         sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool
HasOperatorKey(const state::FleetState& aState)
{
  for (const auto& [key, record] : aState.Keys()) {
    if (record.role == state::KeyRole::Operator && !record.withdrawnAt) {
      return true;
    }
  }
  return false;
}

} // namespace

std::string_view
ToString(state::KeyRole aRole)
{
  for (const RoleName& entry : kRoleNames) {
    if (entry.role == aRole) {
      return entry.name;
    }
  }
  return "unknown";
}

std::optional<state::KeyRole>
ParseRole(std::string_view aText)
{
  for (const RoleName& entry : kRoleNames) {
    if (entry.name == aText) {
      return entry.role;
    }
  }
  return std::nullopt;
}

std::optional<Token>
ParseToken(std::string_view aText)
{
  if (!aText.starts_with(kTokenPrefix)) {
    return std::nullopt;
  }
  aText.remove_prefix(kTokenPrefix.size());
  const std::size_t roleEnd = aText.find('_');
  if (roleEnd == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<state::KeyRole> role =
    ParseRole(aText.substr(0, roleEnd));
  aText.remove_prefix(roleEnd + 1);
  const std::size_t keyEnd = aText.find('_');
  if (!role || keyEnd == std::string_view::npos || keyEnd == 0 ||
      keyEnd + 1 == aText.size()) {
    return std::nullopt;
  }
  return Token{ *role,
                KeyId(std::string(aText.substr(0, keyEnd))),
                std::string(aText.substr(keyEnd + 1)) };
}

std::optional<Token>
ParseBearer(std::string_view aAuthorization)
{
  if (!shell::EqualIgnoringCase(aAuthorization.substr(0, kBearerScheme.size()),
                                kBearerScheme)) {
    return std::nullopt;
  }
  return ParseToken(shell::Trim(aAuthorization.substr(kBearerScheme.size())));
}

std::string
FormatToken(const Token& aToken)
{
  std::string text(kTokenPrefix);
  text += ToString(aToken.role);
  return text + "_" + aToken.key.value + "_" + aToken.secret;
}

Credentials::Credentials(const CorePort& aPort,
                         std::string_view aBootstrapToken)
  : port(aPort)
  , bootstrapToken(ParseToken(aBootstrapToken))
{
  if (this->bootstrapToken) {
    this->bootstrapDigest = this->port.KeyDigest(this->bootstrapToken->secret);
  }
}

Result<Principal>
Credentials::Identify(const HttpRequest& aRequest) const
{
  const std::string_view header = aRequest.Header("Authorization");
  if (header.empty()) {
    return Fail(ErrorCode::Unauthorized,
                "the header Authorization: Bearer <key> is missing");
  }
  const std::optional<Token> token = ParseBearer(header);
  if (!token) {
    return Fail(ErrorCode::Unauthorized, "the key is not valid");
  }
  if (this->IsBootstrapToken(*token)) {
    return Principal{ token->key, state::KeyRole::Operator, {} };
  }
  const core::Reducer& core = this->port.Core();
  const auto found = core.State().Keys().find(token->key);
  // The digest is computed for an unknown key too, so that the response time
  // does not reveal whether a key exists.
  const std::string digest = this->port.KeyDigest(token->secret);
  const bool isKnown = found != core.State().Keys().end() &&
                       found->second.role == token->role &&
                       EqualDigests(found->second.digest, digest);
  const bool isWithdrawn = isKnown && found->second.withdrawnAt &&
                           this->port.WallNow() >= *found->second.withdrawnAt;
  if (!isKnown || isWithdrawn) {
    return Fail(ErrorCode::Unauthorized, "the key is not valid");
  }
  if (token->role != state::KeyRole::Upstream &&
      !core.Requests().IsViewFresh(this->port.Now())) {
    return Fail(ErrorCode::Unavailable,
                "this instance cannot confirm that the key is still valid");
  }
  return Principal{ token->key, token->role, found->second.subject };
}

bool
Credentials::IsBootstrapToken(const Token& aToken) const
{
  if (!this->bootstrapToken || aToken.role != state::KeyRole::Operator ||
      aToken.key != this->bootstrapToken->key) {
    return false;
  }
  return EqualDigests(this->bootstrapDigest,
                      this->port.KeyDigest(aToken.secret)) &&
         !HasOperatorKey(this->port.Core().State());
}

} // namespace hyssoppaddle::api
