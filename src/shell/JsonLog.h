// Structured logging: every line is one JSON object, written through glog
// without the glog prefix.
#ifndef hyssoppaddle_shell_JsonLog_h
#define hyssoppaddle_shell_JsonLog_h

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace hyssoppaddle::shell {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

// Starts glog on standard error. Lines below aLevel are dropped.
void
StartLogging(std::string_view aProgram, LogLevel aLevel);

// Writes {"ts":..., "level":..., "event":aEvent, ...aFields} as one line.
// aFields must be an object; "ts" is UTC in RFC 3339 with microseconds.
void
Log(LogLevel aLevel, std::string_view aEvent, const nlohmann::json& aFields);

} // namespace hyssoppaddle::shell

#endif
