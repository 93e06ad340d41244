// Turns by the share of the arriving work.
#include "dispatch/TurnForecast.h"

#include <algorithm>
#include <set>

namespace hyssoppaddle::dispatch {

namespace {

// A service with this share of the arriving work has its turn.
constexpr double kDominantShare = 0.6;
// For less time a few large jobs could have the same effect.
constexpr Duration kMinDominance = std::chrono::milliseconds(150);
// Time after which a turn is noticed: the weights of recent arrivals follow a
// change with this delay.
constexpr Duration kNoticeDelay = std::chrono::milliseconds(700);
constexpr Duration kMinTurn = std::chrono::milliseconds(1500);
constexpr Duration kMaxTurn = std::chrono::seconds(60);
// Intervals that differ by more than this fraction are no rhythm. Peaks of jobs
// of different sizes are noticed after different times.
constexpr double kTolerance = 0.4;
// Two cycles of as many services as usually share a fleet.
constexpr std::size_t kMaxTurns = 32;

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

void
TurnForecast::Observe(std::span<const ServiceDemand> aDemands, Time aNow)
{
  double total = 0;
  const ServiceDemand* most = nullptr;
  this->services.clear();
  for (const ServiceDemand& demand : aDemands) {
    this->services.push_back(demand.service);
    total += demand.arriving;
    if (most == nullptr || demand.arriving > most->arriving) {
      most = &demand;
    }
    if (!this->turns.empty() && this->turns.back().service == demand.service) {
      this->currentPeak = std::max(this->currentPeak, demand.running);
    }
  }
  const bool isDominant = most != nullptr && most->arriving > 0 &&
                          most->arriving >= kDominantShare * total;
  const bool isCurrent = isDominant && !this->turns.empty() &&
                         this->turns.back().service == most->service;
  if (!isDominant || isCurrent) {
    this->contender.reset();
    return;
  }
  if (!this->contender || this->contender->service != most->service) {
    this->contender = Turn{ most->service, aNow };
  }
  if (aNow - this->contender->since >= kMinDominance) {
    this->BeginTurn(most->service, this->contender->since);
    this->contender.reset();
  }
}

void
TurnForecast::BeginTurn(const ServiceId& aService, Time aNow)
{
  if (!this->turns.empty()) {
    this->peaks[this->turns.back().service] = this->currentPeak;
    const Duration length = aNow - this->turns.back().since;
    const bool isRegular =
      this->turnLength == Duration(0) ||
      (length >= Scaled(this->turnLength, 1 - kTolerance) &&
       length <= Scaled(this->turnLength, 1 + kTolerance));
    const bool isTurn = length >= kMinTurn && length <= kMaxTurn;
    if (!isRegular || !isTurn) {
      this->turns.clear();
    }
    // The mean is over the intervals that this turn ends.
    const auto intervals = static_cast<Duration::rep>(this->turns.size());
    this->turnLength = intervals == 0
                         ? Duration(0)
                         : (aNow - this->turns.front().since) / intervals;
  }
  this->currentPeak = 0;
  this->turns.push_back({ aService, aNow });
  if (this->turns.size() > kMaxTurns) {
    this->turns.erase(this->turns.begin());
  }
}

// The service that followed the current one the last time, or the only one that
// has had no turn yet.
std::optional<ServiceId>
TurnForecast::Next() const
{
  const ServiceId& current = this->turns.back().service;
  for (std::size_t i = this->turns.size() - 1; i-- > 0;) {
    if (this->turns[i].service == current) {
      return this->turns[i + 1].service;
    }
  }
  std::set<ServiceId> seen;
  for (const Turn& turn : this->turns) {
    seen.insert(turn.service);
  }
  std::vector<ServiceId> unseen;
  for (const ServiceId& service : this->services) {
    if (!seen.contains(service)) {
      unseen.push_back(service);
    }
  }
  if (unseen.size() == 1) {
    return unseen.front();
  }
  // All have had their turn once: the first one comes next.
  if (unseen.empty() && this->turns.size() == seen.size()) {
    return this->turns.front().service;
  }
  return std::nullopt;
}

double
TurnForecast::ExpectedCores(const ServiceId& aService,
                            Duration aAhead,
                            Time aNow) const
{
  if (this->turnLength == Duration(0)) {
    return 0;
  }
  const Time begins = this->turns.back().since + this->turnLength;
  const Duration tolerance = Scaled(this->turnLength, kTolerance);
  const bool isNear =
    aNow >= begins - aAhead - kNoticeDelay && aNow <= begins + tolerance;
  if (!isNear || this->Next() != aService) {
    return 0;
  }
  if (const auto known = this->peaks.find(aService);
      known != this->peaks.end()) {
    return known->second;
  }
  const auto least =
    std::min_element(this->peaks.begin(),
                     this->peaks.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  return least == this->peaks.end() ? 0 : least->second;
}

} // namespace hyssoppaddle::dispatch
