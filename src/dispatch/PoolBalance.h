// Which instances move between the pools of services.
//
// Load pattern: demand by turns. Each queue in its turn asks for more than its
// pool holds for some seconds, while the others are nearly idle. Instances that
// run nothing move to the pool with a backlog, from the standby pool first; a
// pool that has been idle for a while gives its spare instances to standby,
// where they cost nothing.
#ifndef hyssoppaddle_dispatch_PoolBalance_h
#define hyssoppaddle_dispatch_PoolBalance_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace hyssoppaddle::dispatch {

struct PoolLoad
{
  ServiceId service;
  bool standby = false;
  double longRunningCores = 0; // taken by tasks that do not end by themselves
  double runningCores = 0;     // taken by the other tasks
  double waitingCores = 0;     // of tasks that could start now
  // That the accepted jobs use on the mean until they end: each its remaining
  // work over its remaining chain.
  double plannedCores = 0;
  // Of jobs that will arrive before an instance ordered now is there.
  double expectedCores = 0;
  std::size_t present = 0;       // upstreams that take or will soon take work
  std::size_t arriving = 0;      // instances on their way to this pool
  double coresPerUpstream = 0;   // of an upstream; 0 when none has been seen
  std::vector<std::string> idle; // instances that run nothing
};

struct PoolMove
{
  std::string instance;
  ServiceId to;
  bool operator==(const PoolMove&) const = default;
};

class PoolBalance
{
public:
  // aPools has at most one standby pool.
  std::vector<PoolMove> PlanMoves(std::vector<PoolLoad> aPools, Time aNow);

  // Upstreams that the pool should have.
  [[nodiscard]] static std::size_t NeededUpstreams(const PoolLoad& aPool);

private:
  // Since when the pool has had more than it needs.
  std::map<ServiceId, Time> surplusSince;
};

} // namespace hyssoppaddle::dispatch

#endif
