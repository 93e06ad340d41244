// Caches the tickets of an external advisor, which decides on which upstreams a
// step may run.
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
  // One question is pending at a time, because the advisor handles them
  // sequentially. aToken identifies the question.
  [[nodiscard]] bool IsBusy() const
  {
    return this->pendingQuestion.has_value();
  }
  void RecordQuestion(std::uint64_t aToken,
                      const work::TaskRef& aStep,
                      const std::vector<InstanceId>& aUpstreams,
                      Duration aValidity,
                      Time aNow);
  // False when aAnswer does not belong to the pending question.
  bool RecordAnswer(const AdviceAnswer& aAnswer, Time aNow);

  // Empty when there is no ticket that stays valid for some time.
  [[nodiscard]] std::string Find(const work::TaskRef& aStep,
                                 const InstanceId& aUpstream,
                                 Time aNow) const;
  // Removes a ticket that an upstream refused.
  void Drop(const work::TaskRef& aStep, const InstanceId& aUpstream);
  // The upstreams of aCandidates that the advisor must be asked about.
  [[nodiscard]] std::vector<InstanceId> Undecided(
    const work::TaskRef& aStep,
    const std::vector<InstanceId>& aCandidates,
    Time aNow) const;
  void ForgetJob(const JobId& aJob);
  void Clear();

private:
  struct Decision
  {
    std::string ticket; // empty: refused, which is final
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
