// The parsed content of a bundle, which is the complete fleet configuration.
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

// Priority class of a request or job. Lower values are served first.
enum class WorkClass : std::uint8_t
{
  Preview, // urgent: must start within 1.3 s
  Print,   // normal priority
  Archive, // may be delayed
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
  // Planned stops must leave at least this many serving instances.
  std::uint32_t minAvailable = 0;
  // An instance is assigned to this pool when a bundle first lists it. A known
  // instance changes pool only by MoveInstance.
  std::vector<InstanceSpec> instances;

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
  std::uint32_t share = 1; // fair-share weight, used when the fleet is full
  std::uint32_t limit = 0; // maximum slots in use across the whole fleet

  bool operator==(const TeamSpec&) const = default;
};

struct ServiceSpec
{
  ServiceId name;
  PoolId pool;
  WorkspaceId workspace;
  WorkClass workClass = WorkClass::Print;
  bool open = false; // accepts requests without a key
  TeamId openTeam;   // charged for requests without a key; set only when open
  std::uint32_t queueLimit = 1000; // queued requests per entry instance
  Duration maxDeadline{ std::chrono::seconds(60) }; // at most 60 s

  bool operator==(const ServiceSpec&) const = default;
};

// Weights and durations of the planner, configured for each deployment.
struct PolicySpec
{
  // 0 favours a low buffer cost, 1 favours closeness to the fair shares.
  double nearnessWeight = 0.5;
  Duration maintenanceInterval{ std::chrono::hours(21 * 24) };
  Duration soakTime{ std::chrono::seconds(120) };
  Duration drainTime{ std::chrono::seconds(60) };
  Duration shareWindow{ std::chrono::seconds(60) };

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
