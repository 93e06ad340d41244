// Blocking HTTP client of the command-line interface.
#ifndef hyssoppaddle_cli_Client_h
#define hyssoppaddle_cli_Client_h

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoppaddle::cli {

class CommandLine;

struct ClientOptions
{
  std::string server;        // "127.0.0.1:8081"
  std::string token;         // bearer token
  std::string authorityFile; // PEM; empty: plain HTTP
};

struct ClientCall
{
  std::string method;
  std::string target;
  std::string body;
  // Sent as Idempotency-Key. A call with a key, or a GET, is retried when the
  // connection fails.
  std::string idempotencyKey;
};

struct ClientReply
{
  std::uint32_t status = 0;
  std::string body;
};

// Adds --server, --token-file, --tls-authority, --idempotency-key and --json.
void
AddClientOptions(CommandLine& aLine);

// Reads the options; the server and token default to the environment variables
// HYSSOPPADDLE_SERVER and HYSSOPPADDLE_TOKEN.
Result<ClientOptions>
ReadClientOptions(const CommandLine& aLine);

// Returns Unavailable when no response was received.
Result<ClientReply>
CallServer(const ClientOptions& aOptions, const ClientCall& aCall);

// Random text for Idempotency-Key and key secrets, lower-case hexadecimal.
std::string
RandomHexText(std::size_t aBytes);

// Makes the call, prints the response and returns the exit code. The response
// is printed as JSON with --json and as a table otherwise; problems are printed
// to standard error. Without --idempotency-key, calls other than GET use a
// random key.
int
CallAndPrint(const CommandLine& aLine, ClientCall aCall);

} // namespace hyssoppaddle::cli

#endif
