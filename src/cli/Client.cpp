// Sends one request per connection, with a deadline, over TCP or TLS.
#include "cli/Client.h"

#include "cli/CommandLine.h"
#include "cli/Table.h"
#include "shell/Asio.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>
#include <vector>

namespace hyssoppaddle::cli {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds kRequestTimeout{ 15 };
constexpr int kMaxAttempts = 3;
constexpr std::size_t kIdempotencyKeyBytes = 12;
constexpr std::uint64_t kMaxAnswerBytes = 256ULL * 1024 * 1024;

std::string
FromEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? std::string() : std::string(value);
}

Result<std::string>
ReadTokenFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return Fail(ErrorCode::NotFound, "cannot read the token file " + aPath);
  }
  std::string token;
  file >> token;
  return token;
}

http::request<http::string_body>
MakeRequest(const ClientOptions& aOptions, const ClientCall& aCall)
{
  http::request<http::string_body> request;
  request.method_string(aCall.method);
  request.target(aCall.target);
  request.version(11);
  request.set(http::field::host, aOptions.server);
  request.set(http::field::user_agent, "hyssoppaddle");
  request.keep_alive(false);
  if (!aOptions.token.empty()) {
    request.set(http::field::authorization, "Bearer " + aOptions.token);
  }
  if (!aCall.idempotencyKey.empty()) {
    request.set("Idempotency-Key", aCall.idempotencyKey);
  }
  request.body() = aCall.body;
  request.prepare_payload();
  return request;
}

// Sends the request and reads the response on a connected stream. Asynchronous
// operations are used because only they honour the deadline of a Beast stream.
template<typename Stream>
boost::system::error_code
SendAndReceive(asio::io_context& aContext,
               Stream& aStream,
               const http::request<http::string_body>& aRequest,
               ClientReply& aReply)
{
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBytes);
  boost::system::error_code failure;
  http::async_write(
    aStream, aRequest, [&](boost::system::error_code aError, std::size_t) {
      if (aError) {
        failure = aError;
        return;
      }
      http::async_read(aStream,
                       buffer,
                       parser,
                       [&](boost::system::error_code aReadError, std::size_t) {
                         failure = aReadError;
                       });
    });
  aContext.restart();
  aContext.run();
  if (!failure) {
    aReply.status = parser.get().result_int();
    aReply.body = std::move(parser.get().body());
  }
  return failure;
}

boost::system::error_code
ConnectTo(asio::io_context& aContext,
          beast::tcp_stream& aStream,
          const Tcp::endpoint& aEndpoint)
{
  boost::system::error_code failure;
  aStream.expires_after(kRequestTimeout);
  aStream.async_connect(
    aEndpoint, [&](boost::system::error_code aError) { failure = aError; });
  aContext.restart();
  aContext.run();
  return failure;
}

boost::system::error_code
CallOverTcp(const Tcp::endpoint& aEndpoint,
            const http::request<http::string_body>& aRequest,
            ClientReply& aReply)
{
  asio::io_context context;
  beast::tcp_stream stream(context);
  if (const auto error = ConnectTo(context, stream, aEndpoint)) {
    return error;
  }
  return SendAndReceive(context, stream, aRequest, aReply);
}

boost::system::error_code
CallOverTls(const Tcp::endpoint& aEndpoint,
            const ClientOptions& aOptions,
            const http::request<http::string_body>& aRequest,
            ClientReply& aReply)
{
  asio::io_context context;
  asio::ssl::context tls(asio::ssl::context::tls_client);
  boost::system::error_code failure;
  tls.load_verify_file(aOptions.authorityFile, failure);
  if (failure) {
    return failure;
  }
  tls.set_verify_mode(asio::ssl::verify_peer);
  beast::ssl_stream<beast::tcp_stream> stream(context, tls);
  // Certificates of entry instances contain the numeric address, not a host
  // name.
  stream.set_verify_callback(
    asio::ssl::host_name_verification(aEndpoint.address().to_string()));
  failure = ConnectTo(context, stream.next_layer(), aEndpoint);
  if (failure) {
    return failure;
  }
  stream.async_handshake(
    asio::ssl::stream_base::client,
    [&](boost::system::error_code aError) { failure = aError; });
  context.restart();
  context.run();
  if (failure) {
    return failure;
  }
  return SendAndReceive(context, stream, aRequest, aReply);
}

Result<Tcp::endpoint>
ParseServer(const std::string& aServer)
{
  const std::size_t colon = aServer.rfind(':');
  boost::system::error_code error;
  if (colon != std::string::npos) {
    const auto address =
      asio::ip::make_address(aServer.substr(0, colon), error);
    const int port = std::atoi(aServer.c_str() + colon + 1);
    if (!error && port > 0 && port <= UINT16_MAX) {
      return Tcp::endpoint(address, static_cast<std::uint16_t>(port));
    }
  }
  return Fail(ErrorCode::InvalidArgument,
              "the server must be <IP number>:<port>, not '" + aServer + "'");
}

int
PrintReply(const CommandLine& aLine, const ClientReply& aReply)
{
  const bool isOk = aReply.status >= 200 && aReply.status < 300;
  if (aLine.Flag("json")) {
    std::cout << aReply.body;
    return isOk ? ExitCode::Done : ExitCode::Refused;
  }
  const auto body = nlohmann::json::parse(aReply.body, nullptr, false);
  std::ostream& stream = isOk ? std::cout : std::cerr;
  if (body.is_discarded()) {
    stream << aReply.body;
  } else {
    PrintDocument(stream, body);
  }
  return isOk ? ExitCode::Done : ExitCode::Refused;
}

} // namespace

void
AddClientOptions(CommandLine& aLine)
{
  aLine.AddText("server",
                "Control address of an entry instance, IP:PORT "
                "(default: $HYSSOPPADDLE_SERVER)");
  aLine.AddText("token-file",
                "File with the key to present (default: $HYSSOPPADDLE_TOKEN)");
  aLine.AddText("tls-authority", "PEM file; use TLS and trust this authority");
  aLine.AddText("idempotency-key", "Identifies retries of this request");
  aLine.AddFlag("json", "Print the answer as JSON");
}

Result<ClientOptions>
ReadClientOptions(const CommandLine& aLine)
{
  ClientOptions options;
  options.server = aLine.Text("server");
  if (options.server.empty()) {
    options.server = FromEnvironment("HYSSOPPADDLE_SERVER");
  }
  options.authorityFile = aLine.Text("tls-authority");
  const std::string tokenFile = aLine.Text("token-file");
  if (tokenFile.empty()) {
    options.token = FromEnvironment("HYSSOPPADDLE_TOKEN");
    return options;
  }
  Result<std::string> token = ReadTokenFile(tokenFile);
  if (!token) {
    return tl::unexpected(token.error());
  }
  options.token = std::move(*token);
  return options;
}

Result<ClientReply>
CallServer(const ClientOptions& aOptions, const ClientCall& aCall)
{
  const Result<Tcp::endpoint> endpoint = ParseServer(aOptions.server);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  const auto request = MakeRequest(aOptions, aCall);
  const bool isRetryable =
    aCall.method == "GET" || !aCall.idempotencyKey.empty();
  boost::system::error_code error;
  for (int attempt = 0; attempt < (isRetryable ? kMaxAttempts : 1); ++attempt) {
    ClientReply reply;
    error = aOptions.authorityFile.empty()
              ? CallOverTcp(*endpoint, request, reply)
              : CallOverTls(*endpoint, aOptions, request, reply);
    if (!error) {
      return reply;
    }
  }
  return Fail(ErrorCode::Unavailable,
              "no answer from " + aOptions.server + ": " + error.message());
}

std::string
RandomHexText(std::size_t aBytes)
{
  if (sodium_init() < 0) {
    std::abort();
  }
  std::vector<unsigned char> bytes(aBytes);
  randombytes_buf(bytes.data(), bytes.size());
  std::string text(aBytes * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

int
CallAndPrint(const CommandLine& aLine, ClientCall aCall)
{
  const Result<ClientOptions> options = ReadClientOptions(aLine);
  if (!options) {
    std::cerr << "hyssoppaddle: " << options.error().message << '\n';
    return ExitCode::Usage;
  }
  aCall.idempotencyKey = aLine.Text("idempotency-key");
  if (aCall.idempotencyKey.empty() && aCall.method != "GET") {
    aCall.idempotencyKey = RandomHexText(kIdempotencyKeyBytes);
  }
  const Result<ClientReply> reply = CallServer(*options, aCall);
  if (!reply) {
    std::cerr << "hyssoppaddle: " << reply.error().message << '\n';
    return reply.error().code == ErrorCode::Unavailable
             ? ExitCode::ServerUnreachable
             : ExitCode::Usage;
  }
  return PrintReply(aLine, *reply);
}

} // namespace hyssoppaddle::cli
