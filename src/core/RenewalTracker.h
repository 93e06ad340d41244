// Lease renewals of this entry instance: when to send one, and when its reply
// takes effect.
#ifndef hyssoppaddle_core_RenewalTracker_h
#define hyssoppaddle_core_RenewalTracker_h

#include "agreement/LogEntry.h"
#include "base/Time.h"
#include "base/TokenSequence.h"
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
  // aSeed must differ from that of every earlier process of this instance: the
  // reply to one of their renewals must not extend a lease that is measured
  // from a later time.
  RenewalTracker(Duration aInterval, std::uint64_t aSeed);

  // True when the regular interval has passed since the last renewal was sent.
  [[nodiscard]] bool IsDue(Time aNow) const;
  // True when an unscheduled renewal is allowed. This limits RenewNow to one
  // renewal every 20 ms.
  [[nodiscard]] bool MaySendNow(Time aNow) const;

  // Starts a renewal and returns its nonce. Its lease is measured from aNow.
  std::uint64_t Start(Time aNow);

  // Records a reply of the leader. Unknown nonces, which come from an earlier
  // leader, from a repeated reply or from a renewal of an earlier process, are
  // ignored.
  void RecordReply(const wire::RenewReply& aReply);

  // Returns the newest renewal whose index has been applied here; each renewal
  // is returned at most once.
  std::optional<EffectiveRenewal> TakeEffective(agreement::LogIndex aApplied);

private:
  struct ReceivedReply
  {
    Time sentAt;
    agreement::LogIndex index = 0;
    std::vector<wire::TeamDemand> recalls;
  };

  Duration interval;
  std::optional<Time> lastSent;
  TokenSequence nonces;
  // Renewals without a reply: at most kMaxOutstanding, the oldest is dropped.
  std::map<std::uint64_t, Time> outstanding;
  // Replies whose index has not been applied here yet, by nonce.
  std::map<std::uint64_t, ReceivedReply> replies;
};

} // namespace hyssoppaddle::core

#endif
