// Applies the commands that involve several tables, and dispatches all others
// to their table.
#include "state/CommandHandler.h"

#include <memory>
#include <string>

namespace hyssoppaddle::state {

CommandHandler::CommandHandler(Tables& aTables, Context& aContext)
  : tables(aTables)
  , context(aContext)
{
}

Outcome
CommandHandler::operator()(const ProposeMember& aCommand)
{
  return this->tables.members.Propose(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const ApproveMember& aCommand)
{
  return this->tables.members.Approve(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const WithdrawApproval& aCommand)
{
  return this->tables.members.Withdraw(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const LeaveMember& aCommand)
{
  Outcome outcome = this->tables.members.Leave(aCommand, this->context);
  if (outcome.Ok()) {
    this->tables.bundles.RemoveApprovals(aCommand.member);
    this->ActivateApprovedBundle();
  }
  return outcome;
}

Outcome
CommandHandler::operator()(const ProposeBundle& aCommand)
{
  return this->tables.bundles.Propose(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const ApproveBundle& aCommand)
{
  Outcome outcome =
    this->tables.bundles.Approve(aCommand, this->tables.members, this->context);
  if (outcome.Ok() && this->ActivateApprovedBundle()) {
    outcome.detail =
      "bundle " + std::to_string(aCommand.version) + " is accepted";
  }
  return outcome;
}

bool
CommandHandler::ActivateApprovedBundle()
{
  Tables& all = this->tables;
  const std::shared_ptr<const Bundle> old = all.bundles.ActivePointer();
  if (!all.bundles.AcceptIfComplete(all.members, this->context)) {
    return false;
  }
  for (const InstanceId& instance :
       all.instances.Reconcile(*old, all.bundles.Active(), this->context)) {
    all.upstreams.Remove(instance, this->context);
  }
  all.jobs.Reconcile(*old, all.bundles, this->context);
  return true;
}

Outcome
CommandHandler::operator()(const GrantKey& aCommand)
{
  return this->tables.keys.Grant(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const WithdrawKey& aCommand)
{
  return this->tables.keys.Withdraw(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const ClaimRequest& aCommand)
{
  return this->tables.claims.Claim(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const FinishClaim& aCommand)
{
  return this->tables.claims.Finish(aCommand);
}

Outcome
CommandHandler::operator()(const SubmitJob& aCommand)
{
  return this->tables.jobs.Submit(
    aCommand, this->tables.bundles, this->context);
}

Outcome
CommandHandler::operator()(const CancelJobs& aCommand)
{
  return this->tables.jobs.Cancel(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const PlaceTask& aCommand)
{
  if (Outcome outcome = this->tables.jobs.CheckPlace(aCommand); !outcome.Ok()) {
    return outcome;
  }
  if (Outcome outcome = this->CheckInstanceFor(aCommand); !outcome.Ok()) {
    return outcome;
  }
  const JobRecord& job = *this->tables.jobs.Find(aCommand.job);
  const std::uint32_t free = this->FreeSlots(job.team);
  if (job.slots > free) {
    return Refuse(ErrorCode::Conflict,
                  "only " + std::to_string(free) + " slots of team " +
                    job.team.value + " are free");
  }
  return this->tables.jobs.Place(
    aCommand, this->tables.upstreams.BootOf(aCommand.instance), this->context);
}

Outcome
CommandHandler::CheckInstanceFor(const PlaceTask& aCommand) const
{
  const InstanceRecord* instance =
    this->tables.instances.Find(aCommand.instance);
  if (instance == nullptr) {
    return Refuse(ErrorCode::NotFound,
                  "no instance is named " + aCommand.instance.value);
  }
  const JobRecord& job = *this->tables.jobs.Find(aCommand.job);
  if (instance->pool != job.pool) {
    return Refuse(ErrorCode::Conflict,
                  "the instance is in pool " + instance->pool.value +
                    ", the job waits in pool " + job.pool.value);
  }
  const bool takesWork = instance->phase == InstancePhase::Serving ||
                         instance->phase == InstancePhase::Soaking;
  if (!takesWork || !this->tables.upstreams.IsServing(aCommand.instance)) {
    return Refuse(ErrorCode::Conflict, "the instance takes no new work");
  }
  return Accept();
}

std::uint32_t
CommandHandler::FreeSlots(const TeamId& aTeam) const
{
  const std::uint32_t limit = this->tables.bundles.LimitOf(aTeam);
  const std::uint32_t committed =
    this->tables.permits.CommittedTo(aTeam) + this->tables.jobs.SlotsOf(aTeam);
  return committed >= limit ? 0 : limit - committed;
}

Outcome
CommandHandler::operator()(const StopTask& aCommand)
{
  return this->tables.jobs.Stop(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const ReportTasks& aCommand)
{
  return this->tables.jobs.Report(
    aCommand, this->tables.upstreams.BootOf(aCommand.instance), this->context);
}

Outcome
CommandHandler::operator()(const EndTask& aCommand)
{
  return this->tables.jobs.End(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const EndJob& aCommand)
{
  return this->tables.jobs.EndWaiting(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const UpdateUpstream& aCommand)
{
  const Announcement& announcement = aCommand.announcement;
  if (this->tables.instances.Find(announcement.instance) == nullptr) {
    return Refuse(ErrorCode::NotFound,
                  "the accepted bundle lists no instance " +
                    announcement.instance.value);
  }
  if (this->tables.bundles.FindService(announcement.service) == nullptr) {
    return Refuse(ErrorCode::NotFound,
                  "the accepted bundle lists no service " +
                    announcement.service.value);
  }
  if (announcement.state == UpstreamState::Silent) {
    return Refuse(ErrorCode::InvalidArgument,
                  "an upstream announces itself as serving or departing");
  }
  const bool isNewBoot =
    this->tables.upstreams.BootOf(announcement.instance) != announcement.boot;
  Outcome outcome = this->tables.upstreams.Update(announcement, this->context);
  if (outcome.Ok() && !outcome.repeated) {
    this->tables.instances.OnAnnouncement(
      announcement, isNewBoot, this->context);
    if (isNewBoot) {
      this->tables.jobs.EndTasksOfEarlierBoots(
        announcement.instance, announcement.boot, this->context);
    }
  }
  return outcome;
}

Outcome
CommandHandler::operator()(const MarkUpstreamSilent& aCommand)
{
  Outcome outcome = this->tables.upstreams.MarkSilent(aCommand, this->context);
  if (outcome.Ok() && !outcome.repeated) {
    this->tables.instances.OnSilent(aCommand.instance, this->context);
    this->RemoveUpstreamWithoutInstance(aCommand.instance);
  }
  return outcome;
}

Outcome
CommandHandler::operator()(const SetInstancePhase& aCommand)
{
  Outcome outcome = this->tables.instances.SetPhase(
    aCommand,
    this->tables.bundles,
    this->tables.upstreams.BootOf(aCommand.instance),
    this->context);
  if (outcome.Ok()) {
    this->RemoveUpstreamWithoutInstance(aCommand.instance);
  }
  return outcome;
}

void
CommandHandler::RemoveUpstreamWithoutInstance(const InstanceId& aInstance)
{
  if (this->tables.instances.Find(aInstance) == nullptr) {
    this->tables.upstreams.Remove(aInstance, this->context);
  }
}

Outcome
CommandHandler::operator()(const MoveInstance& aCommand)
{
  return this->tables.instances.Move(
    aCommand, this->tables.bundles, this->context);
}

Outcome
CommandHandler::operator()(const RequestInstanceAction& aCommand)
{
  return this->tables.instances.Request(
    aCommand, this->tables.bundles, this->context);
}

Outcome
CommandHandler::operator()(const SetWave& aCommand)
{
  return this->tables.waves.Set(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const RegisterEntry& aCommand)
{
  return this->tables.permits.Register(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const GrantPermits& aCommand)
{
  return this->tables.permits.Grant(
    aCommand, this->FreeSlots(aCommand.team), this->context);
}

Outcome
CommandHandler::operator()(const ReturnPermits& aCommand)
{
  return this->tables.permits.Return(aCommand, this->context);
}

Outcome
CommandHandler::operator()(const ReclaimPermits& aCommand)
{
  return this->tables.permits.Reclaim(aCommand, this->context);
}

} // namespace hyssoppaddle::state
