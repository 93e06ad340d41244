// Waiting requests of one service: a bounded queue per team in three classes.
// A request whose deadline cannot be met by the measured service rate is
// refused at once instead of waiting in vain.
#ifndef hyssoppaddle_request_AdmissionQueue_h
#define hyssoppaddle_request_AdmissionQueue_h

#include "request/ClassOrder.h"
#include "request/DrainRate.h"
#include "request/FairQueue.h"

#include <array>
#include <cstdint>
#include <optional>

namespace hyssoppaddle::request {

struct Offer
{
  Waiting item;
  state::WorkClass workClass = state::WorkClass::Print;
  std::uint32_t share = 1;
  std::uint32_t queueLimit = 0; // waiting requests of the team
};

class AdmissionQueue
{
public:
  enum class Answer : std::uint8_t
  {
    Accepted,
    Full,
    TooLate,
  };

  struct Verdict
  {
    Answer answer = Answer::Accepted;
    Duration retryAfter{ 0 };
  };

  // Judges a new request; it joins only through Push.
  [[nodiscard]] Verdict Judge(const Offer& aOffer, Time aNow) const;
  // Requests that wait again after a failed attempt are not judged.
  void Push(const Offer& aOffer, Time aNow);
  bool Remove(const Waiting& aItem, state::WorkClass aClass);

  struct Next
  {
    Waiting item;
    state::WorkClass workClass = state::WorkClass::Print;
    Duration charged{ 0 };
  };
  std::optional<Next> Pop(const FairQueue::Eligible& aEligible, Time aNow);
  // A popped request did not run after all, or ran for aActual.
  void OnEnded(const TeamId& aTeam,
               state::WorkClass aClass,
               Duration aCharged,
               Duration aActual);

  [[nodiscard]] std::size_t Size() const;
  [[nodiscard]] std::size_t SizeOf(const TeamId& aTeam) const;

private:
  // Time until the request would start; empty while the rate is unknown.
  [[nodiscard]] std::optional<Duration> ExpectedWait(const Offer& aOffer,
                                                     Time aNow) const;
  [[nodiscard]] FairQueue& Of(state::WorkClass aClass);
  [[nodiscard]] const FairQueue& Of(state::WorkClass aClass) const;

  std::array<FairQueue, kClasses> classes;
  ClassOrder order;
  DrainRate rate; // of the whole service
};

} // namespace hyssoppaddle::request

#endif
