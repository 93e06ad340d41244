// The parsed content of a bundle: the whole set-up of the fleet.
// config::ParseBundle produces it; the state machine, the request path and the
// planner read it.
#ifndef hyssoppaddle_state_Bundle_h
#define hyssoppaddle_state_Bundle_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoppaddle::state {

// Urgency of a request or job. Lower values go first.
enum class WorkClass : std::uint8_t
{
  Preview, // urgent: starts within 1.3 s
  Print,   // normal
  Archive, // may wait
};

struct DataCentreSpec
{
  DataCentreId name;
  std::string region;

  bool operator==(const DataCentreSpec&) const = default;
};

struct InstanceSpec
{
  InstanceId name;
  DataCentreId dataCentre;
  RackId rack;
  Resources capacity;

  bool operator==(const InstanceSpec&) const = default;
};

struct PoolSpec
{
  PoolId name;
  bool spare = false;
  // Planned stops never take the serving instances below this number.
  std::uint32_t minAvailable = 0;
  std::vector<InstanceSpec>
    instances; // pool of each instance when it first appears

  bool operator==(const PoolSpec&) const = default;
};

struct WorkspaceSpec
{
  WorkspaceId name;
  MemberId member;

  bool operator==(const WorkspaceSpec&) const = default;
};

struct TeamSpec
{
  TeamId name;
  WorkspaceId workspace;
  std::uint32_t share = 1; // weight when the fleet is full
  std::uint32_t limit = 0; // slots it may have running over the whole fleet

  bool operator==(const TeamSpec&) const = default;
};

struct ServiceSpec
{
  ServiceId name;
  PoolId pool;
  WorkspaceId workspace;
  WorkClass workClass = WorkClass::Print;
  bool open = false; // usable without a key
  TeamId openTeam;   // charged for requests without a key; set when open
  std::uint32_t queueLimit = 1000;  // waiting requests per entry instance
  Duration maxDeadline{ 60000000 }; // at most 60 s

  bool operator==(const ServiceSpec&) const = default;
};

// Weights and times of the planner. Each deployment sets its own.
struct PolicySpec
{
  // 0 favours low buffer cost, 1 favours nearness to share.
  double nearnessWeight = 0.5;
  Duration maintenanceInterval{ 21LL * 24 * 3600 * 1000000 };
  Duration soakTime{ 120000000 };
  Duration drainTime{ 60000000 };
  Duration shareWindow{ 60000000 };

  bool operator==(const PolicySpec&) const = default;
};

struct Bundle
{
  std::uint64_t version = 0;
  std::uint64_t base = 0;
  std::vector<DataCentreSpec> dataCentres;
  std::vector<WorkspaceSpec> workspaces;
  std::vector<PoolSpec> pools;
  std::vector<TeamSpec> teams;
  std::vector<ServiceSpec> services;
  PolicySpec policy;

  bool operator==(const Bundle&) const = default;
};

} // namespace hyssoppaddle::state

#endif
