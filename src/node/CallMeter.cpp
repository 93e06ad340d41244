// Accounts calls by kind.
#include "node/CallMeter.h"

#include "dispatch/Text.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hyssoppaddle::node {

namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);
// Shorter waits are normal.
constexpr Duration kMinReportedWait = std::chrono::milliseconds(20);

// In the order of the alternatives of Call.
constexpr std::array<std::string_view, CallMeter::kKinds> kNames{
  "submit",    "show",      "cancel",           "announce",
  "depart",    "put_setup", "get_setup",        "start_wave",
  "show_wave", "evacuate",  "show_evacuations", "malformed"
};

} // namespace

void
CallMeter::Record(const Call& aCall, Duration aElapsed)
{
  Kind& kind = this->kinds[aCall.index()];
  ++kind.count;
  kind.elapsed += aElapsed;
  kind.longest = std::max(kind.longest, aElapsed);
}

std::optional<dispatch::Decision>
CallMeter::TakeReport(Time aNow)
{
  if (aNow - this->reportedAt < kReportInterval) {
    return std::nullopt;
  }
  this->reportedAt = aNow;
  dispatch::Decision report{ "call_load", {}, {} };
  for (std::size_t i = 0; i < kKinds; ++i) {
    const Kind kind = std::exchange(this->kinds[i], {});
    if (kind.count > 0) {
      report.fields.emplace_back(
        kNames[i],
        std::to_string(kind.count) + " in " + dispatch::Text(kind.elapsed) +
          " ms, longest " + dispatch::Text(kind.longest) + " ms");
    }
  }
  const auto addCount = [&](const char* aName, std::uint64_t& aCount) {
    const std::uint64_t count = std::exchange(aCount, 0);
    if (count > 0) {
      report.fields.emplace_back(aName, std::to_string(count));
    }
  };
  addCount("late_replies", this->lateReplies);
  addCount("foreign_replies", this->foreignReplies);
  addCount("dropped", this->dropped);
  addCount("evicted", this->evicted);
  const Duration wait = std::exchange(this->longestWait, Duration(0));
  if (wait >= kMinReportedWait) {
    report.fields.emplace_back("longest_wait_ms", dispatch::Text(wait));
  }
  return report.fields.empty() ? std::nullopt
                               : std::optional(std::move(report));
}

} // namespace hyssoppaddle::node
