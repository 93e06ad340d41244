// Bundles of both deployments and of larger fleets.
#ifndef hyssoppaddle_test_planner_Fleets_h
#define hyssoppaddle_test_planner_Fleets_h

#include "state/Bundle.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppaddle::test {

struct FleetShape
{
  std::vector<std::uint32_t> poolSizes;
  std::size_t spare = 4; // index of the spare pool
  std::uint32_t dataCentres = 3;
  std::uint32_t perRack = 4;
  std::uint32_t slack = 2; // instances above min_available
  state::Resources worker{ 32000, 65536, 0 };
  std::vector<std::uint32_t> shares{ 40, 20, 15, 10, 10, 5 };
  std::uint32_t limit = 200;
  double nearnessWeight = 1.0;
};

inline std::string
PoolName(std::size_t aPool)
{
  return "pool" + std::to_string(aPool);
}

inline InstanceId
InstanceName(std::size_t aPool, std::uint32_t aIndex)
{
  return InstanceId(PoolName(aPool) + "-" + std::to_string(aIndex));
}

inline TeamId
TeamName(std::size_t aTeam)
{
  return TeamId("team" + std::to_string(aTeam));
}

inline ServiceId
ServiceName(std::size_t aPool)
{
  return ServiceId("service" + std::to_string(aPool));
}

// Distributes the instances of each pool over the racks, so that the loss of a
// rack costs each pool about one instance.
inline void
AddInstances(state::Bundle& aBundle, const FleetShape& aShape)
{
  std::uint32_t placed = 0;
  std::uint32_t largest = 0;
  for (const std::uint32_t size : aShape.poolSizes) {
    largest = std::max(largest, size);
  }
  for (std::uint32_t index = 0; index < largest; ++index) {
    for (std::size_t pool = 0; pool < aShape.poolSizes.size(); ++pool) {
      if (index >= aShape.poolSizes[pool]) {
        continue;
      }
      const std::uint32_t rack = placed++ / aShape.perRack;
      const std::string centre =
        "dc" + std::to_string(rack % aShape.dataCentres);
      aBundle.pools[pool].instances.push_back(
        state::InstanceSpec{ InstanceName(pool, index),
                             DataCentreId(centre),
                             RackId(centre + "-r" + std::to_string(rack)),
                             aShape.worker });
    }
  }
}

inline state::Bundle
MakeBundle(const FleetShape& aShape)
{
  state::Bundle bundle;
  bundle.version = 1;
  for (std::uint32_t centre = 0; centre < aShape.dataCentres; ++centre) {
    bundle.dataCentres.push_back(
      { DataCentreId("dc" + std::to_string(centre)), "region" });
  }
  for (std::size_t team = 0; team < aShape.shares.size(); ++team) {
    const WorkspaceId workspace("workspace" + std::to_string(team));
    bundle.workspaces.push_back({ workspace, MemberId("member") });
    bundle.teams.push_back(
      { TeamName(team), workspace, aShape.shares[team], aShape.limit });
  }
  for (std::size_t pool = 0; pool < aShape.poolSizes.size(); ++pool) {
    state::PoolSpec spec;
    spec.name = PoolId(PoolName(pool));
    spec.spare = pool == aShape.spare;
    const std::uint32_t size = aShape.poolSizes[pool];
    spec.minAvailable = size > aShape.slack ? size - aShape.slack : 0;
    if (spec.spare) {
      spec.minAvailable = size / 2;
    }
    bundle.pools.push_back(spec);
    state::ServiceSpec service;
    service.name = ServiceName(pool);
    service.pool = spec.name;
    service.workspace = bundle.workspaces[pool % bundle.workspaces.size()].name;
    bundle.services.push_back(service);
  }
  AddInstances(bundle, aShape);
  bundle.policy.nearnessWeight = aShape.nearnessWeight;
  return bundle;
}

inline FleetShape
PayrollShape()
{
  FleetShape shape;
  shape.poolSizes = { 9, 9, 11, 12, 8 };
  return shape;
}

inline FleetShape
CooperativeShape()
{
  FleetShape shape;
  shape.poolSizes = { 8, 9, 11, 12, 8 };
  shape.dataCentres = 4;
  shape.worker = { 16000, 65536, 0 };
  shape.nearnessWeight = 0.0;
  return shape;
}

// A fleet of aWorkers instances in aPools pools of equal size with aTeams equal
// teams.
inline FleetShape
ScaledShape(std::uint32_t aWorkers, std::uint32_t aPools, std::uint32_t aTeams)
{
  FleetShape shape;
  shape.poolSizes.clear();
  for (std::uint32_t pool = 0; pool < aPools; ++pool) {
    shape.poolSizes.push_back(aWorkers / aPools +
                              (pool < aWorkers % aPools ? 1 : 0));
  }
  shape.spare = aPools - 1;
  shape.dataCentres = aWorkers > 1000 ? 15 : 3;
  shape.shares.assign(aTeams, 10);
  shape.limit = aWorkers * 8;
  return shape;
}

} // namespace hyssoppaddle::test

#endif
