// The answers that the leader of the deployment handles, and those that wait
// for it.
#include "FakeDeployment.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::test {

namespace {

// An upstream answers a long poll when a run ends. The simulated one also
// answers in between (see Answer), which costs the leader nothing.
bool
IsEmptyList(const dispatch::Answer& aAnswer)
{
  const auto* list = std::get_if<dispatch::LeaseAnswer>(&aAnswer);
  return list != nullptr && list->ended.empty();
}

} // namespace

void
FakeDeployment::HandleAnswers()
{
  for (Pending& pending : std::exchange(this->answers, {})) {
    if (pending.at <= this->now) {
      this->arrived.push_back(std::move(pending));
    } else {
      this->answers.push_back(std::move(pending));
    }
  }
  const bool isUnlimited = this->leaderEventsPerSecond == 0;
  const double perStep = this->leaderEventsPerSecond *
                         std::chrono::duration<double>(kTimeStep).count();
  this->eventsLeft =
    isUnlimited ? 0 : std::min(this->eventsLeft, 0.0) + perStep;
  // Answers that arrive meanwhile are due at a later step.
  for (std::size_t count = this->arrived.size();
       count > 0 && (isUnlimited || this->eventsLeft > 0);
       --count) {
    const dispatch::Answer answer = this->arrived.front().answer();
    this->arrived.pop_front();
    this->eventsLeft -= IsEmptyList(answer) ? 0 : 1;
    this->dispatcher->Handle(answer, this->now, this->Wall());
    this->ProcessOutput();
  }
}

Duration
FakeDeployment::LoopDelay() const
{
  return this->arrived.empty() ? Duration(0)
                               : this->now - this->arrived.front().at;
}

} // namespace hyssoppaddle::test
