// Writes the decisions of the request path and the planner as JSON log lines,
// at a limited rate. Refusals are always written.
#ifndef hyssoppaddle_shell_DecisionLog_h
#define hyssoppaddle_shell_DecisionLog_h

#include "base/Time.h"
#include "planner/Planner.h"
#include "request/Events.h"
#include "shell/Metrics.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>

namespace hyssoppaddle::shell {

// Called with the event name and the fields of each line.
using LineWriter = std::function<void(std::string_view, const nlohmann::json&)>;

class DecisionLog
{
public:
  DecisionLog(std::uint32_t aLinesPerSecond,
              std::shared_ptr<Metrics> aMetrics,
              LineWriter aWriter);

  void Write(const request::LogDecision& aDecision, Time aNow);
  void Write(const planner::LogDecision& aDecision, Time aNow);
  // Writes the number of dropped lines once the rate window has ended.
  void Tick(Time aNow);

private:
  [[nodiscard]] bool Admit(std::string_view aKind, bool aRefusal, Time aNow);

  std::uint32_t linesPerSecond;
  std::shared_ptr<Metrics> metrics;
  LineWriter writer;
  Time windowStart;
  std::uint32_t written = 0;
  std::uint64_t dropped = 0;
};

} // namespace hyssoppaddle::shell

#endif
