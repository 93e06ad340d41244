// API keys: grant, withdrawal, list. Secrets are never stored or logged; only
// their keyed digest is recorded.
#include "api/ControlApi.h"
#include "api/ObjectReader.h"
#include "api/Reply.h"
#include "base/WallTimeText.h"
#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace hyssoppaddle::api {

namespace {

constexpr std::size_t kKeyIdBytes = 8;
constexpr std::size_t kSecretBytes = 24;
constexpr std::size_t kMinSecretLength = 32;
constexpr std::int64_t kMaxOverlapMs = 24LL * 3600 * 1000;

bool
IsKeyId(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 || aLetter == '-';
  });
}

bool
HasActiveMemberKey(const state::FleetState& aState, std::string_view aMember)
{
  for (const auto& [key, record] : aState.Keys()) {
    if (record.role == state::KeyRole::Member && record.subject == aMember &&
        !record.withdrawnAt) {
      return true;
    }
  }
  return false;
}

// Fields of the body of a grant request.
struct GrantFields
{
  std::optional<state::KeyRole> role;
  std::string subject;
  std::string key;
  std::string secret;
};

GrantFields
ReadGrant(const nlohmann::json& aBody, Findings& aFindings)
{
  ObjectReader reader(aBody, aFindings);
  GrantFields fields;
  fields.role = ParseRole(reader.Text("role"));
  fields.subject = reader.OptionalText("subject");
  fields.key = reader.OptionalText("key");
  fields.secret = reader.OptionalText("secret");
  if (!fields.role) {
    reader.Report("role", "must be operator, member, upstream or team");
  }
  if (!IsKeyId(fields.key)) {
    reader.Report("key", "may hold letters, digits and hyphens only");
  }
  if (!fields.secret.empty() && fields.secret.size() < kMinSecretLength) {
    reader.Report("secret", "must have at least 32 characters");
  }
  const bool needsSubject = fields.role == state::KeyRole::Member ||
                            fields.role == state::KeyRole::Team;
  if (needsSubject == fields.subject.empty()) {
    reader.Report("subject", "is for team and member keys, which need it");
  }
  reader.RejectUnknown();
  return fields;
}

} // namespace

Result<void>
ControlApi::MayManageKeys(const Principal& aPrincipal,
                          state::KeyRole aRole,
                          std::string_view aSubject) const
{
  if (aPrincipal.role == state::KeyRole::Member) {
    if (aRole == state::KeyRole::Member && aSubject == aPrincipal.subject) {
      return {};
    }
    return Fail(ErrorCode::Forbidden, "a member manages its own keys only");
  }
  // An operator who could add a key to a member that already has one could
  // approve on behalf of that member.
  if (aRole == state::KeyRole::Member &&
      HasActiveMemberKey(this->port.Core().State(), aSubject)) {
    return Fail(ErrorCode::Forbidden,
                "the member has a key and manages its keys itself");
  }
  return {};
}

void
ControlApi::GrantKey(Exchange aExchange)
{
  Findings findings;
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  GrantFields fields = ReadGrant(body, findings);
  if (!aExchange.requestId.empty() && fields.secret.empty()) {
    findings.push_back({ "/secret",
                         0,
                         0,
                         "is required with Idempotency-Key: a resend must "
                         "name the same secret" });
  }
  if (!findings.empty()) {
    aExchange.reply(FindingsReply(findings));
    return;
  }
  const Result<void> allowed =
    this->MayManageKeys(aExchange.principal, *fields.role, fields.subject);
  if (!allowed) {
    aExchange.reply(ProblemReply(403, "forbidden", allowed.error().message));
    return;
  }
  Token token;
  token.role = *fields.role;
  token.key =
    KeyId(fields.key.empty() ? this->port.RandomHex(kKeyIdBytes) : fields.key);
  token.secret =
    fields.secret.empty() ? this->port.RandomHex(kSecretBytes) : fields.secret;
  state::GrantKey command;
  command.key = token.key;
  command.role = token.role;
  command.subject = fields.subject;
  command.digest = this->port.KeyDigest(token.secret);
  nlohmann::json success{ { "key", token.key.value },
                          { "role", ToString(token.role) },
                          { "subject", fields.subject } };
  if (fields.secret.empty()) {
    success["token"] = FormatToken(token);
  }
  this->Submit(
    std::move(aExchange), std::move(command), 201, std::move(success));
}

void
ControlApi::WithdrawKey(Exchange aExchange)
{
  const KeyId key(aExchange.pathArguments.at(0));
  const auto& keys = this->port.Core().State().Keys();
  const auto found = keys.find(key);
  if (found == keys.end()) {
    aExchange.reply(ProblemReply(404, "not_found", "no such key"));
    return;
  }
  const state::KeyRecord& record = found->second;
  const bool isOwn = aExchange.principal.role == state::KeyRole::Member &&
                     record.role == state::KeyRole::Member &&
                     record.subject == aExchange.principal.subject;
  if (aExchange.principal.role != state::KeyRole::Operator && !isOwn) {
    aExchange.reply(
      ProblemReply(403, "forbidden", "a member withdraws its own keys only"));
    return;
  }
  Findings findings;
  const std::string text =
    aExchange.request.body.empty() ? "{}" : aExchange.request.body;
  const auto body = nlohmann::json::parse(text, nullptr, false);
  ObjectReader reader(body, findings);
  const std::int64_t overlapMs =
    reader.OptionalNumber("overlap_ms", 0, kMaxOverlapMs, 0);
  reader.RejectUnknown();
  if (!findings.empty()) {
    aExchange.reply(FindingsReply(findings));
    return;
  }
  state::WithdrawKey command{ key, std::chrono::milliseconds(overlapMs) };
  this->Submit(
    std::move(aExchange), std::move(command), 200, { { "key", key.value } });
}

void
ControlApi::ListKeys(Exchange aExchange)
{
  this->Read(std::move(aExchange), &ControlApi::KeyList);
}

nlohmann::json
ControlApi::KeyList(const Exchange& /*aExchange*/) const
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, record] : this->port.Core().State().Keys()) {
    nlohmann::json entry{ { "key", key.value },
                          { "role", ToString(record.role) },
                          { "subject", record.subject },
                          { "granted_at", FormatWallTime(record.grantedAt) } };
    if (record.withdrawnAt) {
      entry["withdrawn_at"] = FormatWallTime(*record.withdrawnAt);
    }
    list.push_back(std::move(entry));
  }
  return { { "keys", list } };
}

} // namespace hyssoppaddle::api
