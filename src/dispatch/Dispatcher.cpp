// Leadership, committed commands and the job views derived from them.
#include "dispatch/Dispatcher.h"

#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

Dispatcher::Dispatcher(Options aOptions, const work::WorkState& aState)
  : options(std::move(aOptions))
  , state(aState)
{
}

void
Dispatcher::BecomeLeader(std::uint64_t aTerm, Time aNow, WallTime aWall)
{
  this->LoseLeadership();
  this->term = aTerm;
  this->now = aNow;
  this->wall = aWall;
  this->electedAt = aNow;
  this->AdoptRuns();
  this->RefreshAllViews();
  this->LogDecision("leadership_gained",
                    {},
                    { { "term", Text(aTerm) },
                      { "upstreams", Text(this->sessions.size()) },
                      { "jobs", Text(this->views.size()) } });
}

void
Dispatcher::LoseLeadership()
{
  this->term = 0;
  this->output = {};
  this->sessions.clear();
  this->bootCounts.clear();
  this->views.clear();
  this->used.clear();
  this->waitingForLimit.clear();
  this->orders.clear();
  this->pendingAnnouncements.clear();
  this->failedOn.clear();
  this->proposedStarts.clear();
  this->dirtyServices.clear();
  this->plannedAt.clear();
  this->cutShort.clear();
  this->unfinishedPlans.clear();
  this->startWindow = {};
  this->isHeldBack = false;
  this->nextPassAt = {};
  this->fleetCapacities.clear();
  this->fleetChanged = false;
  this->hasImpossibleJobs = false;
  this->tickets.Clear();
  this->owner = {};
  this->forecast = {};
  this->turns = {};
  this->recentLoads.clear();
  this->recentPools.clear();
  this->poolsMeasuredAt = {};
  this->runMeter = {};
  this->runWatch = {};
  this->interference = {};
  this->secondRunsWanted.clear();
}

// Every recorded run may be executing, because an earlier leader may have sent
// its start.
void
Dispatcher::AdoptRuns()
{
  const Time floor =
    this->electedAt + this->options.LongestLease() + kDeposedLeaderWindow;
  for (const auto& [id, record] : this->state.Tables().upstreams) {
    UpstreamSession session(
      record, LeaseClock(floor, this->options.LongestLease()), this->now);
    session.dataCentreEvacuating = this->state.IsEvacuating(record.dataCentre);
    this->sessions.emplace(id, std::move(session));
    this->CountBoot(id, record.boot);
  }
  for (const auto& [id, job] : this->state.Tables().jobs) {
    for (std::uint32_t k = 0; k < job.tasks.size(); ++k) {
      for (std::uint32_t s = 0; s < job.tasks[k].size(); ++s) {
        for (std::uint32_t i = 0; i < job.tasks[k][s].size(); ++i) {
          for (const work::Run& run : job.tasks[k][s][i].runs) {
            LiveRun live = DescribeRun(job, { id, k, s, i }, run);
            live.phase = RunPhase::Unanswered;
            live.phaseSince = this->now;
            live.progressAt = this->now;
            const work::Task& task = job.tasks[k][s][i];
            live.stopping = job.IsFinal() || task.done;
            live.isSecond = &run != &task.runs.front();
            this->AddRun(run.upstream, { { id, k, s, i }, run.number }, live);
          }
        }
      }
    }
  }
}

void
Dispatcher::AddRun(const InstanceId& aUpstream,
                   const RunKey& aKey,
                   LiveRun aRun)
{
  UpstreamSession* session = this->FindSession(aUpstream);
  if (session == nullptr) {
    return; // the batch that removes the upstream also ends the run
  }
  session->CountRun(aRun, 1);
  this->used[aRun.workspace] += aRun.size;
  session->runs[aKey] = std::move(aRun);
}

void
Dispatcher::DropRun(const InstanceId& aUpstream, const RunKey& aKey)
{
  const UpstreamSession* session = this->FindSession(aUpstream);
  if (session == nullptr || !session->runs.contains(aKey)) {
    return;
  }
  // The limit of a workspace covers its runs in all services.
  const auto waiting =
    this->waitingForLimit.extract(session->runs.at(aKey).workspace);
  if (!waiting.empty()) {
    this->dirtyServices.insert(waiting.mapped().begin(),
                               waiting.mapped().end());
  }
  this->dirtyServices.insert(session->record.service);
  this->WithdrawRun(aUpstream, aKey);
}

void
Dispatcher::WithdrawRun(const InstanceId& aUpstream, const RunKey& aKey)
{
  UpstreamSession* session = this->FindSession(aUpstream);
  if (session == nullptr) {
    return;
  }
  const auto found = session->runs.find(aKey);
  if (found == session->runs.end()) {
    return;
  }
  const LiveRun& run = found->second;
  session->CountRun(run, -1);
  this->used[run.workspace] -= run.size;
  session->runs.erase(found);
}

UpstreamSession*
Dispatcher::FindSession(const InstanceId& aId)
{
  const auto found = this->sessions.find(aId);
  return found == this->sessions.end() ? nullptr : &found->second;
}

const work::Job*
Dispatcher::FindJob(const JobId& aId) const
{
  return this->state.FindJob(aId);
}

Destination
Dispatcher::DestinationOf(const InstanceId& aId,
                          const UpstreamSession& aSession) const
{
  return { aId, aSession.record.address, this->FenceOf(aId) };
}

void
Dispatcher::LogDecision(
  std::string_view aKind,
  std::string aJob,
  std::vector<std::pair<std::string_view, std::string>> aFields)
{
  this->output.decisions.push_back(
    { aKind, std::move(aJob), std::move(aFields) });
}

void
Dispatcher::Applied(const work::Batch& aBatch,
                    std::span<const work::Verdict> aVerdicts,
                    Time aNow,
                    WallTime aWall)
{
  for (const work::Command& command : aBatch.commands) {
    const auto* order = std::get_if<work::OrderInstance>(&command);
    if (order != nullptr) {
      this->history.RecordOrder(order->instance, aNow);
    }
  }
  if (!this->Leads()) {
    return;
  }
  this->now = aNow;
  this->wall = aWall;
  std::set<JobId> touched;
  std::vector<JobId> accepted;
  for (std::size_t i = 0; i < aBatch.commands.size(); ++i) {
    std::visit(
      [&](const auto& aConcrete) {
        using T = std::decay_t<decltype(aConcrete)>;
        if constexpr (std::is_same_v<T, work::StartRun> ||
                      std::is_same_v<T, work::EndRun>) {
          touched.insert(aConcrete.task.job);
        } else if constexpr (std::is_same_v<T, work::SubmitJob> ||
                             std::is_same_v<T, work::CancelJob>) {
          touched.insert(aConcrete.id);
        }
        if constexpr (std::is_same_v<T, work::SubmitJob>) {
          if (!this->views.contains(aConcrete.id)) {
            accepted.push_back(aConcrete.id); // not a resubmission
          }
        }
        this->On(aConcrete, aVerdicts[i]);
      },
      aBatch.commands[i]);
  }
  for (const JobId& id : touched) {
    const work::Job* job = this->FindJob(id);
    if (job != nullptr && job->IsFinal()) {
      this->StopAllRuns(id, "job ended"); // stop its remaining runs
    }
    this->RefreshView(id);
  }
  for (const JobId& id : accepted) {
    if (const auto view = this->views.find(id); view != this->views.end()) {
      this->forecast.AddJob(view->second.service,
                            CoresOf(view->second),
                            ChainOf(view->second),
                            aNow);
      const auto recent = this->recentLoads.find(view->second.service);
      if (recent != this->recentLoads.end() && !view->second.longRunning) {
        recent->second.load.backlog += view->second.possibleWork;
      }
    }
  }
}

void
Dispatcher::On(const work::SetSetup& aCommand, work::Verdict aVerdict)
{
  if (aVerdict != work::Verdict::Done) {
    return;
  }
  this->RefreshAllViews();
  // The setup can end jobs that have runs.
  for (const auto& [id, job] : this->state.Tables().jobs) {
    if (job.IsFinal() && !job.tasks.empty()) {
      this->StopAllRuns(id, "job ended");
    }
  }
  const auto withoutQueue =
    std::count_if(this->views.begin(),
                  this->views.end(),
                  [](const auto& aItem) { return !aItem.second.hasQueue; });
  this->LogDecision("setup_in_force",
                    {},
                    { { "version", Text(aCommand.setup.version) },
                      { "queues", Text(aCommand.setup.queues.size()) },
                      { "jobs_without_queue", Text(withoutQueue) } });
}

void
Dispatcher::On(const work::SubmitJob& aCommand, work::Verdict /*aVerdict*/)
{
  // A job that was known already may have expired with this batch.
  const work::Job* job = this->FindJob(aCommand.id);
  this->LogDecision(
    "job_accepted",
    aCommand.id.value,
    { { "queue", aCommand.queue.value },
      { "workspace", aCommand.workspace.value },
      { "steps", Text(aCommand.spec.steps.size()) },
      // Cancelled if its cancel was committed first.
      { "state", job == nullptr ? "unknown" : std::string(Text(job->state)) },
      { "setup", Text(this->state.CurrentSetup().version) } });
}

void
Dispatcher::On(const work::CancelJob& aCommand, work::Verdict aVerdict)
{
  this->LogDecision(
    "job_cancelled",
    aCommand.id.value,
    { { "known", aVerdict == work::Verdict::Done ? "yes" : "no" } });
}

void
Dispatcher::On(const work::StartRun& aCommand, work::Verdict aVerdict)
{
  const RunKey key{ aCommand.task, aCommand.run.number };
  this->proposedStarts.erase(aCommand.task);
  UpstreamSession* session = this->FindSession(aCommand.run.upstream);
  const bool known = session != nullptr && session->runs.contains(key);
  if (aVerdict != work::Verdict::Done) {
    this->DropRun(aCommand.run.upstream, key);
    const work::Job* job = this->FindJob(aCommand.task.job);
    if (job != nullptr && !job->IsFinal() &&
        job->spec.steps[aCommand.task.step].gang) {
      this->StopGang(aCommand.task); // the others would wait for it in vain
    }
    return;
  }
  if (!known) {
    // The upstream changed before the command was committed.
    this->ProposeEnd(aCommand.run.upstream,
                     key,
                     work::EndKind::NotStarted,
                     EndEvidence::NotSent);
    return;
  }
  if (session->runs[key].stopping) {
    this->ProposeEnd(aCommand.run.upstream,
                     key,
                     work::EndKind::NotStarted,
                     EndEvidence::NotSent);
    return;
  }
  this->SendStart(*session, key);
}

void
Dispatcher::On(const work::EndRun& aCommand, work::Verdict aVerdict)
{
  const RunKey key{ aCommand.task, aCommand.run };
  UpstreamSession* session = this->FindSession(aCommand.upstream);
  if (session == nullptr) {
    return;
  }
  session->endsBeingRecorded.erase(key);
  session->AdvanceRecordedEnd();
  const auto found = session->runs.find(key);
  if (found == session->runs.end()) {
    return;
  }
  const LiveRun run = found->second;
  session->nextRenewAt =
    this->now; // the end is committed: acknowledge it to the upstream
  this->DropRun(aCommand.upstream, key);
  if (aVerdict == work::Verdict::Done) {
    this->HandleRunEnd(aCommand, run);
  }
}

void
Dispatcher::HandleRunEnd(const work::EndRun& aCommand, const LiveRun& aRun)
{
  UpstreamSession& session = *this->FindSession(aCommand.upstream);
  const work::Job* job = this->FindJob(aCommand.task.job);
  const bool ended = job == nullptr || job->IsFinal();
  this->secondRunsWanted.erase(aCommand.task);
  this->runMeter.RecordEnd(aCommand.kind == work::EndKind::Done);
  if (aCommand.kind == work::EndKind::Done) {
    session.consecutiveFailures = 0;
    this->failedOn.erase(aCommand.task);
    auto observation =
      this->runWatch.ObserveEnd(aCommand, aRun, session, this->now);
    if (observation && this->options.learnsInterference) {
      observation->neighbours = NeighboursOf(aRun, session);
      this->interference.Add(*observation, this->now);
    }
    this->StopOtherRuns(aCommand.task, aRun);
  }
  if (aCommand.kind == work::EndKind::Failed) {
    ++session.consecutiveFailures;
    this->failedOn[aCommand.task] = aCommand.upstream;
    this->QuarantineIfFailing(aCommand.upstream, session);
  }
  const bool isNotable = aCommand.kind != work::EndKind::Done || ended;
  if (isNotable) {
    this->LogDecision(
      "run_ended",
      aCommand.task.job.value,
      { { "task", Text(aCommand.task) },
        { "run", Text(aCommand.run) },
        { "upstream", aCommand.upstream.value },
        { "how", std::string(Text(aCommand.kind)) },
        { "ran_ms", Text(this->now - aRun.phaseSince) },
        { "evidence", std::string(Text(aRun.endEvidence)) },
        { "evidence_age_ms", Text(this->now - aRun.endProposedAt) },
        { "boot", Text(session.record.boot) },
        { "address", session.record.address },
        { "announced_ms_ago", Text(this->now - session.lastAnnounced) },
        { "heard_ms_ago", Text(this->now - session.lastHeard) },
        { "job",
          job == nullptr ? "unknown" : std::string(Text(job->state)) } });
  }
  if (!ended && !job->tasks.empty() &&
      job->spec.steps[aCommand.task.step].gang &&
      aCommand.kind != work::EndKind::Done) {
    this->StopGang(aCommand.task);
  }
}

void
Dispatcher::Tick(Time aNow, WallTime aWall)
{
  if (!this->Leads()) {
    return;
  }
  this->now = aNow;
  this->wall = aWall;
  for (auto& [id, session] : this->sessions) {
    this->SendDueStops(session);
    this->StopTasksOnDraining(session);
    this->PaceBestEffort(id, session);
    this->Renew(id, session);
    this->EndLostRuns(id, session);
    this->RemoveIfSilent(id, session);
    this->PlanAgainIfUsable(session);
  }
  this->ReviewRuns();
  this->ReviewInterference();
  this->ReviewImpossibleSteps();
  this->CompleteSettledPlans();
  std::erase_if(this->owner.takenDown, [this](const auto& aItem) {
    return this->now >= aItem.second.until;
  });
  this->BalancePools();
  this->RunWaves();
  this->EvacuateDataCentres();
  this->LogServiceLoads();
  std::vector<JobId> due;
  for (const auto& [id, view] : this->views) {
    if (view.nextDue <= aWall) {
      due.push_back(id);
    }
  }
  for (const JobId& id : due) {
    this->RefreshView(id);
  }
}

void
Dispatcher::ObserveLoopDelay(Duration aDelay, Time aNow)
{
  if (this->Leads() && this->startWindow.Observe(aDelay, aNow)) {
    this->startWindow.Adapt(this->CountStartsUnderway(), this->sessions.size());
  }
}

void
Dispatcher::Handle(const Answer& aAnswer, Time aNow, WallTime aWall)
{
  if (!this->Leads()) {
    return;
  }
  this->now = aNow;
  this->wall = aWall;
  std::visit([this](const auto& aConcrete) { this->On(aConcrete); }, aAnswer);
}

Output
Dispatcher::TakeOutput()
{
  if (this->Leads()) {
    this->Plan();
  }
  return std::exchange(this->output, {});
}

} // namespace hyssoppaddle::dispatch
