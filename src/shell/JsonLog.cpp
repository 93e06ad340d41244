// Writes JSON log lines with glog. The message is the whole line, so the glog
// prefix is disabled.
#include "shell/JsonLog.h"

#include "base/WallTimeText.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <string>

namespace hyssoppaddle::shell {

namespace {

std::atomic<LogLevel> minimumLevel{ LogLevel::Info };

std::string_view
Name(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "info";
}

std::string
Timestamp()
{
  using std::chrono::duration_cast;
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return FormatWallTime(WallTime(duration_cast<Duration>(sinceEpoch)));
}

} // namespace

void
StartLogging(std::string_view aProgram, LogLevel aLevel)
{
  static const std::string kProgram(aProgram);
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  minimumLevel = aLevel;
  if (!google::IsGoogleLoggingInitialized()) {
    google::InitGoogleLogging(kProgram.c_str());
  }
}

void
Log(LogLevel aLevel, std::string_view aEvent, const nlohmann::json& aFields)
{
  if (aLevel < minimumLevel.load(std::memory_order_relaxed)) {
    return;
  }
  nlohmann::ordered_json line;
  line["ts"] = Timestamp();
  line["level"] = Name(aLevel);
  line["event"] = aEvent;
  for (const auto& [key, value] : aFields.items()) {
    line[key] = value;
  }
  // Invalid UTF-8 in external input is replaced, because the exception that
  // dump() throws by default would stop the daemon.
  const std::string text =
    line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  switch (aLevel) {
    case LogLevel::Error:
      LOG(ERROR) << text;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << text;
      break;
    default:
      LOG(INFO) << text;
      break;
  }
}

} // namespace hyssoppaddle::shell
