// Claim bookkeeping between the request life cycle and the replicated log.
#include "request/ClaimTracker.h"

#include <algorithm>

namespace hyssoppaddle::request {

ClaimTracker::ClaimTracker(const state::FleetState& aView, InstanceId aSelf)
  : view(&aView)
  , self(std::move(aSelf))
{
}

void
ClaimTracker::AddOwner(const state::ClaimKey& aKey)
{
  ++this->owners[aKey];
}

void
ClaimTracker::RemoveOwner(const state::ClaimKey& aKey)
{
  const auto owner = this->owners.find(aKey);
  if (owner != this->owners.end() && --owner->second == 0) {
    this->owners.erase(owner);
  }
}

void
ClaimTracker::OnRequested(RequestNumber aRequest, const state::ClaimKey& aKey)
{
  this->pending.emplace(aRequest, Pending{ aKey });
  this->AddOwner(aKey);
}

void
ClaimTracker::OnAbandoned(RequestNumber aRequest)
{
  const auto found = this->pending.find(aRequest);
  if (found != this->pending.end()) {
    found->second.abandoned = true;
  }
}

ClaimTracker::ClaimResult
ClaimTracker::OnDecided(const ClaimDecided& aEvent, Time aNow)
{
  const auto found = this->pending.find(aEvent.request);
  if (found == this->pending.end()) {
    return {};
  }
  const Pending claim = std::move(found->second);
  this->pending.erase(found);
  const state::Outcome& outcome = aEvent.outcome;
  const bool granted =
    aEvent.reached && outcome.Ok() && outcome.claim && outcome.claim->granted;
  if (granted) {
    this->held.emplace(aEvent.request,
                       Held{ claim.key, outcome.claim->attempt });
    if (claim.abandoned) {
      return { Decision::Ignored,
               this->Finish(aEvent.request, state::ClaimState::NotRun, 0) };
    }
    return { Decision::Granted, std::nullopt };
  }
  this->RemoveOwner(claim.key);
  if (!aEvent.reached && aEvent.unknown) {
    this->orphans.push_back({ claim.key, aNow + kOrphanLifetime });
  }
  if (claim.abandoned) {
    return {};
  }
  return { aEvent.reached ? Decision::NotGranted : Decision::Lost,
           std::nullopt };
}

std::optional<state::FinishClaim>
ClaimTracker::Finish(RequestNumber aRequest,
                     state::ClaimState aState,
                     std::uint32_t aStatus)
{
  const auto found = this->held.find(aRequest);
  if (found == this->held.end()) {
    return std::nullopt;
  }
  const Held claim = std::move(found->second);
  this->held.erase(found);
  const state::FinishClaim finish{
    claim.key.team, claim.key.idempotencyKey, aState, aStatus, claim.attempt
  };
  this->unconfirmedFinishes.push_back({ finish, std::nullopt });
  return finish;
}

std::vector<state::FinishClaim>
ClaimTracker::Sweep(Time aNow)
{
  std::vector<state::FinishClaim> finishes;
  this->SweepUnconfirmed(aNow, finishes);
  this->SweepOrphans(aNow, finishes);
  return finishes;
}

void
ClaimTracker::SweepOrphans(Time aNow,
                           std::vector<state::FinishClaim>& aFinishes)
{
  const std::size_t count = std::min(this->orphans.size(), kMaxPerSweep);
  for (std::size_t done = 0; done < count; ++done) {
    const Orphan orphan = std::move(this->orphans.front());
    this->orphans.pop_front();
    if (auto end = this->FinishForOrphan(orphan.key)) {
      this->AddOwner(orphan.key);
      this->unconfirmedFinishes.push_back({ *end, aNow });
      aFinishes.push_back(std::move(*end));
    } else if (aNow < orphan.until) {
      this->orphans.push_back(orphan);
    }
  }
}

void
ClaimTracker::SweepUnconfirmed(Time aNow,
                               std::vector<state::FinishClaim>& aFinishes)
{
  const std::size_t count =
    std::min(this->unconfirmedFinishes.size(), kMaxPerSweep);
  for (std::size_t done = 0; done < count; ++done) {
    UnconfirmedFinish unconfirmed =
      std::move(this->unconfirmedFinishes.front());
    this->unconfirmedFinishes.pop_front();
    if (this->IsConfirmed(unconfirmed.finish)) {
      this->RemoveOwner(
        { unconfirmed.finish.team, unconfirmed.finish.idempotencyKey });
      continue;
    }
    unconfirmed.sentAt = unconfirmed.sentAt.value_or(aNow);
    if (aNow - *unconfirmed.sentAt >= kFinishResendInterval) {
      unconfirmed.sentAt = aNow;
      aFinishes.push_back(unconfirmed.finish);
    }
    this->unconfirmedFinishes.push_back(std::move(unconfirmed));
  }
}

bool
ClaimTracker::IsConfirmed(const state::FinishClaim& aFinish) const
{
  const auto record =
    this->view->Claims().find({ aFinish.team, aFinish.idempotencyKey });
  return record == this->view->Claims().end() ||
         record->second.attempt != aFinish.attempt ||
         record->second.state != state::ClaimState::Running;
}

std::optional<state::FinishClaim>
ClaimTracker::FinishForOrphan(const state::ClaimKey& aKey) const
{
  const auto record = this->view->Claims().find(aKey);
  if (record == this->view->Claims().end() ||
      record->second.entry != this->self ||
      record->second.state != state::ClaimState::Running ||
      this->owners.contains(aKey)) {
    return std::nullopt;
  }
  return state::FinishClaim{ aKey.team,
                             aKey.idempotencyKey,
                             state::ClaimState::NotRun,
                             0,
                             record->second.attempt };
}

} // namespace hyssoppaddle::request
