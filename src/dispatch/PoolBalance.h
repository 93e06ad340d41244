// Decides which instances move between the pools of services.
//
// Load pattern: queues peak in turn. For some seconds one queue asks for more
// than its pool holds while the others are nearly idle. Idle instances move to
// the pool with a backlog, from the standby pool first. A pool that has been
// idle for some time gives its spare instances to standby, where they cost
// nothing. Instances for a peak that is expected are moved ahead of it, as far
// as no pool needs them now. Before the first job of a service is observed, the
// size that its operator gave the pool is the best estimate of its need, so it
// keeps its instances unless another pool asks for them.
#ifndef hyssoppaddle_dispatch_PoolBalance_h
#define hyssoppaddle_dispatch_PoolBalance_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppaddle::dispatch {

// Cores are effective cores, as EffectiveCores computes them.
struct PoolLoad
{
  ServiceId service;
  bool standby = false;
  double longRunningCores = 0; // used by tasks that do not end by themselves
  double runningCores = 0;     // used by all other tasks
  double waitingCores = 0;     // needed by tasks that could start now
  // Average cores that the accepted jobs use until they end: the remaining work
  // of each divided by its remaining critical path.
  double plannedCores = 0;
  // Needed by jobs expected to arrive before an instance ordered now is ready.
  double expectedCores = 0;
  // Needed by a peak that is expected to begin before an instance ordered now
  // is ready.
  double peakCores = 0;
  // False until a job of the service was observed.
  bool demandObserved = true;
  std::size_t present = 0;  // upstreams that accept tasks, now or soon
  std::size_t arriving = 0; // instances that are moving to this pool
  // Empty instances that waiting long-running tasks need in addition to these,
  // because no single upstream has room for them.
  std::size_t missing = 0;
  double coresPerUpstream = 0;   // 0 when no upstream has been seen
  std::vector<std::string> idle; // instances without runs
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
  // aPools contains at most one standby pool.
  std::vector<PoolMove> PlanMoves(std::vector<PoolLoad> aPools, Time aNow);

  // True when no pool has needed more instances for some time, so that idle
  // ones can be missed for a while.
  [[nodiscard]] bool IsCalm(Time aNow) const;

  // Number of upstreams that the pool should have.
  [[nodiscard]] static std::size_t NeededUpstreams(const PoolLoad& aPool);
  // The same, with the peak that is expected.
  [[nodiscard]] static std::size_t UpstreamsForPeak(const PoolLoad& aPool);

private:
  // True while a job of the service may still be awaited to learn its need.
  [[nodiscard]] bool AwaitsDemand(const PoolLoad& aPool, Time aNow) const;

  // Start of each pool's current surplus.
  std::map<ServiceId, Time> surplusSince;
  std::optional<Time> lastAskedAt;   // a pool needed more instances
  std::optional<Time> observedSince; // first call of PlanMoves
};

} // namespace hyssoppaddle::dispatch

#endif
