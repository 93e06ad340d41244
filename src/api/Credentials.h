// Who sent a request: parses the bearer token and checks it against the
// replicated keys.
#ifndef hyssoppaddle_api_Credentials_h
#define hyssoppaddle_api_Credentials_h

#include "api/ControlHandler.h"
#include "base/Id.h"
#include "base/Result.h"
#include "state/Commands.h"

#include <optional>
#include <string>
#include <string_view>

namespace hyssoppaddle::api {

// Parts of "hp_<role>_<key id>_<secret>". The key ID holds no underscore.
struct Token
{
  state::KeyRole role = state::KeyRole::Team;
  KeyId key;
  std::string secret;
};

std::string_view
ToString(state::KeyRole aRole);
std::optional<state::KeyRole>
ParseRole(std::string_view aText);

std::optional<Token>
ParseToken(std::string_view aText);
// The token of an `Authorization: Bearer ...` value.
std::optional<Token>
ParseBearer(std::string_view aAuthorization);
std::string
FormatToken(const Token& aToken);

// Key ID of the operator token in the settings, usable until an operator key
// has been granted.
inline constexpr std::string_view kBootstrapKey = "bootstrap";

struct Principal
{
  KeyId key;
  state::KeyRole role = state::KeyRole::Team;
  std::string subject; // team or member
};

class Credentials
{
public:
  // aBootstrapToken is empty when the settings name none.
  Credentials(const CorePort& aPort, std::string_view aBootstrapToken);

  // The principal of a request. Unauthorized without a valid key; Unavailable
  // when this instance cannot know of withdrawals (upstreams are exempt: what
  // they announce is needed while this instance is cut off).
  [[nodiscard]] Result<Principal> Identify(const HttpRequest& aRequest) const;

private:
  const CorePort& port;
  std::optional<Token> bootstrap;
  std::string bootstrapDigest;

  [[nodiscard]] bool IsBootstrap(const Token& aToken) const;
};

} // namespace hyssoppaddle::api

#endif
