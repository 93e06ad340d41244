// Sliding window of the resource use of each team.
#include "planner/ShareLedger.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

// What a team holds now is counted for this many more seconds, slightly more
// than the mean run time of a job. With 2 s, two teams whose jobs end together
// took the whole pool in turns; 12 s keeps the shortfall over 60 s lower than
// 4, 5 or 8 s.
constexpr double kHorizonSeconds = 12.0;
constexpr Duration kMinBucketLength{ std::chrono::milliseconds(1) };

double
Seconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

double
Fraction(std::int64_t aAmount, std::int64_t aTotal)
{
  return aTotal <= 0
           ? 0.0
           : static_cast<double>(aAmount) / static_cast<double>(aTotal);
}

double
Largest(const Fractions& aFractions)
{
  return *std::max_element(aFractions.begin(), aFractions.end());
}

} // namespace

void
ShareLedger::Reset(Time aNow)
{
  this->accounts.clear();
  this->bucketStart = aNow;
  this->advancedTo = aNow;
  this->bucket = 0;
}

void
ShareLedger::SetWindow(Duration aWindow)
{
  this->bucketLength =
    std::max(kMinBucketLength, aWindow / static_cast<int>(kBuckets));
}

void
ShareLedger::SetCapacity(const state::Resources& aCapacity)
{
  this->capacity = aCapacity;
}

void
ShareLedger::SetShare(const TeamId& aTeam, std::uint32_t aShare)
{
  this->accounts[aTeam].share = std::max<std::uint32_t>(1, aShare);
}

void
ShareLedger::RemoveTeam(const TeamId& aTeam)
{
  this->accounts.erase(aTeam);
}

void
ShareLedger::Charge(const TeamId& aTeam, const state::Resources& aAmount)
{
  this->accounts[aTeam].held += aAmount;
}

void
ShareLedger::Correct(const TeamId& aTeam,
                     const state::Resources& aAmount,
                     Duration aPeriod)
{
  Account& account = this->accounts[aTeam];
  const Duration window = this->bucketLength * static_cast<int>(kBuckets);
  const double seconds = Seconds(std::min(aPeriod, window));
  account.current[0] +=
    Fraction(aAmount.milliCpus, this->capacity.milliCpus) * seconds;
  account.current[1] +=
    Fraction(aAmount.memoryMb, this->capacity.memoryMb) * seconds;
  account.current[2] +=
    Fraction(aAmount.accelerators, this->capacity.accelerators) * seconds;
}

void
ShareLedger::SetRequests(const TeamId& aTeam, const state::Resources& aAmount)
{
  this->accounts[aTeam].requests = aAmount;
}

Fractions
ShareLedger::RateOf(const Account& aAccount) const
{
  state::Resources total = aAccount.held;
  total += aAccount.requests;
  return { Fraction(total.milliCpus, this->capacity.milliCpus),
           Fraction(total.memoryMb, this->capacity.memoryMb),
           Fraction(total.accelerators, this->capacity.accelerators) };
}

void
ShareLedger::CloseBucket()
{
  const std::size_t next = (this->bucket + 1) % kBuckets;
  for (auto& [team, account] : this->accounts) {
    for (std::size_t resource = 0; resource < account.current.size();
         ++resource) {
      account.buckets[this->bucket][resource] = account.current[resource];
      account.sum[resource] +=
        account.current[resource] - account.buckets[next][resource];
    }
    account.buckets[next] = {};
    account.current = {};
  }
  this->bucket = next;
  this->bucketStart += this->bucketLength;
}

void
ShareLedger::Advance(Time aNow)
{
  const Duration window = this->bucketLength * static_cast<int>(kBuckets);
  if (aNow - this->bucketStart > window + this->bucketLength) {
    // After a pause longer than the window, all of the earlier use is outside
    // it.
    this->bucketStart = aNow - window;
    this->advancedTo = std::max(this->advancedTo, this->bucketStart);
  }
  while (this->advancedTo < aNow) {
    const Time bucketEnd = this->bucketStart + this->bucketLength;
    const Time until = std::min(aNow, bucketEnd);
    const double seconds = Seconds(until - this->advancedTo);
    for (auto& [team, account] : this->accounts) {
      const Fractions rate = this->RateOf(account);
      for (std::size_t resource = 0; resource < rate.size(); ++resource) {
        account.current[resource] += rate[resource] * seconds;
      }
    }
    this->advancedTo = until;
    if (until == bucketEnd) {
      this->CloseBucket();
    }
  }
}

double
ShareLedger::PriorityKey(const TeamId& aTeam) const
{
  const auto found = this->accounts.find(aTeam);
  if (found == this->accounts.end()) {
    return 0;
  }
  const Account& account = found->second;
  const Fractions rate = this->RateOf(account);
  Fractions total{};
  for (std::size_t resource = 0; resource < total.size(); ++resource) {
    total[resource] = account.sum[resource] + account.current[resource] +
                      rate[resource] * kHorizonSeconds;
  }
  return Largest(total) / account.share;
}

double
ShareLedger::HeldFraction(const TeamId& aTeam) const
{
  const auto found = this->accounts.find(aTeam);
  return found == this->accounts.end() ? 0
                                       : Largest(this->RateOf(found->second));
}

double
ShareLedger::UsedFraction(const TeamId& aTeam) const
{
  const auto found = this->accounts.find(aTeam);
  if (found == this->accounts.end()) {
    return 0;
  }
  const double window =
    Seconds(this->bucketLength) * static_cast<double>(kBuckets);
  return Largest(found->second.sum) / window;
}

double
ShareLedger::FractionOf(const state::Resources& aAmount) const
{
  return std::max(
    { Fraction(aAmount.milliCpus, this->capacity.milliCpus),
      Fraction(aAmount.memoryMb, this->capacity.memoryMb),
      Fraction(aAmount.accelerators, this->capacity.accelerators) });
}

std::uint32_t
ShareLedger::ShareOf(const TeamId& aTeam) const
{
  const auto found = this->accounts.find(aTeam);
  return found == this->accounts.end() ? 1 : found->second.share;
}

} // namespace hyssoppaddle::planner
