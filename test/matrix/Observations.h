// What callers, upstreams, the platform and operators have seen, and the checks
// of the invariants on it. It reads no bookkeeping of the product.
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
  std::size_t ends = 0;
  std::optional<request::Problem> refusal;
  bool refusedAsNotRun = false;
  bool answered = false;
  std::size_t executions = 0; // started at an upstream
};

// How much happened, so that a matrix in which nothing ran cannot pass unseen.
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
  // An upstream starts or ends a request or a task of a team.
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

  // The platform is told to stop an instance of a pool of which aOthersServing
  // other instances serve.
  void PlannedStop(const InstanceId& aInstance,
                   std::size_t aOthersServing,
                   std::size_t aMinAvailable);
  void Rebooted(const InstanceId& aInstance, std::size_t aWorkCut);

  // A reader sees this bundle version in force at an entry instance.
  void BundleSeen(const std::string& aEntry, std::uint64_t aVersion);
  // A reader finds the instance in this many pools.
  void PoolsSeen(const InstanceId& aInstance, std::size_t aPools);
  // Everything has healed and settled.
  void Settled(const std::string& aEntry,
               std::uint64_t aVersion,
               std::uint64_t aAcceptedVersion);
  void RequestsSettled();

  [[nodiscard]] const std::map<std::string, CallerRequest>& Requests() const;

private:
  std::map<std::string, CallerRequest> requests;
  std::map<std::string, std::size_t> executionsByKey;
  std::map<std::string, std::size_t> taskRuns;
  std::map<TeamId, std::size_t> running;
  std::map<TeamId, std::size_t> limits;
  std::map<KeyId, Time> withdrawn;
  std::map<InstanceId, Time> departing;
  std::map<std::string, std::uint64_t> versions;
  std::vector<std::string> violations;
  Activity activity;

  void Violate(std::string aText);
};

} // namespace hyssoppaddle::test

#endif
