// The jobs per second that each workspace is owed by its weight, and which jobs
// go beyond it.
//
// Load pattern: while the pool of a queue is full, one workspace sends many
// times its weight. Without a bound its jobs take the room of all others. The
// jobs beyond its weight are lent what nobody else needs: they rank behind
// those that are owed, and are the first to be rejected.
#ifndef hyssoppaddle_dispatch_WorkspaceShares_h
#define hyssoppaddle_dispatch_WorkspaceShares_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>
#include <set>

namespace hyssoppaddle::work {
struct Setup;
}

namespace hyssoppaddle::dispatch {

// Jobs per second that the workspace is owed. Infinite for jobs without a
// workspace, and where no workspace of the setup has a usable weight. A weight
// that is absent, not positive or not finite counts as the smallest usable one.
double
OwedRate(const work::Setup& aSetup, const WorkspaceId& aWorkspace);

class WorkspaceShares
{
public:
  // Records an accepted job. Called in the order of acceptance, so that another
  // leader comes to the same result from the accepted jobs alone.
  void OnAccepted(const JobId& aJob,
                  const WorkspaceId& aWorkspace,
                  double aRate,
                  WallTime aAt);
  void Forget(const JobId& aJob) { this->lent.erase(aJob); }
  void Clear();

  // True when the job went beyond what its workspace is owed.
  [[nodiscard]] bool IsLent(const JobId& aJob) const
  {
    return this->lent.contains(aJob);
  }
  // True when a job that is accepted at aAt would be owed.
  [[nodiscard]] bool IsOwed(const WorkspaceId& aWorkspace,
                            double aRate,
                            WallTime aAt) const;
  // Time until the turn of a rejected job. Each job is given a turn after those
  // of the jobs that were rejected before it, so that they do not all come back
  // for the same one. Turns beyond kMaxWait are spread over its second half.
  Duration AssignTurn(const JobId& aJob,
                      const WorkspaceId& aWorkspace,
                      double aRate,
                      WallTime aAt);

  static constexpr Duration kMaxWait = std::chrono::seconds(10);

private:
  struct Account
  {
    // Jobs that are owed at the time `at`. Invariant: at most BurstOf(rate).
    double level = 0;
    WallTime at{};
    // Turns up to this time are assigned to rejected jobs.
    WallTime assignedUntil{};
  };

  [[nodiscard]] static double BurstOf(double aRate);
  [[nodiscard]] double LevelAt(const WorkspaceId& aWorkspace,
                               double aRate,
                               WallTime aAt) const;

  std::map<WorkspaceId, Account> accounts;
  std::set<JobId> lent; // accepted jobs that have not ended
};

} // namespace hyssoppaddle::dispatch

#endif
