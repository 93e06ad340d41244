// Records what callers, upstreams, the platform and operators observe, and
// checks the invariants on it. It is independent of the internal state of the
// product.
#ifndef hyssoppaddle_test_matrix_Observations_h
#define hyssoppaddle_test_matrix_Observations_h

#include "base/Id.h"
#include "base/Time.h"
#include "request/Events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::test {

// One request of a caller through one entry instance.
struct CallerRequest
{
  std::string name;           // unique
  std::string idempotencyKey; // shared by resends; may be empty
  TeamId team;
  std::optional<KeyId> key;
  bool idempotent = true;
  Time sentAt;
  std::size_t endCount = 0;
  std::optional<request::Problem> refusal;
  bool refusedAsNotRun = false;
  bool answered = false;
  std::size_t executions = 0; // started at an upstream
};

// Amount of activity in the cells. It is printed so that a run in which nothing
// happened is noticed although it has no violations.
struct Activity
{
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t executions = 0;
  std::size_t tasks = 0;
  std::size_t plannedStops = 0;
  std::size_t reboots = 0;
  std::size_t bundlesSeen = 0;

  Activity& operator+=(const Activity& aOther);
};

class Observations
{
public:
  [[nodiscard]] Activity Totals() const;

  // Violations found so far, one sentence each.
  [[nodiscard]] const std::vector<std::string>& Violations() const;

  CallerRequest& NewRequest(const CallerRequest& aRequest);
  void RequestEnded(const std::string& aName, bool aAnswered);
  void RequestRefused(const std::string& aName,
                      request::Problem aProblem,
                      bool aNotRun);
  // An upstream has started or ended a request or a task of a team.
  void ExecutionStarted(const std::string& aName,
                        const InstanceId& aUpstream,
                        Time aNow);
  void WorkStarted(const TeamId& aTeam, Time aNow);
  void WorkEnded(const TeamId& aTeam);
  void TaskStarted(const std::string& aJob, bool aIdempotent);

  void LimitSet(const TeamId& aTeam, std::size_t aLimit);
  void KeyWithdrawn(const KeyId& aKey, Time aAnsweredAt);
  void DepartureAnnounced(const InstanceId& aUpstream, Time aAt);
  void UpstreamBooted(const InstanceId& aUpstream);

  // A planned stop of an instance has begun while aOthersServing other
  // instances of its pool are serving.
  void PlannedStop(const InstanceId& aInstance,
                   std::size_t aOthersServing,
                   std::size_t aMinAvailable);
  void Rebooted(const InstanceId& aInstance, std::size_t aInterruptedWork);

  // A reader has found this bundle version in force at an entry instance.
  void BundleSeen(const std::string& aEntry, std::uint64_t aVersion);
  // A reader has found the instance in this many pools.
  void PoolsSeen(const InstanceId& aInstance, std::size_t aPools);
  // Checks to run after all faults have healed and the fleet has settled.
  void CheckBundleInForce(const std::string& aEntry,
                          std::uint64_t aVersion,
                          std::uint64_t aAcceptedVersion);
  void CheckRequestsEnded();

  [[nodiscard]] const std::map<std::string, CallerRequest>& Requests() const;

private:
  std::map<std::string, CallerRequest> requests;
  std::map<std::string, std::size_t> executionsByKey;
  std::map<std::string, std::size_t> taskRuns;
  std::map<TeamId, std::size_t> running;
  std::map<TeamId, std::size_t> limits;
  std::map<KeyId, Time> withdrawnKeys;
  std::map<InstanceId, Time> departures;
  std::map<std::string, std::uint64_t> bundleVersions;
  std::vector<std::string> violations;
  Activity activity;

  void AddViolation(std::string aText);
};

} // namespace hyssoppaddle::test

#endif
