// Bounds of the wait for a leader.
#include "node/LeaderAbsence.h"

#include <algorithm>

namespace hyssoppaddle::node {

namespace {

// The longest usual election: the maximum election timeout of 1.4 s, the votes,
// and the first entry of the term.
constexpr Duration kElectionTime = std::chrono::seconds(2);
// The wait in an absence that is longer than an election. It also bridges the
// time in which a node that has just started connects to the replicas.
constexpr Duration kShortWait = std::chrono::milliseconds(120);
// Left of the caller's time for the leader to handle the call.
constexpr Duration kHandlingTime = std::chrono::milliseconds(250);
// Retry-After is sent in whole seconds.
constexpr Duration kMinReturn = std::chrono::seconds(1);
constexpr Duration kMaxReturn = std::chrono::seconds(3);
// Part of the caller's remaining time after which it should have come back.
constexpr int kAttemptsInTime = 3;

} // namespace

// Voters and learners are not told apart here, so half of all replicas can be a
// majority of the voters.
bool
LeaderAbsence::CanElect() const
{
  return this->replicas == 0 || this->reachable * 2 >= this->replicas;
}

Time
HoldUntil(const LeaderAbsence& aAbsence,
          Time aArrivedAt,
          Time aAnswerBy,
          Time aNow)
{
  const Time lostAt = aNow - aAbsence.lasted;
  const Time electableAt = aNow - aAbsence.electable;
  const Time latest = std::max(aArrivedAt, aAnswerBy - kHandlingTime);
  const Time until =
    aAbsence.CanElect()
      ? std::max(electableAt + kElectionTime, aArrivedAt + kShortWait)
      : std::min(lostAt + kShortWait, aArrivedAt + kShortWait);
  return std::min(until, latest);
}

Duration
ReturnAfter(const LeaderAbsence& aAbsence,
            Duration aTimeLeft,
            std::uint64_t aDraw)
{
  if (aAbsence.CanElect()) {
    return kMinReturn;
  }
  const Duration spread = std::chrono::seconds(aDraw % 2);
  const Duration latest =
    std::clamp(aTimeLeft / kAttemptsInTime, kMinReturn, kMaxReturn);
  return std::clamp(aAbsence.lasted + spread, kMinReturn, latest);
}

} // namespace hyssoppaddle::node
