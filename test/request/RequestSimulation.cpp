// Random actions of the request simulation.
#include "request/RequestSimulation.h"

#include <algorithm>

namespace hyssoppaddle::test {

namespace {

constexpr std::uint32_t kUpstreams = 7;

FleetOptions
SimulationOptions(std::uint64_t aSeed)
{
  FleetOptions options;
  options.upstreams = kUpstreams;
  options.slots = 2;
  options.limit = 12;
  options.permits = 3;
  options.queueLimit = 8;
  options.seed = aSeed;
  return options;
}

} // namespace

RequestSimulation::RequestSimulation(std::uint64_t aSeed)
  : options(SimulationOptions(aSeed))
  , fleet(this->options)
  , random(aSeed)
{
  for (const auto& [instance, record] : this->fleet.state.Upstreams()) {
    this->latest[instance] = record.announcement;
  }
  this->renewedAt = this->fleet.now;
}

bool
RequestSimulation::Chance(std::uint64_t aPercent)
{
  return this->random.Below(100) < aPercent;
}

void
RequestSimulation::RunRandomAction()
{
  using Action = void (RequestSimulation::*)();
  static constexpr Action kActions[] = {
    &RequestSimulation::Arrive,
    &RequestSimulation::Arrive,
    &RequestSimulation::Arrive,
    &RequestSimulation::AdvanceAttempt,
    &RequestSimulation::AdvanceAttempt,
    &RequestSimulation::AdvanceAttempt,
    &RequestSimulation::AdvanceAttempt,
    &RequestSimulation::AdvanceAttempt,
    &RequestSimulation::AdvanceAttempt,
    &RequestSimulation::DecideClaim,
    &RequestSimulation::DecideClaim,
    &RequestSimulation::DecideClaim,
    &RequestSimulation::DisconnectCaller,
    &RequestSimulation::ChangeUpstream,
    &RequestSimulation::ApplyDelayedCommand,
    &RequestSimulation::Renew,
    &RequestSimulation::Renew,
    &RequestSimulation::Renew,
    &RequestSimulation::AdvanceClock,
    &RequestSimulation::DeliverDelayed,
    &RequestSimulation::DeliverDelayed,
    &RequestSimulation::DeliverDelayed,
    &RequestSimulation::ChangeKeysAndPermits,
  };
  (this->*kActions[this->random.Below(std::size(kActions))])();
  this->CheckRunning();
}

void
RequestSimulation::Arrive()
{
  const char* const team = this->Chance(50) ? "team-a" : "team-b";
  RequestArrived request = this->fleet.Request(team);
  request.deadline = this->random.Between(Seconds(0.05), Seconds(8));
  request.idempotent = this->Chance(50);
  request.replayable = this->Chance(80);
  if (this->Chance(60)) {
    request.idempotencyKey =
      team + std::to_string(this->random.Below(1 + request.request / 3));
    request.requestDigest = "digest";
    request.createdAt = this->fleet.wall;
  }
  if (this->Chance(2)) {
    request.keyDigest = "wrong";
  }
  this->callers[request.request].arrival = request;
  this->Send(request);
}

RequestSimulation::Attempt*
RequestSimulation::PickAttempt()
{
  if (this->open.empty()) {
    return nullptr;
  }
  const auto [request, place] =
    this->open[this->random.Below(this->open.size())];
  return &this->callers.at(request).attempts.at(place);
}

void
RequestSimulation::AdvanceAttempt()
{
  Attempt* attempt = this->PickAttempt();
  if (attempt == nullptr || attempt->endReported) {
    return;
  }
  const RequestNumber request = attempt->start.request;
  const AttemptNumber number = attempt->start.attempt;
  const std::uint64_t eventDraw = this->random.Below(10);
  if (eventDraw < 5 && attempt->phase != AttemptPhase::Relaying) {
    attempt->phase =
      static_cast<AttemptPhase>(static_cast<std::uint8_t>(attempt->phase) + 1);
    this->SendDelayed(AttemptAdvanced{ request, number, attempt->phase });
  } else if (eventDraw < 7 && attempt->phase == AttemptPhase::Relaying) {
    attempt->endReported = true;
    this->EndAtUpstream(*attempt);
    this->SendDelayed(AttemptFinished{
      request, number, this->Chance(90) ? 200U : 500U, Seconds(0.05) });
  } else if (eventDraw == 7 && attempt->phase == AttemptPhase::Sending) {
    attempt->endReported = true;
    attempt->statedNotRun = true;
    this->EndAtUpstream(*attempt);
    this->SendDelayed(AttemptRefused{ request, number });
  } else if (eventDraw == 8 && this->Chance(50)) {
    attempt->endReported = true;
    if (attempt->phase == AttemptPhase::Connecting) {
      this->EndAtUpstream(*attempt);
    }
    this->SendDelayed(
      AttemptFailed{ request, number, attempt->phase, "reset" });
  }
}

void
RequestSimulation::EndAtUpstream(Attempt& aAttempt)
{
  aAttempt.running = false;
}

void
RequestSimulation::DisconnectCaller()
{
  const std::uint64_t burst = this->Chance(5) ? 50 : 1;
  auto caller =
    this->callers.lower_bound(1 + this->random.Below(this->fleet.nextRequest));
  for (std::uint64_t number = 0;
       number < burst && caller != this->callers.end();
       ++number, ++caller) {
    if (!caller->second.ended) {
      caller->second.ended = true;
      this->Send(CallerDisconnected{ caller->first });
    }
  }
}

void
RequestSimulation::DecideClaim()
{
  if (this->claims.empty()) {
    return;
  }
  const std::size_t place = this->random.Below(this->claims.size());
  const ClaimNeeded claim = this->claims[place];
  this->claims.erase(this->claims.begin() + static_cast<std::ptrdiff_t>(place));
  const std::uint64_t decisionDraw = this->random.Below(10);
  if (decisionDraw < 7) {
    const state::Outcome outcome = this->fleet.Apply(claim.claim);
    this->Check(std::exchange(this->fleet.viewEffects, {}));
    this->SendDelayed(ClaimDecided{ claim.request, true, false, outcome });
  } else if (decisionDraw == 7) {
    this->SendDelayed(ClaimDecided{ claim.request, false, false, {} });
  } else {
    // No decision: the claim reaches the log late or never.
    if (decisionDraw == 8) {
      this->commands.emplace_back(claim.claim);
    }
    this->SendDelayed(ClaimDecided{ claim.request, false, true, {} });
  }
}

void
RequestSimulation::ChangeUpstream()
{
  const auto number =
    static_cast<std::uint32_t>(this->random.Below(kUpstreams));
  state::Announcement next = this->fleet.Announcement(number);
  const state::Announcement& last = this->latest.at(next.instance);
  next.bootedAtMs = last.bootedAtMs;
  next.boot = last.boot;
  next.state = last.state;
  const std::uint64_t change = this->random.Below(10);
  if (change == 0) {
    next.state = state::UpstreamState::Departing;
  } else if (change == 1 || next.state != state::UpstreamState::Serving) {
    next.bootedAtMs += 1000;
    next.boot += "x";
    next.state = state::UpstreamState::Serving;
    for (auto& [request, place] : this->open) {
      Attempt& attempt = this->callers.at(request).attempts.at(place);
      if (attempt.start.upstream == next.instance) {
        this->EndAtUpstream(attempt);
      }
    }
  }
  this->latest[next.instance] = next;
  const bool here = this->Chance(70);
  if (here) {
    this->announcedAt[next.instance] = this->fleet.now;
    this->Send(UpstreamAnnounced{ next });
  }
  if (!here || this->Chance(70)) {
    this->fleet.Apply(state::UpdateUpstream{ next });
    this->Check(std::exchange(this->fleet.viewEffects, {}));
  }
}

void
RequestSimulation::ChangeKeysAndPermits()
{
  const char* const team = this->Chance(50) ? "team-a" : "team-b";
  if (this->Chance(3)) {
    this->fleet.Apply(state::WithdrawKey{
      KeyId("key-team-b"), this->random.Between(Duration(0), Seconds(5)) });
  } else {
    this->fleet.Apply(
      state::GrantPermits{ InstanceId("entry-1"), "boot-1", TeamId(team), 1 });
  }
  this->Check(std::exchange(this->fleet.viewEffects, {}));
}

void
RequestSimulation::Renew()
{
  if (!this->fleet.connected) {
    return;
  }
  LeasesRenewed renewed;
  renewed.sentAt =
    this->fleet.now - this->random.Between(Duration(0), Seconds(1));
  this->renewedAt = std::max(this->renewedAt, renewed.sentAt);
  if (this->Chance(20)) {
    renewed.recalls.emplace_back(
      TeamId("team-a"), static_cast<std::uint32_t>(this->random.Below(4)));
  }
  this->Send(renewed);
}

// Commands of the reducer reach the log in order, but late or not at all.
void
RequestSimulation::ApplyDelayedCommand()
{
  if (this->commands.empty()) {
    return;
  }
  const state::CommandBody body = this->commands.front();
  this->commands.pop_front();
  if (!this->Chance(10)) {
    this->fleet.Apply(body);
    this->Check(std::exchange(this->fleet.viewEffects, {}));
  }
}

void
RequestSimulation::AdvanceClock()
{
  if (this->Chance(this->fleet.connected ? 2 : 15)) {
    this->fleet.connected = !this->fleet.connected;
  }
  this->fleet.AdvanceTime(
    this->random.Between(Duration(1000), Seconds(this->Chance(5) ? 8 : 0.2)));
  this->Send(Tick{});
}

void
RequestSimulation::DeliverDelayed()
{
  if (this->delayed.empty()) {
    return;
  }
  const std::size_t place = this->random.Below(this->delayed.size());
  const Event event = this->delayed[place].event;
  this->delayed.erase(this->delayed.begin() +
                      static_cast<std::ptrdiff_t>(place));
  this->Send(event);
  if (this->Chance(10)) {
    this->delayed.push_back({ this->fleet.now, event });
  }
}

void
RequestSimulation::SendDelayed(const Event& aEvent)
{
  if (this->Chance(50)) {
    this->delayed.push_back({ this->fleet.now, aEvent });
  } else {
    this->Send(aEvent);
  }
}

void
RequestSimulation::Settle()
{
  this->fleet.connected = true;
  while (!this->delayed.empty()) {
    this->DeliverDelayed();
  }
  for (int second = 0; second < 130; ++second) {
    this->fleet.AdvanceTime(Seconds(1));
    this->Renew();
    this->Send(Tick{});
  }
  for (const auto& [number, caller] : this->callers) {
    if (!caller.ended) {
      this->ReportViolation("request " + std::to_string(number) +
                            " never ended");
    }
  }
  if (this->fleet.reducer.Active() != 0) {
    this->ReportViolation("requests are active although all have ended");
  }
  for (const wire::TeamDemand& demand : this->fleet.reducer.Demand()) {
    if (demand.inUse + demand.waiting != 0) {
      this->ReportViolation("team " + demand.team.value +
                            " still uses permits");
    }
  }
}

} // namespace hyssoppaddle::test
