// Counts the calls that the leader handles, and their processor time, by kind.
// An overloaded leader shows here which calls it spends its time on.
#ifndef hyssoppaddle_node_CallMeter_h
#define hyssoppaddle_node_CallMeter_h

#include "base/Time.h"
#include "dispatch/Decision.h"
#include "node/Calls.h"

#include <array>
#include <optional>
#include <string_view>

namespace hyssoppaddle::node {

class CallMeter
{
public:
  static constexpr std::size_t kKinds = std::variant_size_v<Call>;

  // aElapsed is the time until the call was answered or proposed.
  void Record(const Call& aCall, Duration aElapsed);
  // Counts a reply whose call this node had given up before.
  void RecordLateReply() { ++this->lateReplies; }

  // Returns a log line once a second if there was a call or a late reply since
  // the last one. Each field holds the number of calls and their milliseconds.
  [[nodiscard]] std::optional<dispatch::Decision> TakeReport(Time aNow);

private:
  struct Kind
  {
    std::uint64_t count = 0;
    Duration elapsed{ 0 };
    Duration longest{ 0 };
  };

  std::array<Kind, kKinds> kinds{}; // since the last report
  std::uint64_t lateReplies = 0;    // since the last report
  Time reportedAt{};
};

} // namespace hyssoppaddle::node

#endif
