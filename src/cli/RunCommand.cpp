// run: the daemon of an entry instance.
#include "api/ControlApi.h"
#include "cli/CommandLine.h"
#include "cli/ReadFile.h"
#include "cli/Subcommands.h"
#include "config/Settings.h"
#include "shell/Daemon.h"
#include "shell/JsonLog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <optional>
#include <utility>

namespace hyssoppaddle::cli {

namespace {

shell::LogLevel
ParseLevel(std::string_view aName)
{
  using shell::LogLevel;
  constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLevels{ {
    { "debug", LogLevel::Debug },
    { "info", LogLevel::Info },
    { "warning", LogLevel::Warning },
    { "error", LogLevel::Error },
  } };
  for (const auto& [name, level] : kLevels) {
    if (name == aName) {
      return level;
    }
  }
  return LogLevel::Info;
}

// Reads and validates the settings; prints findings to standard error.
std::optional<config::Settings>
LoadSettings(const std::string& aFile)
{
  const Result<std::string> text = ReadFile(aFile);
  if (!text) {
    std::cerr << "hyssoppaddle: " << text.error().message << '\n';
    return std::nullopt;
  }
  auto settings = config::ParseSettings(*text);
  if (!settings) {
    for (const Finding& finding : settings.error()) {
      std::cerr << Format(finding, aFile) << '\n';
    }
    return std::nullopt;
  }
  return std::move(*settings);
}

// Returns the first line of the token file without the line end, or an empty
// text if the settings name no file.
Result<std::string>
LoadBootstrapToken(const config::Settings& aSettings)
{
  if (aSettings.bootstrapOperatorTokenFile.empty()) {
    return std::string();
  }
  Result<std::string> text = ReadFile(aSettings.bootstrapOperatorTokenFile);
  if (text) {
    text->resize(std::min(text->size(), text->find_first_of("\r\n")));
  }
  return text;
}

} // namespace

int
RunDaemon(Arguments aArguments)
{
  CommandLine line("run", "", "Run the daemon of an entry instance");
  line.AddText("settings", "Settings file (docs/settings.md)");
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  if (line.Text("settings").empty()) {
    std::cerr << "hyssoppaddle: --settings FILE is required\n";
    return ExitCode::Usage;
  }
  const std::optional<config::Settings> settings =
    LoadSettings(line.Text("settings"));
  if (!settings) {
    return ExitCode::Usage;
  }
  const Result<std::string> bootstrap = LoadBootstrapToken(*settings);
  if (!bootstrap) {
    std::cerr << "hyssoppaddle: " << bootstrap.error().message << '\n';
    return ExitCode::Usage;
  }
  shell::StartLogging("hyssoppaddle", ParseLevel(settings->logLevel));
  shell::DaemonParts parts;
  parts.openLog = &shell::OpenDurableLog;
  parts.makeHandler = [&bootstrap](api::CorePort& aPort) {
    return std::make_unique<api::ControlApi>(aPort, *bootstrap);
  };
  shell::Daemon daemon(*settings, std::move(parts));
  const Result<void> started = daemon.Start();
  if (!started) {
    shell::Log(shell::LogLevel::Error,
               "start_failed",
               { { "code", ToString(started.error().code) },
                 { "detail", started.error().message } });
    return ExitCode::DaemonFailure;
  }
  daemon.Run();
  return ExitCode::Done;
}

} // namespace hyssoppaddle::cli
