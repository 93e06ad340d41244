// Leases of upstreams, the task lists in their answers, and the loss of
// upstreams.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Minimum time between two renewals for one upstream, so that ends that occur
// close together are committed together.
constexpr Duration kMinRenewInterval = milliseconds(15);
// The same while the leader limits the starts, when each commit saved is room
// for further ones.
constexpr Duration kMinRenewIntervalAtLimit = milliseconds(60);
constexpr Duration kRenewRetry = milliseconds(150);
// Poll interval where best-effort tasks run beside serving tasks: a tenth of
// the shortest time over which an increase of the tail latency counts as harm.
constexpr Duration kMixedLoadPoll = milliseconds(400);
// How long a renewal waits for listed ends to be committed.
constexpr Duration kRecordingTimeout = milliseconds(400);
// A silent upstream is removed after this time once nothing can be running on
// it.
constexpr Duration kRemoveAfterSilence = seconds(20);
// The same for one that has never answered this leader.
constexpr Duration kRemoveUnconfirmedAfter = seconds(5);
// An order reaches an upstream within this time, in which it waits for a
// connection, or its sender gives it up.
constexpr Duration kOrderDelivery = seconds(1);
// The same for an order that its receiver leaves unanswered for a while and
// then carries out. On the boot that it was meant for the lease end in it
// bounds this.
constexpr Duration kLateOrderDelivery = seconds(3);
// Limit of an upstream on the number of ends in one answer.
constexpr std::size_t kMaxEndsPerList = 500;

} // namespace

void
Dispatcher::Renew(const InstanceId& aId, UpstreamSession& aSession)
{
  if (aSession.renewToken != 0 || this->now < aSession.nextRenewAt) {
    return;
  }
  const bool recording = !aSession.endsBeingRecorded.empty() &&
                         this->now - aSession.lastHeard < kRecordingTimeout;
  if (recording) {
    return; // the next renewal acknowledges the ends being committed
  }
  bool executing = false;
  bool unconfirmed = false;
  for (const auto& [key, live] : aSession.runs) {
    executing = executing || live.phase != RunPhase::Proposed;
    unconfirmed = unconfirmed || live.phase == RunPhase::Unanswered ||
                  live.stopConfirmed.has_value();
  }
  const bool owesAck = aSession.lastRecordedEnd > aSession.lastAcknowledgedEnd;
  const bool isInDoubt =
    aSession.unanswered > 0 || aSession.otherBootSeenAt.has_value();
  if (aSession.fenceConfirmed && !executing && !owesAck && !isInDoubt) {
    return; // nothing runs there, so its announcements are sufficient
  }
  RenewLease renew;
  renew.token = ++this->lastToken;
  renew.to = this->DestinationOf(aId, aSession);
  // Only right after this boot has listed ends. A later boot under the same ID
  // numbers its ends anew and would forget some that are not recorded.
  const bool mayAcknowledge =
    !aSession.replacing && !aSession.otherBootSeenAt.has_value();
  renew.lastSeen = owesAck && mayAcknowledge ? aSession.lastRecordedEnd : 0;
  const bool waits =
    aSession.fenceConfirmed && executing && !unconfirmed && !isInDoubt;
  const Duration poll =
    aSession.hasMixedLoad ? kMixedLoadPoll : this->options.LongPoll();
  renew.wait = waits ? poll : Duration(0);
  // The lease of a silent upstream is not extended, because otherwise its runs
  // could never be declared lost.
  if (!isInDoubt) {
    renew.leaseUntil =
      aSession.clock.LeaseEndAfter(this->options.Lease(), this->now);
  }
  if (renew.leaseUntil) {
    aSession.clock.RecordGrant(*renew.leaseUntil, this->now);
  }
  aSession.renewToken = renew.token;
  aSession.renewSentAt = this->now;
  if (mayAcknowledge) {
    aSession.lastAcknowledgedEnd = aSession.lastRecordedEnd;
  }
  this->output.instructions.emplace_back(std::move(renew));
}

void
Dispatcher::On(const LeaseAnswer& aAnswer)
{
  if (this->pendingAnnouncements.contains(aAnswer.token)) {
    this->OnAnnouncementChecked(aAnswer);
    return;
  }
  UpstreamSession* session = this->FindSession(aAnswer.upstream);
  if (session == nullptr || session->renewToken != aAnswer.token) {
    return; // from an earlier boot or leadership
  }
  session->renewToken = 0;
  const Time asked = session->renewSentAt;
  if (aAnswer.wrongBoot) {
    this->LogDecision("upstream_replaced",
                      {},
                      { { "upstream", aAnswer.upstream.value },
                        { "address", session->record.address },
                        { "lost_runs", Text(session->runs.size()) } });
    this->AppendRunEnds(
      aAnswer.upstream, EndEvidence::AddressReused, this->output.commands);
    // Not listed as ended: the command names no boot, and the next boot of this
    // ID may be recorded before it.
    this->output.commands.emplace_back(
      work::RemoveUpstream{ aAnswer.upstream, false });
    session->nextRenewAt = this->now + kRenewRetry;
    ++session->unanswered;
    return;
  }
  if (!aAnswer.answered || aAnswer.fenced) {
    if (session->unanswered++ == 0) {
      this->LogDecision(
        "upstream_unanswered",
        {},
        { { "upstream", aAnswer.upstream.value },
          { "runs", Text(session->runs.size()) },
          { "reason", aAnswer.fenced ? "fenced" : "no answer" } });
    }
    session->nextRenewAt = this->now + kRenewRetry;
    return;
  }
  if (session->unanswered > 0) {
    this->dirtyServices.insert(session->record.service);
  }
  session->unanswered = 0;
  session->lastHeard = this->now;
  const std::uint64_t known = session->record.boot;
  if (aAnswer.boot != 0 && known != 0 && aAnswer.boot != known) {
    this->OnNewBoot(aAnswer.upstream, *session, aAnswer.boot);
    return;
  }
  if (session->otherBootSeenAt && asked >= *session->otherBootSeenAt) {
    session->otherBootSeenAt.reset();
    this->dirtyServices.insert(session->record.service);
  }
  if (aAnswer.clock) {
    session->clock.AddReading(*aAnswer.clock, asked, this->now);
  }
  session->nextRenewAt =
    this->now + (this->startWindow.IsLimited() ? kMinRenewIntervalAtLimit
                                               : kMinRenewInterval);
  this->ClearDepartureIfAlive(*session, asked);
  if (aAnswer.unreadableRows > 0) {
    this->LogDecision("task_list_unreadable",
                      {},
                      { { "upstream", aAnswer.upstream.value },
                        { "rows", Text(aAnswer.unreadableRows) } });
  }
  this->MergeTaskLists(aAnswer.upstream, *session, aAnswer, asked);
  if (!session->fenceConfirmed) {
    session->fenceConfirmed = true;
    this->dirtyServices.insert(session->record.service);
  }
}

void
Dispatcher::SuspectOtherBoot(const InstanceId& aId,
                             UpstreamSession& aSession,
                             std::string_view aSign)
{
  if (aSession.otherBootSeenAt) {
    return;
  }
  aSession.otherBootSeenAt = this->now;
  this->LogDecision("other_boot_suspected",
                    {},
                    { { "upstream", aId.value },
                      { "boot", Text(aSession.record.boot) },
                      { "sign", std::string(aSign) },
                      { "runs", Text(aSession.runs.size()) } });
  // A long poll to the recorded boot may get no answer for seconds.
  aSession.renewToken = 0;
  aSession.nextRenewAt = this->now;
}

// Another boot under the same ID, later by its start time unless the clock of
// its instance went back. It may have carried out starts, so its own lists
// decide which runs have ended.
void
Dispatcher::OnNewBoot(const InstanceId& aId,
                      UpstreamSession& aSession,
                      std::uint64_t aBoot)
{
  aSession.nextRenewAt = this->now + kRenewRetry;
  if (aSession.replacing) {
    return;
  }
  aSession.replacing = true;
  aSession.otherBootSeenAt = this->now;
  this->LogDecision("upstream_reborn",
                    {},
                    { { "upstream", aId.value },
                      { "boot", Text(aBoot) },
                      { "runs", Text(aSession.runs.size()) } });
  work::Upstream record = aSession.record;
  record.boot = aBoot;
  // Unknown until it announces itself; no task fits before.
  record.capacity = {};
  record.labels.clear();
  record.draining = false;
  this->output.commands.emplace_back(work::SetUpstream{ aId, record });
}

void
Dispatcher::AppendRunEnds(const InstanceId& aId,
                          EndEvidence aEvidence,
                          std::vector<work::Command>& aCommands)
{
  UpstreamSession* session = this->FindSession(aId);
  if (session == nullptr) {
    return;
  }
  for (auto& [key, live] : session->runs) {
    live.endEvidence = aEvidence;
    live.endProposedAt = this->now;
    aCommands.emplace_back(work::EndRun{
      key.first, key.second, aId, work::EndKind::Lost, live.checkpoint });
  }
}

void
Dispatcher::MergeTaskLists(const InstanceId& aId,
                           UpstreamSession& aSession,
                           const LeaseAnswer& aAnswer,
                           Time aAsked)
{
  std::set<RunKey> listed;
  this->MergeRunning(aId, aSession, aAnswer, listed);
  this->MergeEnded(aId, aSession, aAnswer, listed);
  const bool isComplete =
    aAnswer.unreadableRows == 0 && aAnswer.ended.size() < kMaxEndsPerList;
  if (isComplete) {
    this->EndAbsentRuns(aId, aSession, listed, aAsked);
  }
}

void
Dispatcher::MergeRunning(const InstanceId& aId,
                         UpstreamSession& aSession,
                         const LeaseAnswer& aAnswer,
                         std::set<RunKey>& aListed)
{
  for (const RunningTask& running : aAnswer.running) {
    const RunKey key{ running.task, running.run };
    const auto found = aSession.runs.find(key);
    if (found == aSession.runs.end()) {
      // Not recorded: the late start of a run that an earlier leader ordered.
      StopTask stop;
      stop.token = ++this->lastToken;
      stop.to = this->DestinationOf(aId, aSession);
      stop.task = running.task;
      stop.run = running.run;
      this->output.instructions.emplace_back(std::move(stop));
      this->LogDecision("unknown_run_stopped",
                        running.task.job.value,
                        { { "task", Text(running.task) },
                          { "run", Text(running.run) },
                          { "upstream", aId.value } });
      continue;
    }
    aListed.insert(key);
    LiveRun& live = found->second;
    const bool isRecordedBoot =
      aAnswer.boot != 0 && aAnswer.boot == aSession.record.boot;
    live.listed = live.listed || isRecordedBoot;
    if (live.phase == RunPhase::Ordered || live.phase == RunPhase::Unanswered) {
      live.phase = RunPhase::Confirmed;
      live.phaseSince = this->now;
    }
    if (running.percent != live.percent) {
      live.percent = running.percent;
      live.progressAt = this->now;
    }
    this->runWatch.ObserveProgress(aId, key, live, this->now);
    live.load = running.load;
    live.checkpoint = running.checkpoint;
  }
}

void
Dispatcher::MergeEnded(const InstanceId& aId,
                       UpstreamSession& aSession,
                       const LeaseAnswer& aAnswer,
                       std::set<RunKey>& aListed)
{
  for (const EndedTask& ended : aAnswer.ended) {
    if (ended.number > 0 && ended.number <= aSession.lastAcknowledgedEnd) {
      // The acknowledgement was lost.
      aSession.lastAcknowledgedEnd = ended.number - 1;
    }
    if (aAnswer.unreadableEnds == 0) {
      aSession.lastListedEnd = std::max(aSession.lastListedEnd, ended.number);
    }
    const RunKey key{ ended.task, ended.run };
    if (!aSession.runs.contains(key)) {
      continue; // already given up, or recorded by an earlier leader
    }
    aListed.insert(key);
    if (aSession.endsBeingRecorded.insert(key).second) {
      this->ProposeEnd(
        aId, key, ended.kind, EndEvidence::Listed, ended.checkpoint);
    }
  }
  aSession.AdvanceRecordedEnd();
}

void
Dispatcher::EndAbsentRuns(const InstanceId& aId,
                          UpstreamSession& aSession,
                          const std::set<RunKey>& aListed,
                          Time aAsked)
{
  for (const auto& [key, live] : aSession.runs) {
    const bool wasThere =
      live.phase == RunPhase::Confirmed && live.phaseSince < aAsked;
    // A run that is being stopped may be on neither list.
    const bool stopped =
      live.stopConfirmed.has_value() &&
      *live.stopConfirmed + this->options.maxStopTime * 2 < aAsked;
    const bool absent =
      live.stopping || live.stopConfirmed.has_value() ? stopped : wasThere;
    if (absent && !aListed.contains(key)) {
      this->ProposeEnd(aId,
                       key,
                       wasThere ? work::EndKind::Lost
                                : work::EndKind::NotStarted,
                       EndEvidence::AbsentFromLists,
                       live.checkpoint);
    }
  }
}

Time
Dispatcher::CertainEndOf(const UpstreamSession& aSession, const LiveRun& aRun)
{
  const Time here = aSession.clock.AllEndedBy();
  if (aRun.listed) {
    return here;
  }
  const Duration delivery =
    aSession.otherBootSeenAt ? kLateOrderDelivery : kOrderDelivery;
  return std::max(here, aSession.clock.AllEndedOnAnotherBootBy(delivery));
}

// Once the lease is certain to have expired, none of its runs executes any
// more.
void
Dispatcher::EndLostRuns(const InstanceId& aId, UpstreamSession& aSession)
{
  if (aSession.unanswered == 0 || aSession.runs.empty() ||
      this->now < aSession.clock.AllEndedBy()) {
    return;
  }
  std::size_t lost = 0;
  for (auto& [key, live] : aSession.runs) {
    if (live.phase == RunPhase::Proposed || live.lossProposed ||
        this->now < CertainEndOf(aSession, live)) {
      continue;
    }
    live.lossProposed = true;
    ++lost;
    this->ProposeEnd(aId,
                     key,
                     work::EndKind::Lost,
                     EndEvidence::LeaseExpired,
                     live.checkpoint);
  }
  if (lost > 0) {
    this->LogDecision(
      "leases_ended",
      {},
      { { "upstream", aId.value },
        { "runs", Text(lost) },
        { "silent_ms", Text(this->now - aSession.lastHeard) } });
  }
}

void
Dispatcher::RemoveIfSilent(const InstanceId& aId,
                           const UpstreamSession& aSession)
{
  const Time heard = std::max(aSession.lastAnnounced, aSession.lastHeard);
  const Duration limit =
    aSession.fenceConfirmed ? kRemoveAfterSilence : kRemoveUnconfirmedAfter;
  const bool isSilent = this->now - heard > limit;
  if (aSession.runs.empty() && aSession.departedAt) {
    this->output.commands.emplace_back(this->RemoveDeparted(aId, aSession));
  } else if (aSession.runs.empty() && isSilent) {
    this->output.commands.emplace_back(work::RemoveUpstream{ aId, false });
  }
}

} // namespace hyssoppaddle::dispatch
