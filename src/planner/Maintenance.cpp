// Decides the order, pace and pauses of a wave. Lifecycle carries out the stops
// of the individual instances.
#include "planner/Maintenance.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

using enum state::InstancePhase;

constexpr std::size_t kCollectedPerTick = 256;
constexpr std::size_t kScannedPerTick = 128;
// Assumed time of a reboot in the first forecast. The measured pace replaces it
// later.
constexpr Duration kRebootEstimate{ std::chrono::seconds(120) };
constexpr Duration kRequestDrainEstimate{ std::chrono::seconds(62) };
constexpr Duration kProposalInterval{ std::chrono::seconds(2) };
constexpr Duration kRefreshInterval{ std::chrono::seconds(60) };
// A paused wave resumes after this many soak times without another loss.
constexpr int kQuietSoakTimes = 2;
// The wave is planned to take a third of the interval, which leaves time to
// catch up after pauses.
constexpr int kPlannedIntervalDivisor = 3;
// An instance that was maintained less than this part of the interval before
// the wave started is left to the next wave.
constexpr int kCutoffDivisor = 2;
constexpr Duration kForecastTolerance{ std::chrono::seconds(300) };

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
  this->leaderSince = aNow;
  this->wave.reset();
  this->maintained.clear();
  this->byLastMaintained.clear();
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
  this->doneCount = 0;
  this->paceSince = aNow;
}

const state::WaveRecord*
Maintenance::ActiveRecord(const Context& aContext) const
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
  this->doneCount = 0;
  this->paceSince = aContext.now;
}

WallTime
Maintenance::Cutoff(const Context& aContext) const
{
  const state::WaveRecord* record = this->ActiveRecord(aContext);
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
    this->byLastMaintained.erase({ known->second, aInstance });
  }
  const auto domain = this->domains.find(aInstance);
  if (domain != this->domains.end()) {
    this->remaining.erase(
      WaveTarget(domain->second.first, domain->second.second, aInstance));
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
    ++this->doneCount;
  }
  this->maintained[aInstance] = record.lastMaintainedAt;
  this->byLastMaintained.emplace(record.lastMaintainedAt, aInstance);
  const Domain place(record.dataCentre, record.rack);
  this->domains[aInstance] = place;
  ++this->domainSizes[place];
  if (IsUnderway(record)) {
    this->underway.insert(aInstance);
  } else if (record.phase != Soaking) {
    this->underway.erase(aInstance);
  }
  this->AddIfDue(aContext, aInstance);
}

void
Maintenance::AddIfDue(const Context& aContext, const InstanceId& aInstance)
{
  const state::InstanceRecord& record =
    aContext.state.Instances().at(aInstance);
  if (this->wave && CanBeMaintained(record) &&
      record.lastMaintainedAt < this->Cutoff(aContext)) {
    this->remaining.emplace(record.dataCentre, record.rack, aInstance);
  }
}

// Collects the instances due for the wave, a bounded number per tick.
void
Maintenance::CollectDue(const Context& aContext)
{
  const WallTime cutoff = this->Cutoff(aContext);
  auto next = this->byLastMaintained.upper_bound(this->collectCursor);
  for (std::size_t step = 0; step < kCollectedPerTick; ++step, ++next) {
    if (next == this->byLastMaintained.end() || next->first >= cutoff) {
      this->collected = true;
      return;
    }
    this->collectCursor = *next;
    this->AddIfDue(aContext, next->second);
  }
}

void
Maintenance::OnTick(Context& aContext)
{
  if (aContext.now < this->notBefore) {
    return;
  }
  const state::WaveRecord* record = this->ActiveRecord(aContext);
  if (record == nullptr) {
    this->MaybeStart(aContext);
    return;
  }
  if (!this->collected) {
    this->CollectDue(aContext);
    return;
  }
  if (this->PauseOrResume(aContext) ||
      record->state != state::WaveState::Running) {
    return;
  }
  this->AdvanceWave(aContext);
}

Duration
Maintenance::TimePerDomain(const Context& aContext) const
{
  const state::PolicySpec& policy = aContext.state.ActiveBundle().policy;
  return policy.drainTime + kRequestDrainEstimate + kRebootEstimate +
         policy.soakTime;
}

std::size_t
Maintenance::ParallelDomains(const Context& aContext) const
{
  const Duration interval =
    aContext.state.ActiveBundle().policy.maintenanceInterval;
  const auto needed = this->TimePerDomain(aContext).count() *
                      static_cast<std::int64_t>(this->domainSizes.size()) *
                      kPlannedIntervalDivisor;
  return static_cast<std::size_t>(needed /
                                  std::max<std::int64_t>(1, interval.count())) +
         1;
}

Duration
Maintenance::RemainingTime(const Context& aContext) const
{
  const auto left = static_cast<std::int64_t>(
    this->collected ? this->remaining.size() : this->maintained.size());
  const Duration soak = aContext.state.ActiveBundle().policy.soakTime;
  if (this->doneCount > 0) {
    return (aContext.now - this->paceSince) /
             static_cast<std::int64_t>(this->doneCount) * left +
           soak;
  }
  const auto instances = std::max<std::int64_t>(
    1, static_cast<std::int64_t>(this->maintained.size()));
  const auto domainCount = static_cast<std::int64_t>(this->domainSizes.size());
  return this->TimePerDomain(aContext) * domainCount * left / instances /
           static_cast<std::int64_t>(this->ParallelDomains(aContext)) +
         soak;
}

// Starts a wave early enough for it to end before the oldest instance is due.
void
Maintenance::MaybeStart(Context& aContext)
{
  const Duration interval =
    aContext.state.ActiveBundle().policy.maintenanceInterval;
  if (this->byLastMaintained.empty() || interval <= Duration(0)) {
    return;
  }
  const Duration quietTime =
    aContext.state.ActiveBundle().policy.soakTime * kQuietSoakTimes;
  const auto& alarm = this->history.LatestAlarm();
  const bool isQuiet = !alarm || aContext.now - alarm->at >= quietTime;
  const Duration waveTime =
    this->TimePerDomain(aContext) *
    static_cast<std::int64_t>(this->domainSizes.size()) /
    static_cast<std::int64_t>(this->ParallelDomains(aContext));
  const Duration leadTime =
    std::min(interval / kCutoffDivisor, std::max(interval / 10, waveTime * 2));
  if (!isQuiet || aContext.wallNow < this->byLastMaintained.begin()->first +
                                       interval - leadTime) {
    return;
  }
  this->wave =
    WaveId("wave-" + std::to_string(
                       aContext.wallNow.time_since_epoch().count() / 1000000));
  this->collected = false;
  this->collectCursor = {};
  this->ProposeState(aContext, state::WaveState::Running, "instances are due");
  this->wave.reset();
}

// Returns true when the wave is paused or resumed in this step.
bool
Maintenance::PauseOrResume(Context& aContext)
{
  const state::WaveRecord& record = *this->ActiveRecord(aContext);
  const Duration quietTime =
    aContext.state.ActiveBundle().policy.soakTime * kQuietSoakTimes;
  const auto& alarm = this->history.LatestAlarm();
  const bool isAlarmed = alarm && aContext.now - alarm->at < quietTime;
  if (record.state == state::WaveState::Running && isAlarmed) {
    this->pausedAt = aContext.now;
    this->ProposeState(aContext, state::WaveState::Paused, alarm->reason);
    return true;
  }
  if (record.state == state::WaveState::Paused && !isAlarmed &&
      aContext.now - std::max(this->leaderSince, this->pausedAt) >= quietTime) {
    this->ProposeState(aContext,
                       state::WaveState::Running,
                       "no further loss for twice the soak time");
    return true;
  }
  return false;
}

void
Maintenance::AdvanceWave(Context& aContext)
{
  if (this->remaining.empty() && this->underway.empty()) {
    this->ProposeState(aContext,
                       state::WaveState::Finished,
                       "every instance that can be maintained was maintained");
    return;
  }
  this->DrainNext(aContext);
  this->RefreshForecast(aContext);
}

// Drains as many instances as the budgets allow in the failure domains under
// maintenance. Starts the next domain while fewer than ParallelDomains() are
// under maintenance.
void
Maintenance::DrainNext(Context& aContext)
{
  std::set<Domain> open;
  for (const InstanceId& instance : this->underway) {
    const state::InstanceRecord& record =
      aContext.state.Instances().at(instance);
    if (record.phase != Soaking) {
      open.emplace(record.dataCentre, record.rack);
    }
  }
  const std::size_t allowed = this->ParallelDomains(aContext);
  this->blocked.clear();
  this->waitReason.clear();
  std::size_t scanned = 0;
  for (const auto& [centre, rack, instance] : this->remaining) {
    if (++scanned > kScannedPerTick || aContext.decisionsLeft == 0) {
      return;
    }
    const Domain domain(centre, rack);
    const state::InstanceRecord& record =
      aContext.state.Instances().at(instance);
    const bool mayOpen = open.contains(domain) || open.size() < allowed;
    if (record.phase != Serving || !mayOpen) {
      continue;
    }
    if (this->budget.ProposeDrain(aContext,
                                  instance,
                                  state::StopPurpose::Maintenance,
                                  "maintenance of rack " + rack.value)) {
      open.insert(domain);
      continue;
    }
    const std::string why =
      this->budget.DescribeShortage(aContext, record.pool);
    if (!why.empty()) {
      this->blocked.insert(record.pool);
      if (this->waitReason.empty()) {
        this->waitReason = "waits for " + instance.value + ": " + why;
      }
    }
  }
}

// Updates the forecast and the reason in the wave record, at most once a
// minute.
void
Maintenance::RefreshForecast(Context& aContext)
{
  if (aContext.now < this->refreshAt) {
    return;
  }
  this->refreshAt = aContext.now + kRefreshInterval;
  const state::WaveRecord& record = *this->ActiveRecord(aContext);
  const std::string reason =
    this->waitReason.empty()
      ? std::to_string(this->remaining.size()) + " instances remain"
      : this->waitReason;
  const WallTime forecast = aContext.wallNow + this->RemainingTime(aContext);
  const Duration shift = forecast > record.forecastEnd
                           ? forecast - record.forecastEnd
                           : record.forecastEnd - forecast;
  if (reason != record.reason || shift > kForecastTolerance) {
    this->ProposeState(aContext, state::WaveState::Running, reason);
  }
}

void
Maintenance::ProposeState(Context& aContext,
                          state::WaveState aState,
                          std::string aReason)
{
  if (!this->wave || !aContext.TakeDecision()) {
    return;
  }
  this->notBefore = aContext.now + kProposalInterval;
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
  aContext.Propose(
    state::SetWave{ *this->wave,
                    aState,
                    std::move(aReason),
                    aContext.wallNow + this->RemainingTime(aContext) });
}

std::vector<std::string>
Maintenance::Explain(const Context& aContext) const
{
  const state::WaveRecord* record = this->ActiveRecord(aContext);
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
