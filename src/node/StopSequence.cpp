// Times of the steps of a graceful stop.
#include "node/StopSequence.h"

namespace hyssoppaddle::node {

namespace {

using std::chrono::milliseconds;

// The load balancer polls readiness every second and sends no new callers after
// two failures.
constexpr Duration kBalancerDrainTime = milliseconds(2600);
// Before the end of the grace period, when the process would be killed: first
// the open calls are answered, then the answers get time to be sent.
constexpr Duration kAnswerMargin = milliseconds(900);
constexpr Duration kFinishMargin = milliseconds(300);

} // namespace

StopSequence::StopSequence(Duration aGracePeriod)
  : gracePeriod(aGracePeriod)
{
}

void
StopSequence::Begin(Time aNow)
{
  this->beganAt = aNow;
}

bool
StopSequence::IsDue(StopAction aAction,
                    const StopProgress& aProgress,
                    Duration aWaited) const
{
  const bool late = aWaited > this->gracePeriod - kAnswerMargin;
  const bool idle = aProgress.openConnections == 0 && !aProgress.leads;
  switch (aAction) {
    case StopAction::StopListening:
      return late || aWaited > kBalancerDrainTime;
    case StopAction::AnswerOpenCalls:
      return late || idle;
    case StopAction::Finish:
      return idle || aWaited > this->gracePeriod - kFinishMargin ||
             (late && aProgress.openConnections == 0);
    case StopAction::None:
      break;
  }
  return false;
}

StopAction
StopSequence::Next(const StopProgress& aProgress, Time aNow)
{
  if (!this->beganAt || this->last == StopAction::Finish) {
    return StopAction::None;
  }
  const auto next =
    static_cast<StopAction>(static_cast<std::uint8_t>(this->last) + 1);
  if (!this->IsDue(next, aProgress, aNow - *this->beganAt)) {
    return StopAction::None;
  }
  this->last = next;
  return next;
}

} // namespace hyssoppaddle::node
