// The life cycle of one run: its start, stop and end.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

namespace hyssoppaddle::dispatch {

namespace {

// Retry delay of a stop that was not answered.
constexpr Duration kStopRetry = milliseconds(300);
// New starts avoid an upstream for this long after it refused one for lack of
// capacity or health, because its view of its tasks differs from the leader's
// until the next renewal.
constexpr Duration kRefusedStartDelay = milliseconds(150);

// Interval between two reviews of the runs.
constexpr Duration kReviewInterval = milliseconds(100);
// Interval between two comparisons of kinds of tasks.
constexpr Duration kInterferenceInterval = seconds(1);
// Within this time a healthy upstream answers a start.
constexpr Duration kStartAnswerTime = milliseconds(200);

} // namespace

void
Dispatcher::SendStart(UpstreamSession& aSession, const RunKey& aKey)
{
  LiveRun& live = aSession.runs.at(aKey);
  const work::Job* job = this->FindJob(aKey.first.job);
  const work::Task* task = job == nullptr ? nullptr : job->Find(aKey.first);
  const auto until =
    aSession.clock.LeaseEndAfter(this->options.Lease(), this->now);
  const bool isWanted = task != nullptr && !task->done && !job->IsFinal();
  // The order to evacuate may have been committed right after the start.
  const bool isForbidden = this->state.IsEvacuating(aSession.record.dataCentre);
  if (!isWanted || !until || isForbidden || aSession.otherBootSeenAt) {
    this->ProposeEnd(
      live.run.upstream, aKey, work::EndKind::NotStarted, EndEvidence::NotSent);
    return;
  }
  StartTask start;
  start.token = ++this->lastToken;
  start.to = this->DestinationOf(live.run.upstream, aSession);
  start.task = aKey.first;
  start.run = aKey.second;
  start.payload = job->spec.payload;
  start.leaseUntil = *until;
  start.checkpoint = task->checkpoint;
  live.resumes = !task->checkpoint.empty();
  start.ticket =
    this->tickets.Find(StepOf(aKey.first), live.run.upstream, this->now);
  aSession.clock.RecordGrant(*until, this->now);
  live.phase = RunPhase::Ordered;
  live.phaseSince = this->now;
  live.progressAt = this->now;
  this->orders[start.token] = {
    live.run.upstream, aSession.record.boot, aKey, false, false, this->now
  };
  this->runMeter.RecordOrdered();
  this->output.instructions.emplace_back(std::move(start));
}

void
Dispatcher::ProposeEnd(const InstanceId& aUpstream,
                       const RunKey& aKey,
                       work::EndKind aKind,
                       EndEvidence aEvidence,
                       std::string aCheckpoint)
{
  if (UpstreamSession* session = this->FindSession(aUpstream)) {
    const auto found = session->runs.find(aKey);
    if (found != session->runs.end()) {
      found->second.endEvidence = aEvidence;
      found->second.endProposedAt = this->now;
    }
  }
  this->output.commands.emplace_back(work::EndRun{
    aKey.first, aKey.second, aUpstream, aKind, std::move(aCheckpoint) });
}

void
Dispatcher::RequestStop(UpstreamSession& aSession,
                        const RunKey& aKey,
                        std::string_view aReason)
{
  LiveRun& live = aSession.runs.at(aKey);
  if (live.stopping) {
    return;
  }
  live.stopping = true;
  this->runMeter.RecordStopped();
  this->LogDecision("run_stopped",
                    aKey.first.job.value,
                    { { "task", Text(aKey.first) },
                      { "run", Text(aKey.second) },
                      { "upstream", live.run.upstream.value },
                      { "reason", std::string(aReason) } });
  if (live.phase != RunPhase::Proposed) {
    this->SendStop(aSession, aKey);
  }
}

void
Dispatcher::SendStop(UpstreamSession& aSession, const RunKey& aKey)
{
  LiveRun& live = aSession.runs.at(aKey);
  StopTask stop;
  stop.token = ++this->lastToken;
  stop.to = this->DestinationOf(live.run.upstream, aSession);
  stop.task = aKey.first;
  stop.run = aKey.second;
  live.stopInFlight = true;
  live.stopSentAt = this->now;
  this->orders[stop.token] = {
    live.run.upstream, aSession.record.boot, aKey, true, false, this->now
  };
  this->output.instructions.emplace_back(std::move(stop));
}

void
Dispatcher::StopAllRuns(const JobId& aJob, std::string_view aReason)
{
  const RunKey first{ { aJob, 0, 0, 0 }, 0 };
  // A job that has ended keeps its tasks for as long as a run is recorded.
  const work::Job* job = this->FindJob(aJob);
  const auto proposed = this->proposedStarts.lower_bound(first.first);
  const bool hasProposed =
    proposed != this->proposedStarts.end() && proposed->job == aJob;
  if ((job == nullptr || job->tasks.empty()) && !hasProposed) {
    return;
  }
  for (auto& [id, session] : this->sessions) {
    std::vector<RunKey> keys;
    for (auto run = session.runs.lower_bound(first);
         run != session.runs.end() && run->first.first.job == aJob;
         ++run) {
      keys.push_back(run->first);
    }
    for (const RunKey& key : keys) {
      this->RequestStop(session, key, aReason);
    }
  }
}

// Sends a stop for each run that should end, and for each start that got no
// answer: once the stop is accepted, the start can no longer take effect.
void
Dispatcher::SendDueStops(UpstreamSession& aSession)
{
  if (!aSession.fenceConfirmed) {
    return;
  }
  std::vector<RunKey> due;
  for (const auto& [key, live] : aSession.runs) {
    const bool wanted = (live.stopping && live.phase != RunPhase::Proposed) ||
                        live.phase == RunPhase::Unanswered;
    if (wanted && !live.stopInFlight && !live.stopConfirmed &&
        this->now - live.stopSentAt >= kStopRetry) {
      due.push_back(key);
    }
  }
  for (const RunKey& key : due) {
    this->SendStop(aSession, key);
  }
}

void
Dispatcher::On(const OrderAnswer& aAnswer)
{
  const auto found = this->orders.find(aAnswer.token);
  if (found == this->orders.end()) {
    return; // from an earlier leadership
  }
  const Order order = found->second;
  this->orders.erase(found);
  UpstreamSession* session = this->FindSession(order.upstream);
  if (session == nullptr) {
    return;
  }
  if (aAnswer.clock && order.boot == session->record.boot) {
    // The answer does not say which boot it is from.
    if (session->clock.CanHaveShown(*aAnswer.clock, order.sentAt, this->now)) {
      session->clock.AddReading(*aAnswer.clock, order.sentAt, this->now);
      session->lastHeard = this->now;
    } else {
      this->SuspectOtherBoot(order.upstream, *session, "clock");
    }
  }
  if (aAnswer.result == OrderResult::NoAnswer ||
      aAnswer.result == OrderResult::NotSent) {
    ++session->unanswered; // new starts avoid it until it answers again
    session->nextRenewAt = this->now;
    this->LogDecision("order_unanswered",
                      order.key.first.job.value,
                      { { "upstream", order.upstream.value },
                        { "task", Text(order.key.first) },
                        { "order", order.isStop ? "stop" : "start" } });
  }
  const auto run = session->runs.find(order.key);
  if (run == session->runs.end()) {
    return;
  }
  if (order.isPace) {
    if (aAnswer.result != OrderResult::Accepted) {
      // Sent again at the next check.
      run->second.paceAsked = kUnknownPacePercent;
    }
    return;
  }
  if (order.isStop) {
    this->OnStopAnswer(*session, order.key, aAnswer);
  } else {
    this->OnStartAnswer(*session, order.key, aAnswer);
  }
}

std::size_t
Dispatcher::CountStartsUnderway() const
{
  std::size_t count = this->proposedStarts.size();
  // Tokens rise, so the last orders are the latest.
  for (auto order = this->orders.rbegin();
       order != this->orders.rend() &&
       this->now - order->second.sentAt < kStartAnswerTime;
       ++order) {
    count += order->second.isStop || order->second.isPace ? 0 : 1;
  }
  return count;
}

void
Dispatcher::OnStartAnswer(UpstreamSession& aSession,
                          const RunKey& aKey,
                          const OrderAnswer& aAnswer)
{
  LiveRun& live = aSession.runs.at(aKey);
  if (live.phase != RunPhase::Ordered) {
    return; // a task list has already updated this run
  }
  switch (aAnswer.result) {
    case OrderResult::Accepted:
    case OrderResult::Superseded: // its end is listed or will be
      live.phase = RunPhase::Confirmed;
      live.phaseSince = this->now;
      if (!live.resumes) {
        live.measuredSince = this->now;
      }
      return;
    case OrderResult::NoAnswer:
    case OrderResult::Fenced: // a later leader is active; the log decides
      live.phase = RunPhase::Unanswered;
      live.phaseSince = this->now;
      return;
    default:
      break;
  }
  this->LogDecision("start_refused",
                    aKey.first.job.value,
                    { { "task", Text(aKey.first) },
                      { "run", Text(aKey.second) },
                      { "upstream", live.run.upstream.value },
                      { "reason", std::string(Text(aAnswer.result)) } });
  if (aAnswer.result == OrderResult::NoTicket) {
    this->tickets.Drop(StepOf(aKey.first), live.run.upstream);
  } else {
    aSession.avoidUntil =
      std::max(aSession.avoidUntil, this->now + kRefusedStartDelay);
  }
  aSession.nextRenewAt = std::min(aSession.nextRenewAt, this->now);
  this->ProposeEnd(live.run.upstream,
                   aKey,
                   work::EndKind::NotStarted,
                   aAnswer.result == OrderResult::NotSent
                     ? EndEvidence::NotSent
                     : EndEvidence::StartRefused);
}

void
Dispatcher::OnStopAnswer(UpstreamSession& aSession,
                         const RunKey& aKey,
                         const OrderAnswer& aAnswer)
{
  LiveRun& live = aSession.runs.at(aKey);
  live.stopInFlight = false;
  if (aAnswer.result == OrderResult::Accepted ||
      aAnswer.result == OrderResult::Superseded) {
    live.stopConfirmed = this->now;
    aSession.nextRenewAt = std::min(aSession.nextRenewAt, this->now);
  }
}

// Avoids an upstream for some time when tasks fail there repeatedly while its
// peers complete theirs.
void
Dispatcher::QuarantineIfFailing(const InstanceId& aId,
                                UpstreamSession& aSession)
{
  constexpr std::uint32_t kQuarantineFailures = 3;
  constexpr Duration kQuarantineTime = seconds(5);
  if (aSession.consecutiveFailures < kQuarantineFailures) {
    return;
  }
  std::size_t peers = 0;
  std::size_t failing = 0;
  for (const auto& [id, other] : this->sessions) {
    if (other.record.service == aSession.record.service) {
      ++peers;
      failing += other.consecutiveFailures > 0 ? 1 : 0;
    }
  }
  if (failing * 3 > peers) {
    return; // many peers fail too, so the jobs are the likely cause
  }
  aSession.avoidUntil = this->now + kQuarantineTime;
  this->LogDecision("upstream_quarantined",
                    {},
                    { { "upstream", aId.value },
                      { "failures", Text(aSession.consecutiveFailures) },
                      { "failing_peers", Text(failing) } });
}

// The members of a gang only work together, so when one of them ends the others
// are stopped.
void
Dispatcher::StopGang(const work::TaskRef& aTask)
{
  const work::TaskRef step = StepOf(aTask);
  for (auto& [id, session] : this->sessions) {
    std::vector<RunKey> members;
    for (auto run = session.runs.lower_bound({ step, 0 });
         run != session.runs.end() && StepOf(run->first.first) == step;
         ++run) {
      members.push_back(run->first);
    }
    for (const RunKey& key : members) {
      this->RequestStop(session, key, "gang broken");
    }
  }
}

void
Dispatcher::StopOtherRuns(const work::TaskRef& aTask, const LiveRun& aDone)
{
  const work::Job* job = this->FindJob(aTask.job);
  const work::Task* task = job == nullptr ? nullptr : job->Find(aTask);
  if (!aDone.mayRunTwice || task == nullptr) {
    return;
  }
  for (const work::Run& run : task->runs) {
    UpstreamSession* session = this->FindSession(run.upstream);
    const RunKey key{ aTask, run.number };
    if (session == nullptr || !session->runs.contains(key)) {
      continue;
    }
    this->LogDecision("second_run_decided",
                      aTask.job.value,
                      { { "task", Text(aTask) },
                        { "first_to_end", aDone.isSecond ? "second" : "first" },
                        { "upstream", aDone.run.upstream.value },
                        { "ran_ms", Text(this->now - aDone.phaseSince) },
                        { "other_upstream", run.upstream.value } });
    this->RequestStop(*session, key, "task is done");
  }
}

void
Dispatcher::ReviewRuns()
{
  if (this->now - this->runsReviewedAt < kReviewInterval) {
    return;
  }
  this->runsReviewedAt = this->now;
  RunReview review = this->runWatch.Review(
    this->sessions, this->state, this->options.maxStopTime, this->now);
  for (const RunReview::SpeedChange& change : review.speedChanges) {
    this->dirtyServices.insert(change.service);
    this->LogDecision(
      change.isSlow ? "upstream_slow" : "upstream_usual",
      {},
      { { "upstream", change.upstream.value },
        { "service", change.service.value },
        { "slowdown_percent",
          Text(static_cast<std::int64_t>(change.slowdown * 100.0)) },
        { "slow_peers", Text(change.slowPeers) } });
  }
  for (const auto& [upstream, key] : review.restarts) {
    this->RequestStop(*this->FindSession(upstream), key, "upstream is slow");
  }
  std::swap(this->secondRunsWanted, review.secondRuns);
  const std::set<work::TaskRef>& before = review.secondRuns;
  std::set<JobId> changed;
  for (const work::TaskRef& task : this->secondRunsWanted) {
    if (!before.contains(task)) {
      changed.insert(task.job);
      this->LogDecision(
        "second_run_wanted", task.job.value, { { "task", Text(task) } });
    }
  }
  for (const work::TaskRef& task : before) {
    if (!this->secondRunsWanted.contains(task)) {
      changed.insert(task.job);
    }
  }
  for (const JobId& job : changed) {
    this->RefreshView(job);
  }
}

void
Dispatcher::ReviewInterference()
{
  if (this->now - this->interferenceReviewedAt < kInterferenceInterval) {
    return;
  }
  this->interferenceReviewedAt = this->now;
  for (const InterferenceChange& change :
       this->interference.Review(this->now)) {
    this->LogDecision(
      change.isKnown ? "interference_learned" : "interference_forgotten",
      {},
      { { "slowed", change.slowed },
        { "neighbour", change.neighbour },
        { "slowdown_percent",
          Text(static_cast<std::int64_t>(change.slowdown * 100.0)) },
        { "runs_with", Text(change.with) },
        { "runs_without", Text(change.without) } });
  }
}

void
Dispatcher::AddSecondRuns(JobView& aView) const
{
  const work::Job* job = this->FindJob(aView.id);
  for (auto task = this->secondRunsWanted.lower_bound({ aView.id, 0, 0, 0 });
       task != this->secondRunsWanted.end() && task->job == aView.id;
       ++task) {
    const work::Task* record = job->Find(*task);
    if (record == nullptr || record->done || record->runs.size() != 1) {
      continue;
    }
    if (aView.waiting.empty() || !aView.waiting.back().isSecond ||
        StepOf(aView.waiting.back().First(aView.id)) != StepOf(*task)) {
      aView.waiting.push_back({ true, task->occurrence, task->step });
    }
    aView.waiting.back().indexes.push_back(task->index);
  }
}

} // namespace hyssoppaddle::dispatch
