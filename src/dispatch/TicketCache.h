// Tickets of an external advisor, which says which upstreams may run a step.
#ifndef hyssoppaddle_dispatch_TicketCache_h
#define hyssoppaddle_dispatch_TicketCache_h

#include "dispatch/Instructions.h"

#include <map>
#include <optional>
#include <set>

namespace hyssoppaddle::dispatch {

class TicketCache
{
public:
  // One question at a time: the advisor answers in turn. aToken names it.
  [[nodiscard]] bool IsBusy() const
  {
    return this->pendingQuestion.has_value();
  }
  void RecordQuestion(std::uint64_t aToken,
                      const work::TaskRef& aStep,
                      const std::vector<InstanceId>& aUpstreams,
                      Duration aValidity,
                      Time aNow);
  // False when aAnswer is to no question of this book.
  bool RecordAnswer(const AdviceAnswer& aAnswer, Time aNow);

  // Empty: none that is still valid with a margin.
  [[nodiscard]] std::string Find(const work::TaskRef& aStep,
                                 const InstanceId& aUpstream,
                                 Time aNow) const;
  // A refused ticket is of no more use.
  void Drop(const work::TaskRef& aStep, const InstanceId& aUpstream);
  // Upstreams of aCandidates without a decision: worth asking about.
  [[nodiscard]] std::vector<InstanceId> Undecided(
    const work::TaskRef& aStep,
    const std::vector<InstanceId>& aCandidates,
    Time aNow) const;
  void ForgetJob(const JobId& aJob);
  void Clear();

private:
  struct Decision
  {
    std::string ticket; // empty: refused, which does not change
    Time validUntil{};
  };
  struct Question
  {
    std::uint64_t token = 0;
    work::TaskRef step;
    std::vector<InstanceId> upstreams;
    Duration validity{ 0 };
    Time askedAt{};
  };

  std::optional<Question> pendingQuestion;
  std::map<work::TaskRef, std::map<InstanceId, Decision>> decisions;
};

// The step that a task belongs to.
work::TaskRef
StepOf(const work::TaskRef& aTask);

} // namespace hyssoppaddle::dispatch

#endif
