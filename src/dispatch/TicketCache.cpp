// Stores and looks up the advisor's decisions.
#include "dispatch/TicketCache.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// A start must reach the upstream before its ticket expires.
constexpr Duration kTicketMargin = std::chrono::milliseconds(300);

} // namespace

work::TaskRef
StepOf(const work::TaskRef& aTask)
{
  work::TaskRef step = aTask;
  step.index = 0;
  return step;
}

void
TicketCache::RecordQuestion(std::uint64_t aToken,
                            const work::TaskRef& aStep,
                            const std::vector<InstanceId>& aUpstreams,
                            Duration aValidity,
                            Time aNow)
{
  this->pendingQuestion =
    Question{ aToken, aStep, aUpstreams, aValidity, aNow };
}

bool
TicketCache::RecordAnswer(const AdviceAnswer& aAnswer, Time aNow)
{
  if (!this->pendingQuestion || this->pendingQuestion->token != aAnswer.token) {
    return false;
  }
  const Question question = std::move(*this->pendingQuestion);
  this->pendingQuestion.reset();
  if (!aAnswer.answered) {
    return true;
  }
  auto& known = this->decisions[question.step];
  for (const InstanceId& upstream : question.upstreams) {
    known[upstream] = Decision{ {}, Time::max() };
  }
  for (const auto& [upstream, ticket] : aAnswer.tickets) {
    // The validity of the ticket may have started before the answer arrived.
    known[upstream] = Decision{ ticket, question.askedAt + question.validity };
    if (question.askedAt + question.validity < aNow + kTicketMargin) {
      known[upstream].validUntil = aNow + question.validity / 2;
    }
  }
  return true;
}

std::string
TicketCache::Find(const work::TaskRef& aStep,
                  const InstanceId& aUpstream,
                  Time aNow) const
{
  const auto step = this->decisions.find(aStep);
  if (step == this->decisions.end()) {
    return {};
  }
  const auto found = step->second.find(aUpstream);
  const bool valid = found != step->second.end() &&
                     aNow + kTicketMargin < found->second.validUntil;
  return valid ? found->second.ticket : std::string();
}

void
TicketCache::Drop(const work::TaskRef& aStep, const InstanceId& aUpstream)
{
  const auto step = this->decisions.find(aStep);
  if (step != this->decisions.end()) {
    step->second.erase(aUpstream);
  }
}

std::vector<InstanceId>
TicketCache::Undecided(const work::TaskRef& aStep,
                       const std::vector<InstanceId>& aCandidates,
                       Time aNow) const
{
  const auto step = this->decisions.find(aStep);
  if (step == this->decisions.end()) {
    return aCandidates;
  }
  std::vector<InstanceId> unknown;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(unknown),
               [&](const InstanceId& aUpstream) {
                 const auto found = step->second.find(aUpstream);
                 return found == step->second.end() ||
                        aNow + kTicketMargin >= found->second.validUntil;
               });
  return unknown;
}

void
TicketCache::ForgetJob(const JobId& aJob)
{
  std::erase_if(this->decisions,
                [&](const auto& aItem) { return aItem.first.job == aJob; });
}

void
TicketCache::Clear()
{
  this->pendingQuestion.reset();
  this->decisions.clear();
}

} // namespace hyssoppaddle::dispatch
