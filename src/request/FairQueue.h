// Queued requests of one service and work class: earliest deadline first within
// a team, start-time fair queueing weighted by share between teams. The cost of
// a request is the time for which it holds a slot. It is estimated when the
// request starts and corrected when it ends, so that a team with long requests
// gets no more than its share.
#ifndef hyssoppaddle_request_FairQueue_h
#define hyssoppaddle_request_FairQueue_h

#include "base/Id.h"
#include "base/Time.h"
#include "request/DrainRate.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hyssoppaddle::request {

struct QueuedRequest
{
  std::uint64_t request = 0;
  TeamId team;
  Time deadline;
};

class FairQueue
{
public:
  using Eligible = std::function<bool(const TeamId&)>;

  void Push(const QueuedRequest& aItem, std::uint32_t aShare, Time aNow);
  bool Remove(const QueuedRequest& aItem);
  // Removes and returns the next request of an eligible team; empty if there is
  // none.
  std::optional<QueuedRequest> Pop(const Eligible& aEligible, Time aNow);
  // Corrects the charge of an ended request of the team: from aCharged, the
  // estimate at the time of Pop, to aActual, the time for which it held its
  // slot.
  void OnEnded(const TeamId& aTeam, Duration aCharged, Duration aActual);
  // Estimated cost that Pop would charge a request of the team now.
  [[nodiscard]] Duration Estimate(const TeamId& aTeam) const;

  [[nodiscard]] std::size_t Size() const { return this->size; }
  [[nodiscard]] std::size_t SizeOf(const TeamId& aTeam) const;
  // Number of requests of the team that precede one with this deadline, at a
  // resolution of one second.
  [[nodiscard]] std::size_t CountAhead(const TeamId& aTeam,
                                       Time aDeadline) const;
  // Measured rate in requests per second at which the team is served; empty
  // while unknown.
  [[nodiscard]] std::optional<double> RateOf(const TeamId& aTeam,
                                             Time aNow) const;
  // Fraction of the capacity due to the team, relative to all teams with queued
  // requests and itself.
  [[nodiscard]] double ShareOf(const TeamId& aTeam, std::uint32_t aShare) const;

private:
  // Deadlines are at most 60 s in the future, so 64 buckets of 1 s do not wrap
  // around.
  static constexpr std::size_t kBuckets = 64;

  struct Team
  {
    std::uint32_t share = 1;
    double startTag = 0;   // virtual start time of the next request
    double estimateUs = 0; // smoothed slot time of a request
    std::set<std::pair<Time, std::uint64_t>> items;
    std::array<std::uint32_t, kBuckets> countBySecond{};
    DrainRate rate;
  };

  static std::size_t BucketOf(Time aDeadline);
  void Erase(const TeamId& aName, Team& aTeam, const QueuedRequest& aItem);
  [[nodiscard]] double CostOf(const Team& aTeam) const;

  std::map<TeamId, Team> teams;
  std::set<std::pair<double, TeamId>> order; // queued teams, by start tag
  double virtualTime = 0;
  double meanCostUs = 0; // of all teams; used for teams without an estimate
  std::uint64_t waitingShares = 0;
  std::size_t size = 0;
};

} // namespace hyssoppaddle::request

#endif
