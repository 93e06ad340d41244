// Order of a graceful stop: the node reports not ready at once, accepts calls
// until the load balancer has noticed, answers every open call and ends.
#ifndef hyssoppaddle_node_StopSequence_h
#define hyssoppaddle_node_StopSequence_h

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace hyssoppaddle::node {

enum class StopAction : std::uint8_t
{
  None,
  StopListening,
  // Replies to all calls that have no answer yet, so that no caller sees its
  // connection end without one.
  AnswerOpenCalls,
  Finish,
};

// What a stopping node still has to complete.
struct StopProgress
{
  std::size_t openConnections = 0;
  bool leads = false;
};

class StopSequence
{
public:
  explicit StopSequence(Duration aGracePeriod);

  void Begin(Time aNow);
  [[nodiscard]] bool HasBegun() const { return this->beganAt.has_value(); }

  // Returns the action that is due, each at most once and in order; None until
  // Begin and while nothing is due.
  [[nodiscard]] StopAction Next(const StopProgress& aProgress, Time aNow);

private:
  [[nodiscard]] bool IsDue(StopAction aAction,
                           const StopProgress& aProgress,
                           Duration aWaited) const;

  Duration gracePeriod;
  std::optional<Time> beganAt;
  StopAction last = StopAction::None; // the last action that was returned
};

} // namespace hyssoppaddle::node

#endif
