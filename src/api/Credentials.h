// Authentication of API requests: parses the bearer token and checks it against
// the replicated keys.
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
inline constexpr std::string_view kBootstrapKeyId = "bootstrap";

struct Principal
{
  KeyId key;
  state::KeyRole role = state::KeyRole::Team;
  std::string subject; // team or member
};

class Credentials
{
public:
  // aBootstrapToken is empty if the settings contain none.
  Credentials(const CorePort& aPort, std::string_view aBootstrapToken);

  // Returns the principal of a request. Unauthorized without a valid key;
  // Unavailable when the state of this instance is too old to exclude that the
  // key has been withdrawn. Upstreams are exempt from that, because their
  // announcements are needed while this instance is partitioned.
  [[nodiscard]] Result<Principal> Identify(const HttpRequest& aRequest) const;

private:
  const CorePort& port;
  std::optional<Token> bootstrapToken;
  std::string bootstrapDigest;

  [[nodiscard]] bool IsBootstrapToken(const Token& aToken) const;
};

} // namespace hyssoppaddle::api

#endif
