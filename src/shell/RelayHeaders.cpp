// Translates header fields between caller and upstream.
#include "shell/RelayHeaders.h"

#include "api/Credentials.h"
#include "shell/ClusterSecret.h"
#include "shell/HttpText.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>

namespace hyssoppaddle::shell {

namespace {

constexpr std::string_view kRelayPrefix = "/services/";
constexpr std::string_view kViaElement = "1.1 hyssoppaddle";
constexpr std::string_view kDeadlineField = "Hyssoppaddle-Deadline-Ms";
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
constexpr std::int64_t kMicrosecondsPerSecond = 1000000;
// Larger values are clamped, so that the value in microseconds cannot overflow.
constexpr std::int64_t kMaxMilliseconds = 1'000'000'000'000'000;

std::string_view
ToStringView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

tl::unexpected<ProblemDetail>
Reject(std::uint32_t aStatus, std::string_view aCode, std::string aDetail)
{
  return tl::unexpected<ProblemDetail>(
    ProblemDetail{ aStatus, aCode, true, std::move(aDetail), {} });
}

tl::unexpected<ProblemDetail>
BadRequest(std::string aDetail)
{
  return Reject(400, "bad_request", std::move(aDetail));
}

std::optional<std::int64_t>
ParseMilliseconds(std::string_view aText)
{
  std::int64_t value = 0;
  const auto [end, problem] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (problem != std::errc() || end != aText.data() + aText.size() ||
      value <= 0) {
    return std::nullopt;
  }
  return std::min(value, kMaxMilliseconds);
}

// Parses an IMF-fixdate, for example "Sun, 06 Nov 1994 08:49:37 GMT".
std::optional<WallTime>
ParseHttpDate(const std::string& aText)
{
  std::tm parts{};
  const char* end =
    strptime(aText.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  if (end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  return WallTime(Duration(timegm(&parts) * kMicrosecondsPerSecond));
}

using Head = RequestParser::value_type;

tl::expected<void, ProblemDetail>
ReadTarget(const Head& aRequest, RelayHead& aHead)
{
  std::string_view rest =
    ToStringView(aRequest.target()).substr(kRelayPrefix.size());
  const auto end = rest.find_first_of("/?");
  const std::string_view service = rest.substr(0, end);
  if (service.empty()) {
    return Reject(404, "unknown_service", "the path names no service");
  }
  aHead.arrived.service = ServiceId(std::string(service));
  rest.remove_prefix(service.size());
  aHead.target = rest.substr(0, 1) == "/" ? "" : "/";
  aHead.target += rest;
  return {};
}

tl::expected<void, ProblemDetail>
ReadKey(const Head& aRequest,
        const KeyDigestFunction& aKeyDigest,
        RelayHead& aHead)
{
  if (aRequest.count(http::field::authorization) == 0) {
    return {};
  }
  const auto token =
    api::ParseBearer(ToStringView(aRequest[http::field::authorization]));
  if (!token) {
    return Reject(401, "unknown_key", "the bearer token has an unknown form");
  }
  if (token->role != state::KeyRole::Team) {
    return Reject(403, "wrong_team", "requests need the key of a team");
  }
  aHead.arrived.key = token->key;
  aHead.arrived.keyDigest = aKeyDigest(token->secret);
  return {};
}

tl::expected<void, ProblemDetail>
ReadTimes(const Head& aRequest, RelayHead& aHead)
{
  if (const auto text = ToStringView(aRequest["Hyssoppaddle-Deadline-Ms"]);
      !text.empty()) {
    const auto deadline = ParseMilliseconds(text);
    if (!deadline) {
      return BadRequest("Hyssoppaddle-Deadline-Ms must be a positive number");
    }
    aHead.arrived.deadline = Duration(*deadline * kMicrosecondsPerMillisecond);
  }
  if (const auto text = ToStringView(aRequest["Hyssoppaddle-Created-At"]);
      !text.empty()) {
    const auto created = ParseMilliseconds(text);
    if (!created) {
      return BadRequest("Hyssoppaddle-Created-At must be a positive number of "
                        "milliseconds since the Unix epoch");
    }
    aHead.arrived.createdAt =
      WallTime(Duration(*created * kMicrosecondsPerMillisecond));
  } else if (aRequest.count(http::field::date) > 0) {
    aHead.arrived.createdAt =
      ParseHttpDate(std::string(ToStringView(aRequest[http::field::date])));
  }
  return {};
}

bool
IsIdempotent(const Head& aRequest)
{
  if (EqualIgnoringCase(ToStringView(aRequest["Hyssoppaddle-Idempotent"]),
                        "true")) {
    return true;
  }
  const auto method = aRequest.method();
  return method != http::verb::post && method != http::verb::patch &&
         method != http::verb::unknown;
}

tl::expected<void, ProblemDetail>
ReadIdentity(const RequestParser& aParser, RelayHead& aHead)
{
  const Head& request = aParser.get();
  aHead.arrived.idempotent = IsIdempotent(request);
  const auto key = ToStringView(request["Idempotency-Key"]);
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return BadRequest("Idempotency-Key is longer than 255 bytes");
  }
  aHead.arrived.idempotencyKey = std::string(key);
  if (!key.empty()) {
    const auto length = aParser.content_length();
    aHead.arrived.requestDigest = PlainDigest(
      aHead.arrived.service.value + "\n" +
      std::string(ToStringView(request.method_string())) + "\n" + aHead.target +
      "\n" + (length ? std::to_string(*length) : "chunked"));
  }
  return {};
}

template<typename Fields>
bool
HasSupportedCoding(const Fields& aFields)
{
  const auto count = aFields.count(http::field::transfer_encoding);
  return count == 0 ||
         (count == 1 &&
          EqualIgnoringCase(
            ToStringView(aFields[http::field::transfer_encoding]), "chunked"));
}

tl::expected<void, ProblemDetail>
CheckRequest(const Head& aRequest)
{
  const auto method = aRequest.method();
  if (method == http::verb::connect || method == http::verb::trace) {
    return Reject(405, "method_not_allowed", "this method is not relayed");
  }
  if (!HasSupportedCoding(aRequest)) {
    return Reject(
      501, "not_implemented", "only the chunked coding is supported");
  }
  if (aRequest.count(http::field::host) != 1) {
    return BadRequest("exactly one Host field is needed");
  }
  return {};
}

constexpr std::array<std::string_view, 8> kHopByHopFields{
  "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
  "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade",
};
// Fields that the relay replaces or handles itself.
constexpr std::array<std::string_view, 5> kReplacedFields{
  "Authorization", "Expect", "Via", "X-Forwarded-For", kDeadlineField,
};

template<std::size_t N>
bool
Contains(const std::array<std::string_view, N>& aNames, std::string_view aName)
{
  return std::any_of(aNames.begin(), aNames.end(), [&](auto aOther) {
    return EqualIgnoringCase(aOther, aName);
  });
}

// True if the list of Connection options contains aName.
bool
IsListed(std::string_view aConnection, std::string_view aName)
{
  while (!aConnection.empty()) {
    const auto comma = aConnection.find(',');
    if (EqualIgnoringCase(Trim(aConnection.substr(0, comma)), aName)) {
      return true;
    }
    aConnection.remove_prefix(
      comma == std::string_view::npos ? aConnection.size() : comma + 1);
  }
  return false;
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText += aName;
  aText += ": ";
  aText += aValue;
  aText += "\r\n";
}

// Returns the values of all Connection fields as one comma-separated list.
template<typename Fields>
std::string
ConnectionOptions(const Fields& aFields)
{
  std::string options;
  const auto [first, last] = aFields.equal_range(http::field::connection);
  for (auto field = first; field != last; ++field) {
    options += ToStringView(field->value());
    options += ',';
  }
  return options;
}

template<typename Fields, typename Skip>
void
AppendFields(std::string& aText, const Fields& aFields, Skip aSkip)
{
  const std::string connection = ConnectionOptions(aFields);
  for (const auto& field : aFields) {
    const std::string_view name = ToStringView(field.name_string());
    if (!Contains(kHopByHopFields, name) && !IsListed(connection, name) &&
        !aSkip(name)) {
      AppendField(aText, name, ToStringView(field.value()));
    }
  }
}

std::string
JoinList(std::string_view aBefore, std::string_view aAdded)
{
  return aBefore.empty() ? std::string(aAdded)
                         : std::string(aBefore) + ", " + std::string(aAdded);
}

std::string_view
WithoutPort(std::string_view aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

} // namespace

bool
IsRelayTarget(std::string_view aTarget)
{
  return aTarget.substr(0, kRelayPrefix.size()) == kRelayPrefix;
}

tl::expected<RelayHead, ProblemDetail>
ReadRelayHead(const RequestParser& aParser,
              std::uint32_t aReplayBytes,
              const KeyDigestFunction& aKeyDigest)
{
  RelayHead head;
  const Head& request = aParser.get();
  auto checked = CheckRequest(request);
  if (checked) {
    checked = ReadTarget(request, head);
  }
  if (checked) {
    checked = ReadKey(request, aKeyDigest, head);
  }
  if (checked) {
    checked = ReadTimes(request, head);
  }
  if (checked) {
    checked = ReadIdentity(aParser, head);
  }
  if (!checked) {
    return tl::unexpected<ProblemDetail>(std::move(checked.error()));
  }
  head.arrived.replayable =
    !aParser.chunked() && aParser.content_length().value_or(0) <= aReplayBytes;
  return head;
}

std::string
UpstreamHeader(const RequestParser& aParser,
               const RelayHead& aHead,
               std::string_view aRemoteAddress,
               Duration aTimeLeft)
{
  const Head& request = aParser.get();
  std::string text(ToStringView(request.method_string()));
  text += " " + aHead.target + " HTTP/1.1\r\n";
  AppendFields(text, request, [](std::string_view aName) {
    return Contains(kReplacedFields, aName);
  });
  if (aParser.chunked()) {
    AppendField(text, "Transfer-Encoding", "chunked");
  }
  AppendField(text,
              "Via",
              JoinList(ToStringView(request[http::field::via]), kViaElement));
  AppendField(text,
              "X-Forwarded-For",
              JoinList(ToStringView(request["X-Forwarded-For"]),
                       WithoutPort(aRemoteAddress)));
  const auto left = aTimeLeft.count() / kMicrosecondsPerMillisecond;
  AppendField(
    text, kDeadlineField, std::to_string(std::max<std::int64_t>(1, left)));
  return text += "\r\n";
}

bool
HasSelfDefinedLength(const AnswerParser& aParser)
{
  return HasSupportedCoding(aParser.get()) &&
         (aParser.is_done() || aParser.chunked() ||
          aParser.content_length().has_value());
}

std::string
CallerHeader(const AnswerParser& aParser, bool aKeepAlive)
{
  const auto& answer = aParser.get();
  std::string text = "HTTP/1.1 " + std::to_string(answer.result_int()) + " ";
  text += ToStringView(answer.reason());
  text += "\r\n";
  AppendFields(text, answer, [](std::string_view aName) {
    return EqualIgnoringCase(aName, "Via");
  });
  AppendField(
    text, "Via", JoinList(ToStringView(answer[http::field::via]), kViaElement));
  if (aParser.chunked()) {
    AppendField(text, "Transfer-Encoding", "chunked");
  }
  if (!aKeepAlive) {
    AppendField(text, "Connection", "close");
  }
  return text += "\r\n";
}

} // namespace hyssoppaddle::shell
