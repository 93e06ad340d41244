// Lease renewal, linearizable reads that a majority confirms, and registration
// of this entry instance with its boot.
#include "core/ReducerImpl.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::core {

namespace {

constexpr Duration kReadTimeout = std::chrono::seconds(5);
constexpr Duration kRegistrationRetryInterval = std::chrono::seconds(2);

} // namespace

wire::RenewRequest
Reducer::Impl::MakeRenewRequest(std::uint64_t aNonce) const
{
  wire::RenewRequest renewRequest;
  renewRequest.nonce = aNonce;
  renewRequest.boot = this->options.boot;
  renewRequest.appliedIndex = this->appliedIndex;
  renewRequest.bundleVersion = this->state.ActiveBundle().version;
  renewRequest.demand = this->requests.Demand();
  return renewRequest;
}

void
Reducer::Impl::RenewLeases()
{
  if (this->renewals.IsDue(this->now)) {
    this->SendRenewal();
  }
}

void
Reducer::Impl::SendRenewal()
{
  if (this->leader.empty()) {
    return;
  }
  const wire::RenewRequest renewRequest =
    this->MakeRenewRequest(this->renewals.Start(this->now));
  if (this->isLeader) {
    this->On(this->options.self, renewRequest);
  } else {
    this->SendTo(this->leader, renewRequest);
  }
}

void
Reducer::Impl::On(const InstanceId& aFrom, const wire::RenewRequest& aMessage)
{
  if (!this->isLeader) {
    return;
  }
  this->RecordContact(aFrom, aMessage);
  this->renewalBatch.push_back({ aFrom, aMessage.nonce });
  this->pendingEvents.emplace_back(planner::Event(
    planner::EntryRenewed{ aFrom, aMessage.boot, aMessage.demand }));
}

void
Reducer::Impl::RecordContact(const InstanceId& aEntry,
                             const wire::RenewRequest& aRequest)
{
  EntryContact& contact = this->contacts[aEntry];
  contact.lastHeard = this->now;
  contact.appliedIndex = aRequest.appliedIndex;
  contact.bundleVersion = aRequest.bundleVersion;
}

void
Reducer::Impl::FlushRenewalBatch()
{
  if (!this->isLeader || this->renewalBatch.empty()) {
    return;
  }
  const std::uint64_t token = this->nextReadToken++;
  this->unconfirmedRenewals.emplace(token,
                                    std::exchange(this->renewalBatch, {}));
  this->pendingEvents.emplace_back(
    agreement::Event(agreement::ReadRequest{ token }));
  this->ProcessPendingEvents();
}

void
Reducer::Impl::On(const InstanceId& /*aFrom*/, const wire::RenewReply& aMessage)
{
  const auto read = this->readsByNonce.find(aMessage.nonce);
  if (read != this->readsByNonce.end()) {
    this->unappliedReads.push_back({ aMessage.confirmedIndex, read->second });
    this->readsByNonce.erase(read);
  }
  this->renewals.RecordReply(aMessage);
  this->ApplyRenewals();
  this->CompleteAppliedReads();
}

void
Reducer::Impl::ApplyRenewals()
{
  std::optional<EffectiveRenewal> renewal =
    this->renewals.TakeEffective(this->appliedIndex);
  // An instance whose boot is not registered holds no permits and has no record
  // in the state, so its renewals must not take effect.
  if (!renewal || !this->IsRegistered()) {
    return;
  }
  request::LeasesRenewed event;
  event.sentAt = renewal->sentAt;
  for (const wire::TeamDemand& recall : renewal->recalls) {
    event.recalls.emplace_back(recall.team, recall.inUse);
  }
  this->pendingEvents.emplace_back(request::Event(std::move(event)));
}

void
Reducer::Impl::On(const ReadRequested& aEvent)
{
  this->readDeadlines.emplace(this->now + kReadTimeout, aEvent.token);
  this->openReads.insert(aEvent.token);
  if (this->isLeader) {
    const std::uint64_t token = this->nextReadToken++;
    this->readsByToken.emplace(token, aEvent.token);
    this->pendingEvents.emplace_back(
      agreement::Event(agreement::ReadRequest{ token }));
    return;
  }
  if (this->leader.empty()) {
    return; // ExpireReads() ends it at its deadline
  }
  const std::uint64_t nonce = this->renewals.Start(this->now);
  this->readsByNonce.emplace(nonce, aEvent.token);
  this->SendTo(this->leader, this->MakeRenewRequest(nonce));
}

void
Reducer::Impl::CompleteAppliedReads()
{
  const auto isReady = [this](const PendingRead& aRead) {
    return aRead.index <= this->appliedIndex;
  };
  for (const PendingRead& read : this->unappliedReads) {
    if (isReady(read) && this->openReads.erase(read.token) > 0) {
      this->effects.emplace_back(ReadDecided{ read.token, true });
    }
  }
  std::erase_if(this->unappliedReads, isReady);
}

void
Reducer::Impl::ExpireReads()
{
  const auto end = this->readDeadlines.upper_bound(this->now);
  for (auto read = this->readDeadlines.begin(); read != end; ++read) {
    const std::uint64_t token = read->second;
    if (this->openReads.erase(token) == 0) {
      continue;
    }
    const auto isSame = [token](const auto& aEntry) {
      return aEntry.second == token;
    };
    std::erase_if(this->readsByNonce, isSame);
    std::erase_if(this->readsByToken, isSame);
    std::erase_if(this->unappliedReads, [token](const PendingRead& aRead) {
      return aRead.token == token;
    });
    this->effects.emplace_back(ReadDecided{ token, false });
  }
  this->readDeadlines.erase(this->readDeadlines.begin(), end);
}

bool
Reducer::Impl::IsRegistered() const
{
  const auto entry = this->state.Entries().find(this->options.self);
  return entry != this->state.Entries().end() &&
         entry->second.boot == this->options.boot;
}

void
Reducer::Impl::RegisterSelf()
{
  const bool isWaiting =
    this->registrationSentAt &&
    this->now - *this->registrationSentAt < kRegistrationRetryInterval;
  if (this->leader.empty() || this->stopping || isWaiting ||
      this->IsRegistered()) {
    return;
  }
  this->registrationSentAt = this->now;
  state::Command command;
  command.body = state::RegisterEntry{ this->options.self, this->options.boot };
  this->Submit(Origin{}, std::move(command));
  this->ProcessPendingEvents();
}

} // namespace hyssoppaddle::core
