// Order, pace and pauses of a wave. The instances themselves are led by
// Lifecycle.
#include "planner/Maintenance.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

using enum state::InstancePhase;

constexpr std::size_t kCollectedPerTick = 256;
constexpr std::size_t kScannedPerTick = 128;
// Time for a reboot in the first forecast; the measured pace replaces it.
constexpr Duration kRebootEstimate{ 120000000 };
constexpr Duration kRequestsEstimate{ 62000000 };
constexpr Duration kProposalPause{ 2000000 };
constexpr Duration kRefreshInterval{ 60000000 };
// Soak times without another loss before a paused wave goes on.
constexpr int kCalmSoaks = 2;
// The wave is planned to end in a third of the interval, so that pauses leave
// time to catch up.
constexpr int kHeadroom = 3;
// An instance maintained within this part of the interval before the wave is
// left to the next one.
constexpr int kCutoffDivisor = 2;
constexpr Duration kForecastStep{ 300000000 };

bool
IsUnderway(const state::InstanceRecord& aRecord)
{
  return aRecord.purpose == state::StopPurpose::Maintenance &&
         (aRecord.phase == Draining || aRecord.phase == Stopped ||
          aRecord.phase == Rebooting);
}

bool
CanBeMaintained(const state::InstanceRecord& aRecord)
{
  return !aRecord.retired && !aRecord.requested.has_value() &&
         (aRecord.phase == Serving || aRecord.phase == Soaking ||
          IsUnderway(aRecord));
}

} // namespace

Maintenance::Maintenance(Budget& aBudget, const DomainHistory& aHistory)
  : budget(aBudget)
  , history(aHistory)
{
}

void
Maintenance::Reset(Time aNow)
{
  this->since = aNow;
  this->wave.reset();
  this->maintained.clear();
  this->byAge.clear();
  this->domains.clear();
  this->domainSizes.clear();
  this->remaining.clear();
  this->underway.clear();
  this->collected = false;
  this->collectCursor = {};
  this->blocked.clear();
  this->waitReason.clear();
  this->notBefore = aNow;
  this->refreshAt = aNow;
  this->pausedAt = aNow;
  this->done = 0;
  this->paceSince = aNow;
}

const state::WaveRecord*
Maintenance::Record(const Context& aContext) const
{
  if (!this->wave) {
    return nullptr;
  }
  const auto found = aContext.state.Waves().find(*this->wave);
  return found == aContext.state.Waves().end() ? nullptr : &found->second;
}

void
Maintenance::OnWaves(const Context& aContext)
{
  std::optional<WaveId> active;
  for (const auto& [id, record] : aContext.state.Waves()) {
    if (record.state != state::WaveState::Finished) {
      active = id;
    }
  }
  if (active == this->wave) {
    return;
  }
  this->wave = active;
  this->remaining.clear();
  this->collected = false;
  this->collectCursor = {};
  this->done = 0;
  this->paceSince = aContext.now;
}

WallTime
Maintenance::Cutoff(const Context& aContext) const
{
  const state::WaveRecord* record = this->Record(aContext);
  const Duration interval =
    aContext.state.ActiveBundle().policy.maintenanceInterval;
  return record == nullptr ? WallTime{}
                           : record->startedAt - interval / kCutoffDivisor;
}

void
Maintenance::OnInstance(const Context& aContext, const InstanceId& aInstance)
{
  const auto known = this->maintained.find(aInstance);
  if (known != this->maintained.end()) {
    this->byAge.erase({ known->second, aInstance });
  }
  const auto domain = this->domains.find(aInstance);
  if (domain != this->domains.end()) {
    this->remaining.erase(
      Slot(domain->second.first, domain->second.second, aInstance));
    if (--this->domainSizes[domain->second] == 0) {
      this->domainSizes.erase(domain->second);
    }
  }
  const auto found = aContext.state.Instances().find(aInstance);
  if (found == aContext.state.Instances().end()) {
    this->maintained.erase(aInstance);
    this->domains.erase(aInstance);
    this->underway.erase(aInstance);
    return;
  }
  const state::InstanceRecord& record = found->second;
  if (known != this->maintained.end() &&
      record.lastMaintainedAt > known->second) {
    ++this->done;
  }
  this->maintained[aInstance] = record.lastMaintainedAt;
  this->byAge.emplace(record.lastMaintainedAt, aInstance);
  const Domain place(record.dataCentre, record.rack);
  this->domains[aInstance] = place;
  ++this->domainSizes[place];
  if (IsUnderway(record)) {
    this->underway.insert(aInstance);
  } else if (record.phase != Soaking) {
    this->underway.erase(aInstance);
  }
  this->Consider(aContext, aInstance);
}

void
Maintenance::Consider(const Context& aContext, const InstanceId& aInstance)
{
  const state::InstanceRecord& record =
    aContext.state.Instances().at(aInstance);
  if (this->wave && CanBeMaintained(record) &&
      record.lastMaintainedAt < this->Cutoff(aContext)) {
    this->remaining.emplace(record.dataCentre, record.rack, aInstance);
  }
}

// Instances due for the wave, a bounded number per tick.
void
Maintenance::Collect(const Context& aContext)
{
  const WallTime cutoff = this->Cutoff(aContext);
  auto next = this->byAge.upper_bound(this->collectCursor);
  for (std::size_t step = 0; step < kCollectedPerTick; ++step, ++next) {
    if (next == this->byAge.end() || next->first >= cutoff) {
      this->collected = true;
      return;
    }
    this->collectCursor = *next;
    this->Consider(aContext, next->second);
  }
}

void
Maintenance::OnTick(Context& aContext)
{
  if (aContext.now < this->notBefore) {
    return;
  }
  const state::WaveRecord* record = this->Record(aContext);
  if (record == nullptr) {
    this->MaybeStart(aContext);
    return;
  }
  if (!this->collected) {
    this->Collect(aContext);
    return;
  }
  if (this->PauseOrResume(aContext) ||
      record->state != state::WaveState::Running) {
    return;
  }
  this->Pursue(aContext);
}

Duration
Maintenance::PerDomain(const Context& aContext) const
{
  const state::PolicySpec& policy = aContext.state.ActiveBundle().policy;
  return policy.drainTime + kRequestsEstimate + kRebootEstimate +
         policy.soakTime;
}

std::size_t
Maintenance::Parallel(const Context& aContext) const
{
  const Duration interval =
    aContext.state.ActiveBundle().policy.maintenanceInterval;
  const auto needed = this->PerDomain(aContext).count() *
                      static_cast<std::int64_t>(this->domainSizes.size()) *
                      kHeadroom;
  return static_cast<std::size_t>(needed /
                                  std::max<std::int64_t>(1, interval.count())) +
         1;
}

Duration
Maintenance::Remaining(const Context& aContext) const
{
  const auto left = static_cast<std::int64_t>(
    this->collected ? this->remaining.size() : this->maintained.size());
  const Duration soak = aContext.state.ActiveBundle().policy.soakTime;
  if (this->done > 0) {
    return (aContext.now - this->paceSince) /
             static_cast<std::int64_t>(this->done) * left +
           soak;
  }
  const auto instances = std::max<std::int64_t>(
    1, static_cast<std::int64_t>(this->maintained.size()));
  const auto domainCount = static_cast<std::int64_t>(this->domainSizes.size());
  return this->PerDomain(aContext) * domainCount * left / instances /
           static_cast<std::int64_t>(this->Parallel(aContext)) +
         soak;
}

// A wave starts early enough to end before the oldest instance is due.
void
Maintenance::MaybeStart(Context& aContext)
{
  const Duration interval =
    aContext.state.ActiveBundle().policy.maintenanceInterval;
  if (this->byAge.empty() || interval <= Duration(0)) {
    return;
  }
  const Duration calm =
    aContext.state.ActiveBundle().policy.soakTime * kCalmSoaks;
  const auto& alarm = this->history.LatestAlarm();
  const bool isCalm = !alarm || aContext.now - alarm->at >= calm;
  const Duration whole = this->PerDomain(aContext) *
                         static_cast<std::int64_t>(this->domainSizes.size()) /
                         static_cast<std::int64_t>(this->Parallel(aContext));
  const Duration lead =
    std::min(interval / kCutoffDivisor, std::max(interval / 10, whole * 2));
  if (!isCalm || aContext.wall < this->byAge.begin()->first + interval - lead) {
    return;
  }
  this->wave =
    WaveId("wave-" +
           std::to_string(aContext.wall.time_since_epoch().count() / 1000000));
  this->collected = false;
  this->collectCursor = {};
  this->Set(aContext, state::WaveState::Running, "instances are due");
  this->wave.reset();
}

// True when the step changed the state of the wave.
bool
Maintenance::PauseOrResume(Context& aContext)
{
  const state::WaveRecord& record = *this->Record(aContext);
  const Duration calm =
    aContext.state.ActiveBundle().policy.soakTime * kCalmSoaks;
  const auto& alarm = this->history.LatestAlarm();
  const bool isAlarmed = alarm && aContext.now - alarm->at < calm;
  if (record.state == state::WaveState::Running && isAlarmed) {
    this->pausedAt = aContext.now;
    this->Set(aContext, state::WaveState::Paused, alarm->reason);
    return true;
  }
  if (record.state == state::WaveState::Paused && !isAlarmed &&
      aContext.now - std::max(this->since, this->pausedAt) >= calm) {
    this->Set(aContext,
              state::WaveState::Running,
              "no further loss for twice the soak time");
    return true;
  }
  return false;
}

void
Maintenance::Pursue(Context& aContext)
{
  if (this->remaining.empty() && this->underway.empty()) {
    this->Set(aContext,
              state::WaveState::Finished,
              "every instance that can be maintained was maintained");
    return;
  }
  this->StopNext(aContext);
  this->Refresh(aContext);
}

// Stops what the budgets allow in the domains that are open; the next domain
// is opened when fewer than the allowed number are.
void
Maintenance::StopNext(Context& aContext)
{
  std::set<Domain> open;
  for (const InstanceId& instance : this->underway) {
    const state::InstanceRecord& record =
      aContext.state.Instances().at(instance);
    if (record.phase != Soaking) {
      open.emplace(record.dataCentre, record.rack);
    }
  }
  const std::size_t allowed = this->Parallel(aContext);
  this->blocked.clear();
  this->waitReason.clear();
  std::size_t scanned = 0;
  for (const auto& [centre, rack, instance] : this->remaining) {
    if (++scanned > kScannedPerTick || aContext.left == 0) {
      return;
    }
    const Domain domain(centre, rack);
    const state::InstanceRecord& record =
      aContext.state.Instances().at(instance);
    const bool mayOpen = open.contains(domain) || open.size() < allowed;
    if (record.phase != Serving || !mayOpen) {
      continue;
    }
    if (this->budget.Drain(aContext,
                           instance,
                           state::StopPurpose::Maintenance,
                           "maintenance of rack " + rack.value)) {
      open.insert(domain);
      continue;
    }
    const std::string why = this->budget.WhyNot(aContext, record.pool);
    if (!why.empty()) {
      this->blocked.insert(record.pool);
      if (this->waitReason.empty()) {
        this->waitReason = "waits for " + instance.value + ": " + why;
      }
    }
  }
}

// Keeps the forecast and the reason up to date, at most once a minute.
void
Maintenance::Refresh(Context& aContext)
{
  if (aContext.now < this->refreshAt) {
    return;
  }
  this->refreshAt = aContext.now + kRefreshInterval;
  const state::WaveRecord& record = *this->Record(aContext);
  const std::string reason =
    this->waitReason.empty()
      ? std::to_string(this->remaining.size()) + " instances remain"
      : this->waitReason;
  const WallTime forecast = aContext.wall + this->Remaining(aContext);
  const Duration shift = forecast > record.forecastEnd
                           ? forecast - record.forecastEnd
                           : record.forecastEnd - forecast;
  if (reason != record.reason || shift > kForecastStep) {
    this->Set(aContext, state::WaveState::Running, reason);
  }
}

void
Maintenance::Set(Context& aContext,
                 state::WaveState aState,
                 std::string aReason)
{
  if (!this->wave || !aContext.Take()) {
    return;
  }
  this->notBefore = aContext.now + kProposalPause;
  aContext.Log(
    LogDecision{ .kind = "wave",
                 .subject = this->wave->value,
                 .team = {},
                 .pool = {},
                 .candidates = {},
                 .chosen = aState == state::WaveState::Running  ? "run"
                           : aState == state::WaveState::Paused ? "pause"
                                                                : "finish",
                 .rule = "failure domain by failure domain",
                 .reason = aReason });
  aContext.Propose(state::SetWave{ *this->wave,
                                   aState,
                                   std::move(aReason),
                                   aContext.wall + this->Remaining(aContext) });
}

std::vector<std::string>
Maintenance::Explain(const Context& aContext) const
{
  const state::WaveRecord* record = this->Record(aContext);
  if (record == nullptr) {
    return { "no wave runs; one starts before the oldest instance is due" };
  }
  if (record->state == state::WaveState::Paused) {
    return { "the wave is paused: " + record->reason,
             "it goes on after twice the soak time without another loss" };
  }
  std::vector<std::string> lines{ std::to_string(this->remaining.size()) +
                                  " instances remain, " +
                                  std::to_string(this->underway.size()) +
                                  " are underway" };
  if (!this->waitReason.empty()) {
    lines.push_back("it " + this->waitReason);
    lines.emplace_back("it goes on when more instances of the pool serve");
  }
  return lines;
}

} // namespace hyssoppaddle::planner
