// Renewals of this entry instance's leases: when to send one, and when its
// answer takes effect.
#ifndef hyssoppaddle_core_RenewalTracker_h
#define hyssoppaddle_core_RenewalTracker_h

#include "agreement/LogEntry.h"
#include "base/Time.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hyssoppaddle::core {

struct EffectiveRenewal
{
  Time sentAt;
  std::vector<wire::TeamDemand> recalls;
};

class RenewalTracker
{
public:
  explicit RenewalTracker(Duration aInterval);

  // True when the regular interval has passed since the last one was sent.
  [[nodiscard]] bool IsDue(Time aNow) const;
  // True when a renewal out of turn is allowed; it limits RenewNow to one per
  // 20 ms.
  [[nodiscard]] bool MaySendNow(Time aNow) const;

  // Starts a renewal and returns its nonce. The lease counts from aNow.
  std::uint64_t Start(Time aNow);

  // The leader answered. Unknown nonces (of an earlier leader, or answered
  // already) are ignored.
  void Answered(const wire::RenewReply& aReply);

  // The newest renewal whose index is applied here; each is returned once.
  std::optional<EffectiveRenewal> TakeEffective(agreement::LogIndex aApplied);

private:
  struct Answer
  {
    Time sentAt;
    agreement::LogIndex index = 0;
    std::vector<wire::TeamDemand> recalls;
  };

  Duration interval;
  std::optional<Time> lastSent;
  std::uint64_t nextNonce = 1;
  // Sent and unanswered; at most kMaxOutstanding, the oldest are dropped.
  std::map<std::uint64_t, Time> outstanding;
  // Answered, not yet applied, by nonce.
  std::map<std::uint64_t, Answer> answered;
};

} // namespace hyssoppaddle::core

#endif
