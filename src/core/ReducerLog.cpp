// Handles the effects of agreement: sends messages, writes storage and applies
// committed commands to the state.
#include "core/ReducerImpl.h"
#include "wire/Codec.h"

#include <utility>

namespace hyssoppaddle::core {

void
Reducer::Impl::Run(agreement::Effects aEffects)
{
  for (agreement::Effect& effect : aEffects) {
    std::visit([this](auto& aConcrete) { this->Run(aConcrete); }, effect);
  }
}

void
Reducer::Impl::Run(agreement::SendMessage& aEffect)
{
  this->SendTo(aEffect.to, wire::RaftMessage{ std::move(aEffect.message) });
}

void
Reducer::Impl::Run(agreement::Persist& aEffect)
{
  this->effects.emplace_back(WriteStorage{ std::move(aEffect) });
}

void
Reducer::Impl::Run(agreement::ApplyEntries& aEffect)
{
  state::Changes changes;
  for (const agreement::LogEntry& entry : aEffect.entries) {
    this->Apply(entry, changes);
  }
  this->AfterApply(std::move(changes));
}

void
Reducer::Impl::Apply(const agreement::LogEntry& aEntry,
                     state::Changes& aChanges)
{
  this->appliedIndex = aEntry.index;
  state::Outcome outcome;
  if (aEntry.kind == agreement::EntryKind::Command) {
    const Result<state::Command> command = wire::DecodeCommand(aEntry.payload);
    if (command.has_value()) {
      outcome = this->state.Apply(*command, &aChanges);
    } else {
      // Every replica rejects the same payload, so the states stay identical.
      outcome.error = command.error();
    }
  }
  if (this->isLeader) {
    this->submissions.RecordApplied(aEntry.index, outcome);
  }
}

void
Reducer::Impl::AfterApply(state::Changes aChanges)
{
  for (const JobId& job : aChanges.jobs) {
    const auto record = this->state.Jobs().find(job);
    this->taskLeaseAges.Update(
      job,
      record == this->state.Jobs().end() ? nullptr : &record->second,
      this->now);
  }
  if (this->isLeader) {
    for (const InstanceId& instance : aChanges.upstreams) {
      const auto found = this->state.Upstreams().find(instance);
      if (found != this->state.Upstreams().end() &&
          found->second.state != state::UpstreamState::Silent) {
        this->liveness.Accept(found->second.announcement);
      }
    }
    this->pendingEvents.emplace_back(
      planner::Event(planner::StateChanged{ aChanges }));
  }
  this->pendingEvents.emplace_back(
    request::Event(request::ViewChanged{ std::move(aChanges) }));
  for (const DecidedSubmission& decided : this->submissions.TakeDecided()) {
    this->Decide(decided.submission, decided.outcome);
  }
  this->DecideHeldSubmissions();
  this->ApplyRenewals();
  this->CompleteAppliedReads();
}

state::Changes
Reducer::Impl::AllChanges() const
{
  state::Changes changes;
  changes.bundle = true;
  changes.members = true;
  changes.keys = true;
  changes.waves = true;
  for (const auto& [instance, record] : this->state.Upstreams()) {
    changes.upstreams.push_back(instance);
  }
  for (const auto& [instance, record] : this->state.Instances()) {
    changes.instances.push_back(instance);
  }
  for (const auto& [job, record] : this->state.Jobs()) {
    changes.jobs.push_back(job);
  }
  for (const auto& [entry, record] : this->state.Entries()) {
    changes.entries.push_back(entry);
  }
  return changes;
}

void
Reducer::Impl::Run(agreement::RestoreSnapshot& aEffect)
{
  if (!this->state.Restore(aEffect.bytes).has_value()) {
    // The checksum of the transfer was valid, so another version wrote the
    // snapshot. This instance keeps its old view until its leases expire.
    return;
  }
  this->appliedIndex = aEffect.meta.index;
  this->AfterApply(this->AllChanges());
}

void
Reducer::Impl::Run(agreement::TakeSnapshot& aEffect)
{
  this->effects.emplace_back(
    SaveSnapshot{ aEffect.meta, this->state.Snapshot() });
}

void
Reducer::Impl::Run(agreement::ProposalCommitted& aEffect)
{
  this->submissions.RecordCommitted(aEffect.token, aEffect.index);
  for (const DecidedSubmission& decided : this->submissions.TakeDecided()) {
    this->Decide(decided.submission, decided.outcome);
  }
}

void
Reducer::Impl::Run(agreement::ProposalFailed& aEffect)
{
  if (std::optional<Submission> submission =
        this->submissions.Take(aEffect.token)) {
    this->Retry(std::move(*submission), aEffect.unknown);
  }
}

void
Reducer::Impl::Run(agreement::ReadReady& aEffect)
{
  const auto batch = this->unconfirmedRenewals.find(aEffect.token);
  if (batch != this->unconfirmedRenewals.end()) {
    for (const PendingRenewal& renewal : batch->second) {
      wire::RenewReply reply{ renewal.nonce,
                              aEffect.index,
                              this->planner.Recalls(renewal.entry) };
      if (renewal.entry == this->options.self) {
        this->On(this->options.self, reply);
      } else {
        this->SendTo(renewal.entry, std::move(reply));
      }
    }
    this->unconfirmedRenewals.erase(batch);
  }
  const auto read = this->readsByToken.find(aEffect.token);
  if (read != this->readsByToken.end()) {
    this->unappliedReads.push_back({ aEffect.index, read->second });
    this->readsByToken.erase(read);
    this->CompleteAppliedReads();
  }
}

void
Reducer::Impl::Run(agreement::ReadFailed& aEffect)
{
  // Senders repeat their renewals; reads end at their deadline.
  this->unconfirmedRenewals.erase(aEffect.token);
  this->readsByToken.erase(aEffect.token);
}

void
Reducer::Impl::Run(agreement::RoleChanged& aEffect)
{
  const bool wasLeader = this->isLeader;
  this->isLeader = aEffect.role == agreement::Role::Leader;
  this->leader = aEffect.leader;
  this->effects.emplace_back(
    LeaderChanged{ this->leader, aEffect.term, this->isLeader });
  if (this->isLeader && !wasLeader) {
    this->StartLiveness();
    this->contacts.clear();
    this->pendingEvents.emplace_back(planner::Event(planner::BecameLeader{}));
  }
  if (!this->isLeader && wasLeader) {
    this->submissions.ClearUnmatched();
    this->liveness.Clear();
    this->renewalBatch.clear();
    this->unconfirmedRenewals.clear();
    // Called directly: ProcessPendingEvents() drops planner events on instances
    // that are not the leader.
    this->Run(
      this->planner.Step(planner::LostLeadership{}, this->now, this->wallNow));
  }
  if (this->leader.empty()) {
    return;
  }
  this->watch.QueueAll();
  for (Submission& submission : this->submissions.TakeParked()) {
    this->Submit(std::move(submission));
  }
}

} // namespace hyssoppaddle::core
