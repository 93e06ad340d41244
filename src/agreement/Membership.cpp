// Order of the configuration changes: learners first, then instances that ask
// to join, then the removal of silent voters.
#include "agreement/Membership.h"

#include "agreement/Raft.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::agreement {

namespace {

constexpr Duration kJoinRequestLifetime = std::chrono::milliseconds(1500);
// A replica that is silent for longer is removed; it joins again when it
// returns.
constexpr Duration kSilentReplicaRemovalDelay = std::chrono::seconds(6);
// More voters make each commit slower and add little availability.
constexpr std::size_t kUsualMaxVoters = 7;
constexpr std::size_t kMinVoters = 3;

bool
Contains(const std::vector<InstanceId>& aList, const InstanceId& aName)
{
  return std::find(aList.begin(), aList.end(), aName) != aList.end();
}

} // namespace

Membership::Membership(InstanceId aSelf, FaultTolerance aTolerance)
  : self(std::move(aSelf))
  , tolerance(aTolerance)
{
}

void
Membership::RecordJoinRequest(const InstanceId& aFrom, Time aNow)
{
  this->joinRequests[aFrom] = aNow;
}

// A removal must leave enough voters for the tolerated losses, because these
// can happen at any moment after it. A voter that does not return is removed
// once another instance has taken its place.
bool
Membership::MayRemoveVoter(const Configuration& aActive) const
{
  const std::size_t voters = aActive.voters.size();
  const bool staysMet = this->tolerance.IsMetBy(voters - 1);
  // An even number of voters bears no more losses than one voter less.
  const bool wasUnmet = !this->tolerance.IsMetBy(voters) && voters % 2 == 0;
  return voters > kMinVoters && (staysMet || wasUnmet);
}

// Leaves room for the replacement of a voter that may not be removed before.
std::size_t
Membership::MaxVoters() const
{
  return std::max(kUsualMaxVoters, 2 * this->tolerance.instances + 2);
}

std::optional<InstanceId>
Membership::NextJoiner(const Configuration& aActive, Time aNow) const
{
  for (const auto& [instance, askedAt] : this->joinRequests) {
    const bool known = Contains(aActive.voters, instance) ||
                       Contains(aActive.learners, instance);
    if (!known && aNow - askedAt < kJoinRequestLifetime) {
      return instance;
    }
  }
  return std::nullopt;
}

std::optional<ChangeConfiguration>
Membership::NextChange(const Configuration& aActive,
                       std::span<const ReplicaHealth> aHealth,
                       Time aNow) const
{
  const auto find = [&](const std::vector<InstanceId>& aGroup,
                        const auto& aMatches) -> std::optional<InstanceId> {
    for (const ReplicaHealth& health : aHealth) {
      if (health.replica != this->self && Contains(aGroup, health.replica) &&
          aMatches(health)) {
        return health.replica;
      }
    }
    return std::nullopt;
  };
  const auto isSilent = [&](const ReplicaHealth& aHealthOfOne) {
    return aNow - aHealthOfOne.lastHeard > kSilentReplicaRemovalDelay;
  };
  const bool full = aActive.voters.size() >= this->MaxVoters();
  std::optional<InstanceId> next;
  if (!full) {
    next = find(aActive.learners,
                [](const ReplicaHealth& aItem) { return aItem.isCaughtUp; });
    if (next) {
      return ChangeConfiguration{ 0, ChangeKind::PromoteToVoter, *next };
    }
  }
  next = find(aActive.learners, isSilent);
  if (next) {
    return ChangeConfiguration{ 0, ChangeKind::Remove, *next };
  }
  next = full ? std::nullopt : this->NextJoiner(aActive, aNow);
  if (next) {
    return ChangeConfiguration{ 0, ChangeKind::AddLearner, *next };
  }
  next = this->MayRemoveVoter(aActive) ? find(aActive.voters, isSilent)
                                       : std::nullopt;
  if (next) {
    return ChangeConfiguration{ 0, ChangeKind::Remove, *next };
  }
  return std::nullopt;
}

bool
Membership::MustJoin(const Raft& aRaft,
                     const InstanceId& aSelf,
                     const InstanceId& aLeader)
{
  const bool isVoter = Contains(aRaft.ActiveConfiguration().voters, aSelf);
  const bool follows = isVoter && aRaft.Leader() == aLeader;
  return !aLeader.empty() && aLeader != aSelf && !follows;
}

bool
Membership::MustJoin(const Raft& aRaft, const InstanceId& aSelf)
{
  const Configuration& active = aRaft.ActiveConfiguration();
  const bool isReplica =
    Contains(active.voters, aSelf) || Contains(active.learners, aSelf);
  return !isReplica || aRaft.Leader().empty();
}

} // namespace hyssoppaddle::agreement
