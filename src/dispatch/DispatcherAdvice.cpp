// Requests tickets from the external advisor before tasks are started.
#include "dispatch/Dispatcher.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Limit of the advisor on the number of upstreams per request.
constexpr std::size_t kMaxUpstreamsPerQuestion = 100;

} // namespace

void
Dispatcher::RequestTickets(const JobView& aView, const work::TaskRef& aTask)
{
  if (this->tickets.IsBusy()) {
    return;
  }
  const work::Queue* queue = this->state.CurrentSetup().FindQueue(aView.queue);
  const work::Step& step = this->FindJob(aTask.job)->spec.steps[aTask.step];
  std::vector<InstanceId> candidates;
  for (const auto& [id, session] : this->sessions) {
    const state::Resources& whole = session.record.capacity;
    if (session.record.service == aView.service &&
        IsUsable(session, this->now) && step.size.FitsInto(whole)) {
      candidates.push_back(id);
    }
  }
  candidates = this->tickets.Undecided(StepOf(aTask), candidates, this->now);
  if (candidates.empty()) {
    return;
  }
  candidates.resize(std::min(candidates.size(), kMaxUpstreamsPerQuestion));
  AskAdvice ask;
  ask.token = ++this->lastToken;
  ask.step = StepOf(aTask);
  ask.upstreams = candidates;
  ask.timeLimit =
    queue->advice.decision +
    queue->advice.perUpstream * static_cast<std::int64_t>(candidates.size()) +
    seconds(2);
  this->tickets.RecordQuestion(
    ask.token, ask.step, candidates, queue->advice.validity, this->now);
  this->output.instructions.emplace_back(std::move(ask));
}

void
Dispatcher::On(const AdviceAnswer& aAnswer)
{
  if (this->tickets.RecordAnswer(aAnswer, this->now)) {
    for (const auto& [id, session] : this->sessions) {
      this->dirtyServices.insert(session.record.service);
    }
  }
}

} // namespace hyssoppaddle::dispatch
