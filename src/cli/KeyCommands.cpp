// key grant, withdraw and list. The client generates the secret, so that a
// retry after a lost response sends the same one.
#include "cli/Client.h"
#include "cli/CommandLine.h"
#include "cli/Subcommands.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace hyssoppaddle::cli {

namespace {

constexpr std::size_t kKeyIdBytes = 8;
constexpr std::size_t kSecretBytes = 24;

int
WriteToken(const CommandLine& aLine, const std::string& aToken)
{
  const std::string file = aLine.Text("out");
  if (file.empty()) {
    std::cout << "token: " << aToken << '\n';
    return ExitCode::Done;
  }
  std::ofstream stream(file);
  stream << aToken << '\n';
  if (!stream.flush()) {
    std::cerr << "hyssoppaddle: cannot write " << file << '\n';
    return ExitCode::Refused;
  }
  return ExitCode::Done;
}

} // namespace

int
GrantKey(Arguments aArguments)
{
  CommandLine line("key grant",
                   "ROLE [SUBJECT]",
                   "Grant a key of role operator, member, upstream or team. "
                   "SUBJECT is the member or team.");
  AddClientOptions(line);
  line.AddText("key", "Key ID (default: random)");
  line.AddText("secret", "Secret, at least 32 characters (default: random)");
  line.AddText("out", "Write the token to this file instead of the output");
  line.ExpectPositional(1, 2);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  const std::vector<std::string>& words = line.Positional();
  const std::string key =
    line.Text("key").empty() ? RandomHexText(kKeyIdBytes) : line.Text("key");
  const std::string secret = line.Text("secret").empty()
                               ? RandomHexText(kSecretBytes)
                               : line.Text("secret");
  nlohmann::json body{ { "role", words[0] },
                       { "key", key },
                       { "secret", secret } };
  if (words.size() > 1) {
    body["subject"] = words[1];
  }
  const int code = CallAndPrint(line, { "POST", "/v1/keys", body.dump(), "" });
  if (code != ExitCode::Done) {
    return code;
  }
  return WriteToken(line, "hp_" + words[0] + "_" + key + "_" + secret);
}

int
WithdrawKey(Arguments aArguments)
{
  CommandLine line("key withdraw",
                   "KEY",
                   "Withdraw a key. It stops working on every entry instance "
                   "within 5 s of the answer.");
  AddClientOptions(line);
  line.AddText("overlap-ms", "Let the key work this much longer", "0");
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  const auto overlap =
    nlohmann::json::parse(line.Text("overlap-ms"), nullptr, false);
  if (!overlap.is_number_unsigned()) {
    std::cerr << "hyssoppaddle: --overlap-ms must be a whole number\n";
    return ExitCode::Usage;
  }
  const nlohmann::json body{ { "overlap_ms", overlap } };
  return CallAndPrint(
    line, { "DELETE", "/v1/keys/" + line.Positional()[0], body.dump(), "" });
}

int
ListKeys(Arguments aArguments)
{
  CommandLine line("key list", "", "List keys without their secrets");
  AddClientOptions(line);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line, { "GET", "/v1/keys", "", "" });
}

} // namespace hyssoppaddle::cli
