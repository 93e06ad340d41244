// A token bucket per workspace, refilled by its weight. Lent jobs take no
// tokens, so a workspace is owed its rate however much more it sends.
#include "dispatch/WorkspaceShares.h"

#include "work/Setup.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <xxhash.h>

namespace hyssoppaddle::dispatch {

namespace {

// A workspace may send the jobs of this time at once.
constexpr double kBurstSeconds = 1.0;
// Random arrivals of a workspace with a small weight come in groups.
constexpr double kMinBurst = 4.0;
// Larger weights are no bound.
constexpr double kMaxRate = 1e6;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<std::int64_t>(aSeconds * 1e6));
}

bool
IsUsable(double aWeight)
{
  return std::isfinite(aWeight) && aWeight > 0;
}

// Between 0 and 1, the same on each replica.
double
FractionOf(const JobId& aJob)
{
  constexpr double kRange = 4294967296.0;
  const std::uint64_t hash = XXH64(aJob.value.data(), aJob.value.size(), 0);
  return static_cast<double>(hash >> 32U) / kRange;
}

} // namespace

double
OwedRate(const work::Setup& aSetup, const WorkspaceId& aWorkspace)
{
  const double unbounded = std::numeric_limits<double>::infinity();
  if (aWorkspace.empty()) {
    return unbounded;
  }
  double smallest = unbounded;
  for (const work::Workspace& workspace : aSetup.workspaces) {
    if (!IsUsable(workspace.weight)) {
      continue;
    }
    smallest = std::min(smallest, workspace.weight);
    if (workspace.name == aWorkspace) {
      return workspace.weight > kMaxRate ? unbounded : workspace.weight;
    }
  }
  return smallest > kMaxRate ? unbounded : smallest;
}

void
WorkspaceShares::Clear()
{
  this->accounts.clear();
  this->lent.clear();
}

double
WorkspaceShares::BurstOf(double aRate)
{
  return std::max(kMinBurst, aRate * kBurstSeconds);
}

double
WorkspaceShares::LevelAt(const WorkspaceId& aWorkspace,
                         double aRate,
                         WallTime aAt) const
{
  const double burst = BurstOf(aRate);
  const auto found = this->accounts.find(aWorkspace);
  if (found == this->accounts.end()) {
    return burst;
  }
  const Account& account = found->second;
  const double elapsed = std::max(0.0, ToSeconds(aAt - account.at));
  return std::min(burst, account.level + elapsed * aRate);
}

bool
WorkspaceShares::IsOwed(const WorkspaceId& aWorkspace,
                        double aRate,
                        WallTime aAt) const
{
  return std::isinf(aRate) || this->LevelAt(aWorkspace, aRate, aAt) >= 1.0;
}

void
WorkspaceShares::OnAccepted(const JobId& aJob,
                            const WorkspaceId& aWorkspace,
                            double aRate,
                            WallTime aAt)
{
  if (std::isinf(aRate)) {
    return;
  }
  const double level = this->LevelAt(aWorkspace, aRate, aAt);
  Account& account = this->accounts[aWorkspace];
  account.at = std::max(account.at, aAt);
  account.level = level;
  if (level < 1.0) {
    this->lent.insert(aJob);
    return;
  }
  account.level -= 1.0;
}

Duration
WorkspaceShares::AssignTurn(const JobId& aJob,
                            const WorkspaceId& aWorkspace,
                            double aRate,
                            WallTime aAt)
{
  if (std::isinf(aRate)) {
    return Duration(0);
  }
  const double missing =
    std::max(0.0, 1.0 - this->LevelAt(aWorkspace, aRate, aAt));
  const Duration next = FromSeconds(std::min(
    missing / aRate, ToSeconds(kMaxWait))); // a rate may be close to zero
  const auto [found, isNew] =
    this->accounts.try_emplace(aWorkspace, Account{ BurstOf(aRate), aAt, {} });
  Account& account = found->second;
  const WallTime turn = std::max(account.assignedUntil, aAt + next);
  const Duration wait = turn - aAt;
  if (wait >= kMaxWait) {
    return kMaxWait / 2 +
           FromSeconds(ToSeconds(kMaxWait / 2) * FractionOf(aJob));
  }
  const Duration gap = FromSeconds(std::min(1.0 / aRate, ToSeconds(kMaxWait)));
  account.assignedUntil = turn + gap;
  return wait + FromSeconds(ToSeconds(gap) * FractionOf(aJob));
}

} // namespace hyssoppaddle::dispatch
