// A lease is measured from the time its renewal was sent. Measured from the
// arrival of the reply, it could outlast the period that the leader confirmed.
#include "core/RenewalTracker.h"

#include <utility>

namespace hyssoppaddle::core {

namespace {

constexpr Duration kMinRenewalInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxOutstanding = 64;

} // namespace

RenewalTracker::RenewalTracker(Duration aInterval, std::uint64_t aSeed)
  : interval(aInterval)
  , nonces(aSeed)
{
}

bool
RenewalTracker::IsDue(Time aNow) const
{
  return !this->lastSent || aNow - *this->lastSent >= this->interval;
}

bool
RenewalTracker::MaySendNow(Time aNow) const
{
  return !this->lastSent || aNow - *this->lastSent >= kMinRenewalInterval;
}

std::uint64_t
RenewalTracker::Start(Time aNow)
{
  this->lastSent = aNow;
  const std::uint64_t nonce = this->nonces.Next();
  this->outstanding.emplace(nonce, aNow);
  if (this->outstanding.size() > kMaxOutstanding) {
    this->outstanding.erase(this->outstanding.begin());
  }
  return nonce;
}

void
RenewalTracker::RecordReply(const wire::RenewReply& aReply)
{
  const auto sent = this->outstanding.find(aReply.nonce);
  if (sent == this->outstanding.end()) {
    return;
  }
  this->replies[aReply.nonce] =
    ReceivedReply{ sent->second, aReply.confirmedIndex, aReply.recalls };
  this->outstanding.erase(sent);
}

std::optional<EffectiveRenewal>
RenewalTracker::TakeEffective(agreement::LogIndex aApplied)
{
  std::optional<EffectiveRenewal> newest;
  for (auto entry = this->replies.begin(); entry != this->replies.end();) {
    if (entry->second.index > aApplied) {
      ++entry;
      continue;
    }
    newest = EffectiveRenewal{ entry->second.sentAt,
                               std::move(entry->second.recalls) };
    entry = this->replies.erase(entry);
  }
  return newest;
}

} // namespace hyssoppaddle::core
