// Waiting requests of one service and class: earliest deadline first inside a
// team, start-time fair queueing between teams by share. The cost of a request
// is the time it holds a slot, estimated at the start and corrected at the end,
// so that a team of long requests gets no more than its share.
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

struct Waiting
{
  std::uint64_t request = 0;
  TeamId team;
  Time deadline;
};

class FairQueue
{
public:
  using Eligible = std::function<bool(const TeamId&)>;

  void Push(const Waiting& aItem, std::uint32_t aShare, Time aNow);
  bool Remove(const Waiting& aItem);
  // The next request of an eligible team; empty when there is none.
  std::optional<Waiting> Pop(const Eligible& aEligible, Time aNow);
  // The request of the team held its slot for aActual instead of the estimate
  // that Pop charged.
  void OnEnded(const TeamId& aTeam, Duration aCharged, Duration aActual);
  // What Pop charges a request of the team now.
  [[nodiscard]] Duration Estimate(const TeamId& aTeam) const;

  [[nodiscard]] std::size_t Size() const { return this->size; }
  [[nodiscard]] std::size_t SizeOf(const TeamId& aTeam) const;
  // Requests of the team that go before one with this deadline, to the second.
  [[nodiscard]] std::size_t Ahead(const TeamId& aTeam, Time aDeadline) const;
  // Measured starts per second of the team; empty while unknown.
  [[nodiscard]] std::optional<double> RateOf(const TeamId& aTeam,
                                             Time aNow) const;
  // Share of the team among the teams that wait, with itself.
  [[nodiscard]] double ShareOf(const TeamId& aTeam, std::uint32_t aShare) const;

private:
  // A deadline lies at most 60 s ahead, so buckets of 1 s do not wrap.
  static constexpr std::size_t kBuckets = 64;

  struct Team
  {
    std::uint32_t share = 1;
    double start = 0;    // virtual time at which the next request starts
    double estimate = 0; // smoothed slot time of a request in us
    std::set<std::pair<Time, std::uint64_t>> items;
    std::array<std::uint32_t, kBuckets> perSecond{};
    DrainRate rate;
  };

  static std::size_t BucketOf(Time aDeadline);
  void Erase(const TeamId& aName, Team& aTeam, const Waiting& aItem);
  [[nodiscard]] double CostOf(const Team& aTeam) const;

  std::map<TeamId, Team> teams;
  std::set<std::pair<double, TeamId>> order; // teams that wait, by start
  double virtualTime = 0;
  double meanCost = 0; // over all teams, for teams without an estimate
  std::uint64_t waitingShares = 0;
  std::size_t size = 0;
};

} // namespace hyssoppaddle::request

#endif
