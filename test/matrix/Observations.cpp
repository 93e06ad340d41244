// Checks the invariants on observed behaviour only.
#include "matrix/Observations.h"

#include <utility>

namespace hyssoppaddle::test {

namespace {

constexpr Duration kKeyWithdrawalBound = std::chrono::seconds(5);
constexpr Duration kDepartureBound = std::chrono::seconds(2);
// Allowance for a request that was in flight when the bound passed.
constexpr Duration kInFlightAllowance = std::chrono::milliseconds(50);

} // namespace

Activity&
Activity::operator+=(const Activity& aOther)
{
  this->requests += aOther.requests;
  this->answered += aOther.answered;
  this->refused += aOther.refused;
  this->executions += aOther.executions;
  this->tasks += aOther.tasks;
  this->plannedStops += aOther.plannedStops;
  this->reboots += aOther.reboots;
  this->bundlesSeen += aOther.bundlesSeen;
  return *this;
}

Activity
Observations::Totals() const
{
  Activity totals = this->activity;
  totals.requests = this->requests.size();
  for (const auto& [name, request] : this->requests) {
    totals.answered += request.answered ? 1 : 0;
    totals.refused += request.refusal ? 1 : 0;
    totals.executions += request.executions;
  }
  return totals;
}

const std::vector<std::string>&
Observations::Violations() const
{
  return this->violations;
}

void
Observations::AddViolation(std::string aText)
{
  this->violations.push_back(std::move(aText));
}

CallerRequest&
Observations::NewRequest(const CallerRequest& aRequest)
{
  return this->requests[aRequest.name] = aRequest;
}

void
Observations::RequestEnded(const std::string& aName, bool aAnswered)
{
  CallerRequest& request = this->requests.at(aName);
  ++request.endCount;
  request.answered = request.answered || aAnswered;
  if (request.endCount > 1) {
    this->AddViolation("request " + aName + " ended more than once");
  }
}

void
Observations::RequestRefused(const std::string& aName,
                             request::Problem aProblem,
                             bool aNotRun)
{
  CallerRequest& request = this->requests.at(aName);
  request.refusal = aProblem;
  request.refusedAsNotRun = aNotRun;
  if (aNotRun && request.executions > 0) {
    this->AddViolation("request " + aName + " was refused as not run but ran");
  }
  this->RequestEnded(aName, false);
}

void
Observations::ExecutionStarted(const std::string& aName,
                               const InstanceId& aUpstream,
                               Time aNow)
{
  CallerRequest& request = this->requests.at(aName);
  ++request.executions;
  if (request.refusedAsNotRun) {
    this->AddViolation("request " + aName +
                       " ran after its refusal as not run");
  }
  if (!request.idempotent && request.executions > 1) {
    this->AddViolation("non-idempotent request " + aName + " ran twice");
  }
  if (!request.idempotent && !request.idempotencyKey.empty() &&
      ++this->executionsByKey[request.idempotencyKey] > 1) {
    this->AddViolation("non-idempotent request with key " +
                       request.idempotencyKey + " ran twice over resends");
  }
  if (request.key && this->withdrawnKeys.contains(*request.key) &&
      aNow > this->withdrawnKeys.at(*request.key) + kKeyWithdrawalBound +
               kInFlightAllowance) {
    this->AddViolation("request " + aName + " ran with a withdrawn key");
  }
  const auto departure = this->departures.find(aUpstream);
  if (departure != this->departures.end() &&
      aNow > departure->second + kDepartureBound + kInFlightAllowance) {
    this->AddViolation("departing upstream " + aUpstream.value + " got " +
                       aName);
  }
  this->WorkStarted(request.team, aNow);
}

void
Observations::WorkStarted(const TeamId& aTeam, Time /*aNow*/)
{
  const std::size_t count = ++this->running[aTeam];
  const auto limit = this->limits.find(aTeam);
  if (limit != this->limits.end() && count > limit->second) {
    this->AddViolation("team " + aTeam.value + " has " + std::to_string(count) +
                       " running, its limit is " +
                       std::to_string(limit->second));
  }
}

void
Observations::WorkEnded(const TeamId& aTeam)
{
  --this->running[aTeam];
}

void
Observations::TaskStarted(const std::string& aJob, bool aIdempotent)
{
  ++this->activity.tasks;
  if (++this->taskRuns[aJob] > 1 && !aIdempotent) {
    this->AddViolation("non-idempotent job " + aJob + " ran twice");
  }
}

void
Observations::LimitSet(const TeamId& aTeam, std::size_t aLimit)
{
  this->limits[aTeam] = aLimit;
}

void
Observations::KeyWithdrawn(const KeyId& aKey, Time aAnsweredAt)
{
  this->withdrawnKeys.emplace(aKey, aAnsweredAt);
}

void
Observations::DepartureAnnounced(const InstanceId& aUpstream, Time aAt)
{
  this->departures.emplace(aUpstream, aAt);
}

void
Observations::UpstreamBooted(const InstanceId& aUpstream)
{
  this->departures.erase(aUpstream);
}

void
Observations::PlannedStop(const InstanceId& aInstance,
                          std::size_t aOthersServing,
                          std::size_t aMinAvailable)
{
  ++this->activity.plannedStops;
  if (aOthersServing < aMinAvailable) {
    this->AddViolation("planned stop of " + aInstance.value + " leaves " +
                       std::to_string(aOthersServing) + " serving, budget " +
                       std::to_string(aMinAvailable));
  }
}

void
Observations::Rebooted(const InstanceId& aInstance,
                       std::size_t aInterruptedWork)
{
  ++this->activity.reboots;
  if (aInterruptedWork > 0) {
    this->AddViolation("reboot of " + aInstance.value + " cut " +
                       std::to_string(aInterruptedWork) +
                       " running request(s) or task(s)");
  }
}

void
Observations::BundleSeen(const std::string& aEntry, std::uint64_t aVersion)
{
  ++this->activity.bundlesSeen;
  std::uint64_t& lastVersion = this->bundleVersions[aEntry];
  if (aVersion < lastVersion) {
    this->AddViolation("bundle of " + aEntry + " reverted from " +
                       std::to_string(lastVersion) + " to " +
                       std::to_string(aVersion));
  }
  lastVersion = aVersion;
}

void
Observations::PoolsSeen(const InstanceId& aInstance, std::size_t aPools)
{
  if (aPools != 1) {
    this->AddViolation("instance " + aInstance.value + " is in " +
                       std::to_string(aPools) + " pools");
  }
}

void
Observations::CheckBundleInForce(const std::string& aEntry,
                                 std::uint64_t aVersion,
                                 std::uint64_t aAcceptedVersion)
{
  if (aVersion < aAcceptedVersion) {
    this->AddViolation("accepted bundle " + std::to_string(aAcceptedVersion) +
                       " is not in force on " + aEntry);
  }
}

void
Observations::CheckRequestsEnded()
{
  for (const auto& [name, request] : this->requests) {
    if (request.endCount == 0) {
      this->AddViolation("request " + name + " never ended");
    }
  }
}

const std::map<std::string, CallerRequest>&
Observations::Requests() const
{
  return this->requests;
}

} // namespace hyssoppaddle::test
