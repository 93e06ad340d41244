// Measures how the event loop of a node spends its time: the time in each part
// of the code, and the delay of its timer. A node that is short of processor
// time shows a growing delay and names the part that uses the most.
#ifndef hyssoppaddle_node_LoopMeter_h
#define hyssoppaddle_node_LoopMeter_h

#include "base/Time.h"
#include "dispatch/Decision.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace hyssoppaddle::node {

// Time between two parts, such as waiting and the parsing of HTTP, belongs to
// Outside.
enum class LoopPart : std::uint8_t
{
  Outside,
  Calls,        // decoding and routing of calls to this node
  PeerMessages, // messages of other nodes, without the parts below
  Raft,         // replication, without the application of entries
  Apply,        // application of committed entries
  Handling,     // calls handled on the leader
  Answers,      // answers of upstreams and of the owner of the instances
  DispatchTick, // periodic work of the dispatcher
  Output,       // proposals and instructions of the dispatcher
  Count,
};

class LoopMeter
{
public:
  static constexpr std::size_t kParts =
    static_cast<std::size_t>(LoopPart::Count);
  using Clock = std::function<Time()>;

  // Attributes the time until its end to a part. Scopes nest: the time of an
  // inner scope does not count for the outer one.
  class Scope
  {
  public:
    Scope(LoopMeter& aMeter, LoopPart aPart);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    LoopMeter& meter;
    LoopPart outer;
  };

  explicit LoopMeter(Clock aClock);

  // Records that a timer that was due at aDue ran at aRan.
  void RecordTimer(Time aDue, Time aRan);

  // Returns a log line once a second: always with aAlways, otherwise only when
  // the timer was late.
  [[nodiscard]] std::optional<dispatch::Decision> TakeReport(Time aNow,
                                                             bool aAlways);
  // Time spent in a part since the start of the process.
  [[nodiscard]] Duration Total(LoopPart aPart) const;
  [[nodiscard]] static std::string_view NameOf(LoopPart aPart);

private:
  void SwitchTo(LoopPart aPart);

  Clock clock;
  LoopPart current = LoopPart::Outside;
  Time since{};
  std::array<Duration, kParts> totals{};
  std::array<Duration, kParts> reported{}; // totals at the last report
  Duration maxDelay{};                     // since the last report
  Time reportedAt{};
};

} // namespace hyssoppaddle::node

#endif
