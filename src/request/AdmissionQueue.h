// Queued requests of one service: a bounded queue per team, divided into three
// work classes. A request that cannot meet its deadline at the measured service
// rate is rejected on arrival instead of expiring in the queue.
#ifndef hyssoppaddle_request_AdmissionQueue_h
#define hyssoppaddle_request_AdmissionQueue_h

#include "request/ClassOrder.h"
#include "request/DrainRate.h"
#include "request/FairQueue.h"

#include <array>
#include <cstdint>
#include <optional>

namespace hyssoppaddle::request {

struct AdmissionRequest
{
  QueuedRequest item;
  state::WorkClass workClass = state::WorkClass::Print;
  std::uint32_t share = 1;
  std::uint32_t queueLimit = 0; // maximum number of queued requests of the team
};

class AdmissionQueue
{
public:
  enum class AdmissionResult : std::uint8_t
  {
    Accepted,
    Full,
    TooLate,
  };

  struct Verdict
  {
    AdmissionResult result = AdmissionResult::Accepted;
    Duration retryAfter{ 0 };
  };

  // Decides whether a new request may be queued. Does not queue it; Push does.
  [[nodiscard]] Verdict Evaluate(const AdmissionRequest& aAdmission,
                                 Time aNow) const;
  // Queues a request. A request that is queued again after a failed attempt is
  // not evaluated again.
  void Push(const AdmissionRequest& aAdmission, Time aNow);
  bool Remove(const QueuedRequest& aItem, state::WorkClass aClass);

  struct Next
  {
    QueuedRequest item;
    state::WorkClass workClass = state::WorkClass::Print;
    Duration charged{ 0 };
  };
  std::optional<Next> Pop(const FairQueue::Eligible& aEligible, Time aNow);
  // Corrects the charge of a popped request, whether it ran or not, to aActual,
  // the time for which it held its slot.
  void OnEnded(const TeamId& aTeam,
               state::WorkClass aClass,
               Duration aCharged,
               Duration aActual);

  [[nodiscard]] std::size_t Size() const;
  [[nodiscard]] std::size_t SizeOf(const TeamId& aTeam) const;

private:
  // Expected time until the request starts; empty while the rate is unknown.
  [[nodiscard]] std::optional<Duration> ExpectedWait(
    const AdmissionRequest& aAdmission,
    Time aNow) const;
  [[nodiscard]] FairQueue& QueueFor(state::WorkClass aClass);
  [[nodiscard]] const FairQueue& QueueFor(state::WorkClass aClass) const;

  std::array<FairQueue, kClassCount> classes;
  ClassOrder order;
  DrainRate rate; // of the whole service
};

} // namespace hyssoppaddle::request

#endif
