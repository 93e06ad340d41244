// Tickets of an external advisor, which says which upstreams may run a step.
#ifndef hyssoppaddle_dispatch_TicketBook_h
#define hyssoppaddle_dispatch_TicketBook_h

#include "dispatch/Instructions.h"

#include <map>
#include <optional>
#include <set>

namespace hyssoppaddle::dispatch {

class TicketBook
{
public:
  // One question at a time: the advisor answers in turn. aToken names it.
  [[nodiscard]] bool IsBusy() const { return this->asking.has_value(); }
  void Asked(std::uint64_t aToken,
             const work::TaskRef& aStep,
             const std::vector<InstanceId>& aUpstreams,
             Duration aValidity,
             Time aNow);
  // False when aAnswer is to no question of this book.
  bool Answered(const AdviceAnswer& aAnswer, Time aNow);

  // Empty: none that is still valid with a margin.
  [[nodiscard]] std::string Find(const work::TaskRef& aStep,
                                 const InstanceId& aUpstream,
                                 Time aNow) const;
  // A refused ticket is of no more use.
  void Drop(const work::TaskRef& aStep, const InstanceId& aUpstream);
  // Upstreams of aCandidates without a decision: worth asking about.
  [[nodiscard]] std::vector<InstanceId> Unknown(
    const work::TaskRef& aStep,
    const std::vector<InstanceId>& aCandidates,
    Time aNow) const;
  void ForgetStep(const JobId& aJob);
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

  std::optional<Question> asking;
  std::map<work::TaskRef, std::map<InstanceId, Decision>> decisions;
};

// The step that a task belongs to.
work::TaskRef
StepOf(const work::TaskRef& aTask);

} // namespace hyssoppaddle::dispatch

#endif
