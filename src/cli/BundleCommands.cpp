// bundle propose, approve, status and show.
#include "cli/Client.h"
#include "cli/CommandLine.h"
#include "cli/ReadFile.h"
#include "cli/Subcommands.h"
#include "config/BundleParser.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace hyssoppaddle::cli {

int
ProposeBundle(Arguments aArguments)
{
  CommandLine line("bundle propose", "FILE", "Propose a bundle");
  AddClientOptions(line);
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  Result<std::string> text = ReadFile(line.Positional()[0]);
  if (!text) {
    std::cerr << "hyssoppaddle: " << text.error().message << '\n';
    return ExitCode::Usage;
  }
  // The file is checked locally first, so that findings include their positions
  // in it.
  const auto parsed = config::ParseBundle(*text);
  if (!parsed) {
    for (const Finding& finding : parsed.error()) {
      std::cerr << Format(finding, line.Positional()[0]) << '\n';
    }
    return ExitCode::Refused;
  }
  return CallAndPrint(line, { "POST", "/v1/bundles", std::move(*text), "" });
}

int
ApproveBundle(Arguments aArguments)
{
  CommandLine line("bundle approve",
                   "VERSION",
                   "Approve a bundle with a member's key. Either --digest or "
                   "--file says which content is approved.");
  AddClientOptions(line);
  line.AddText("digest", "Digest that bundle propose printed");
  line.AddText("file", "File whose content is approved");
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  std::string digest = line.Text("digest");
  if (!line.Text("file").empty()) {
    const Result<std::string> text = ReadFile(line.Text("file"));
    if (!text) {
      std::cerr << "hyssoppaddle: " << text.error().message << '\n';
      return ExitCode::Usage;
    }
    digest = config::BundleDigest(*text);
  }
  if (digest.empty()) {
    std::cerr << "hyssoppaddle: --digest or --file is required\n";
    return ExitCode::Usage;
  }
  const nlohmann::json body{ { "digest", digest } };
  return CallAndPrint(line,
                      { "POST",
                        "/v1/bundles/" + line.Positional()[0] + "/approvals",
                        body.dump(),
                        "" });
}

int
ShowBundleStatus(Arguments aArguments)
{
  CommandLine line("bundle status", "", "List bundles and their state");
  AddClientOptions(line);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line, { "GET", "/v1/bundles", "", "" });
}

int
ShowBundle(Arguments aArguments)
{
  CommandLine line(
    "bundle show", "VERSION", "Show one bundle, its content and roll-out");
  AddClientOptions(line);
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line,
                      { "GET", "/v1/bundles/" + line.Positional()[0], "", "" });
}

} // namespace hyssoppaddle::cli
