// Counts the calls that the leader handles, and their processor time, by kind.
// An overloaded leader shows here which calls it spends its time on.
#ifndef hyssoppaddle_node_CallMeter_h
#define hyssoppaddle_node_CallMeter_h

#include "base/Time.h"
#include "dispatch/Decision.h"
#include "node/Calls.h"

#include <algorithm>
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
  // Counts a reply to a call of an earlier process of this node.
  void RecordForeignReply() { ++this->foreignReplies; }
  // How long a call waited on this leader until it was handled or discarded.
  void RecordWait(Duration aWait)
  {
    this->longestWait = std::max(this->longestWait, aWait);
  }
  // Counts a call that was not handled because its caller had gone.
  void RecordDropped() { ++this->dropped; }
  // Counts a call that was returned to a waiting caller as not run.
  void RecordEvicted() { ++this->evicted; }

  // Returns a log line once a second if there was a call or an unexpected reply
  // since the last one. Each field holds the number of calls and their
  // milliseconds.
  [[nodiscard]] std::optional<dispatch::Decision> TakeReport(Time aNow);

private:
  struct Kind
  {
    std::uint64_t count = 0;
    Duration elapsed{ 0 };
    Duration longest{ 0 };
  };

  std::array<Kind, kKinds> kinds{}; // since the last report
  // The figures below are since the last report.
  std::uint64_t lateReplies = 0;
  std::uint64_t foreignReplies = 0;
  std::uint64_t dropped = 0;
  std::uint64_t evicted = 0;
  Duration longestWait{ 0 };
  Time reportedAt{};
};

} // namespace hyssoppaddle::node

#endif
