// Checker of the request simulation: invariants that the effects must satisfy.
#include "request/RequestSimulation.h"

#include <algorithm>

namespace hyssoppaddle::test {

void
RequestSimulation::ReportViolation(const std::string& aText)
{
  if (this->violation.empty()) {
    this->violation = aText;
  }
}

void
RequestSimulation::Send(const Event& aEvent)
{
  this->Check(this->fleet.Step(aEvent));
  if (const auto* finished = std::get_if<AttemptFinished>(&aEvent)) {
    Caller& caller = this->callers.at(finished->request);
    // Only the response to the last attempt can end the request; events of
    // earlier attempts are ignored.
    const bool last = !caller.attempts.empty() &&
                      caller.attempts.back().start.attempt == finished->attempt;
    caller.ended = caller.ended || last;
  }
}

void
RequestSimulation::Check(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const auto* start = std::get_if<StartAttempt>(&effect)) {
      this->CheckStart(*start);
    } else if (const auto* refuse = std::get_if<Refuse>(&effect)) {
      this->CheckEnd(refuse->request, refuse->notRun);
    } else if (const auto* abort = std::get_if<AbortCaller>(&effect)) {
      this->CheckEnd(abort->request, false);
    } else if (const auto* claim = std::get_if<ClaimNeeded>(&effect)) {
      this->claims.push_back(*claim);
    } else if (const auto* ended = std::get_if<ClaimEnded>(&effect)) {
      this->commands.emplace_back(ended->finish);
    } else if (const auto* back = std::get_if<SendReturnPermits>(&effect)) {
      this->commands.emplace_back(back->permits);
    } else if (const auto* abandon = std::get_if<AbandonAttempt>(&effect)) {
      // The shell closes the connection; events that it reported before may
      // still be delivered.
      Caller& caller = this->callers.at(abandon->request);
      caller.attempts.at(abandon->attempt - 1).endReported = true;
    }
  }
}

void
RequestSimulation::CheckStart(const StartAttempt& aStart)
{
  ++this->attempts;
  Caller& caller = this->callers.at(aStart.request);
  if (caller.ended) {
    this->ReportViolation("attempt after the end of the request");
  }
  if (aStart.attempt != caller.attempts.size() + 1) {
    this->ReportViolation("attempt numbers do not count up");
  }
  this->CheckLeases(aStart, caller);
  const state::Announcement& upstream = this->latest.at(aStart.upstream);
  // ChangeUpstream has made the latest announcement known to the reducer,
  // directly, through the log, or both.
  if (upstream.state != state::UpstreamState::Serving) {
    this->ReportViolation("attempt at a departed upstream");
  }
  if (caller.attempts.size() > 0 && !caller.attempts.back().endReported) {
    this->ReportViolation("attempt while an earlier one is under way");
  }
  Attempt attempt;
  attempt.start = aStart;
  attempt.team = TeamId(caller.arrival.key->value.substr(4));
  attempt.boot = upstream.boot;
  // The clock of the upstream may run slow by 1%.
  attempt.runsUntil = this->fleet.now + aStart.timeLeft + aStart.timeLeft / 100;
  caller.attempts.push_back(attempt);
  this->open.emplace_back(aStart.request, caller.attempts.size() - 1);
  this->CheckAtMostOnce(caller);
}

// Checks that at most one attempt may have sent a byte, over all requests with
// the same idempotency key. Attempts that the upstream stated it did not run
// are not counted.
void
RequestSimulation::CheckAtMostOnce(const Caller& aCaller)
{
  if (aCaller.arrival.idempotent) {
    return;
  }
  for (std::size_t place = 0; place + 1 < aCaller.attempts.size(); ++place) {
    const Attempt& earlier = aCaller.attempts[place];
    const bool sent = earlier.phase != AttemptPhase::Connecting;
    const bool excused =
      earlier.statedNotRun && !aCaller.arrival.idempotencyKey.empty();
    if (sent && !excused) {
      this->ReportViolation("second attempt after a byte may have left");
    }
  }
  if (aCaller.arrival.idempotencyKey.empty()) {
    return;
  }
  const auto [other, added] = this->ranOnce.try_emplace(
    aCaller.arrival.idempotencyKey, aCaller.arrival.request);
  if (!added && other->second != aCaller.arrival.request) {
    for (const Attempt& earlier : this->callers.at(other->second).attempts) {
      if (earlier.phase != AttemptPhase::Connecting && !earlier.statedNotRun) {
        this->ReportViolation("an equal non-idempotent request may have run");
      }
    }
    other->second = aCaller.arrival.request;
  }
}

void
RequestSimulation::CheckLeases(const StartAttempt& aStart,
                               const Caller& aCaller)
{
  const Duration age = this->fleet.now - this->renewedAt;
  if (age >= Seconds(4)) {
    this->ReportViolation("keyed attempt without a fresh view");
  }
  const auto lastAnnouncedAt = this->announcedAt.find(aStart.upstream);
  if (age >= Seconds(2) &&
      (lastAnnouncedAt == this->announcedAt.end() ||
       this->fleet.now - lastAnnouncedAt->second >= Seconds(2))) {
    this->ReportViolation("attempt at an upstream that is not heard here");
  }
  const auto key = this->fleet.state.Keys().find(*aCaller.arrival.key);
  if (key->second.digest != aCaller.arrival.keyDigest ||
      (key->second.withdrawnAt &&
       *key->second.withdrawnAt <= this->fleet.wall)) {
    this->ReportViolation("attempt with an invalid or withdrawn key");
  }
}

void
RequestSimulation::CheckRunning()
{
  std::map<TeamId, std::uint32_t> running;
  std::vector<std::pair<RequestNumber, std::size_t>> still;
  for (const auto& [request, place] : this->open) {
    Attempt& attempt = this->callers.at(request).attempts.at(place);
    attempt.running = attempt.running && this->fleet.now < attempt.runsUntil;
    if (attempt.running) {
      ++running[attempt.team];
    }
    if (attempt.running || !attempt.endReported) {
      still.emplace_back(request, place);
    }
  }
  this->open = std::move(still);
  const auto& permits =
    this->fleet.state.Entries().at(InstanceId("entry-1")).permits;
  for (const auto& [team, count] : running) {
    const auto granted = permits.find(team);
    if (granted == permits.end() || count > granted->second) {
      this->ReportViolation("team " + team.value +
                            " runs more than its permits");
    }
  }
}

void
RequestSimulation::CheckEnd(RequestNumber aRequest, bool aNotRun)
{
  Caller& caller = this->callers.at(aRequest);
  if (caller.ended) {
    this->ReportViolation("request " + std::to_string(aRequest) +
                          " ended twice");
  }
  caller.ended = true;
  for (Attempt& attempt : caller.attempts) {
    if (aNotRun && attempt.phase != AttemptPhase::Connecting &&
        !attempt.statedNotRun) {
      this->ReportViolation("not run was stated after a byte left");
    }
    attempt.endReported = true;
  }
}

} // namespace hyssoppaddle::test
