// settings check and bundle check: print all findings with their positions.
#include "cli/CommandLine.h"
#include "cli/ReadFile.h"
#include "cli/Subcommands.h"
#include "config/BundleParser.h"
#include "config/Settings.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace hyssoppaddle::cli {

namespace {

nlohmann::json
FindingsJson(const Findings& aFindings)
{
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : aFindings) {
    list.push_back({ { "path", finding.path },
                     { "line", finding.line },
                     { "column", finding.column },
                     { "message", finding.message } });
  }
  return list;
}

int
PrintFindings(const CommandLine& aLine,
              const std::string& aFile,
              const Findings& aFindings)
{
  if (aLine.Flag("json")) {
    std::cout << nlohmann::json{
      { "file", aFile }, { "findings", FindingsJson(aFindings) }
    }.dump(2) << '\n';
  } else {
    for (const Finding& finding : aFindings) {
      std::cerr << Format(finding, aFile) << '\n';
    }
    if (aFindings.empty()) {
      std::cout << aFile << ": no findings\n";
    }
  }
  return aFindings.empty() ? ExitCode::Done : ExitCode::Refused;
}

// Parses a file with aParser and prints its findings.
template<typename Parser>
int
CheckFile(CommandLine& aLine, Arguments aArguments, Parser aParser)
{
  aLine.AddFlag("json", "Print the findings as JSON");
  aLine.ExpectPositional(1, 1);
  if (!aLine.Parse(aArguments)) {
    return aLine.Code();
  }
  const std::string& file = aLine.Positional()[0];
  const Result<std::string> text = ReadFile(file);
  if (!text) {
    std::cerr << "hyssoppaddle: " << text.error().message << '\n';
    return ExitCode::Usage;
  }
  const auto parsed = aParser(*text);
  return PrintFindings(aLine, file, parsed ? Findings() : parsed.error());
}

} // namespace

int
CheckSettings(Arguments aArguments)
{
  CommandLine line("settings check", "FILE", "Check a settings file");
  return CheckFile(line, aArguments, &config::ParseSettings);
}

int
CheckBundle(Arguments aArguments)
{
  CommandLine line("bundle check", "FILE", "Check a bundle file");
  return CheckFile(line, aArguments, &config::ParseBundle);
}

} // namespace hyssoppaddle::cli
