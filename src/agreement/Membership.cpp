// Order of the configuration changes: caught-up learners are promoted as far as
// the number of voters asks for it or to replace a silent voter, then silent
// learners are removed, instances that ask to join are added, silent voters
// removed and surplus voters demoted.
#include "agreement/Membership.h"

#include "agreement/Raft.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::agreement {

namespace {

constexpr Duration kJoinRequestLifetime = std::chrono::milliseconds(1500);
// A caught-up learner takes the place of a voter that is silent for longer. It
// is longer than an election.
constexpr Duration kSilentVoterReplacementDelay =
  std::chrono::milliseconds(2500);
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

// The replicas of a configuration other than this one, by group.
class Membership::View
{
public:
  View(const Configuration& aActive,
       std::span<const ReplicaHealth> aHealth,
       const InstanceId& aSelf,
       Time aNow)
    : now(aNow)
  {
    for (const ReplicaHealth& health : aHealth) {
      if (health.replica == aSelf) {
        continue;
      }
      if (Contains(aActive.voters, health.replica)) {
        this->voters.push_back(health);
      } else if (Contains(aActive.learners, health.replica)) {
        this->learners.push_back(health);
      }
    }
  }

  // True if it was not heard from for longer than aLonger.
  [[nodiscard]] bool IsSilent(const ReplicaHealth& aHealth,
                              Duration aLonger) const
  {
    return this->now - aHealth.lastHeard > aLonger;
  }

  [[nodiscard]] std::optional<InstanceId> SilentOf(
    std::span<const ReplicaHealth> aGroup,
    Duration aLonger) const
  {
    const auto found = std::find_if(
      aGroup.begin(), aGroup.end(), [&](const ReplicaHealth& aHealth) {
        return this->IsSilent(aHealth, aLonger);
      });
    return found == aGroup.end() ? std::nullopt : std::optional(found->replica);
  }

  [[nodiscard]] std::optional<InstanceId> CaughtUpLearner() const
  {
    const auto found =
      std::ranges::find(this->learners, true, &ReplicaHealth::isCaughtUp);
    return found == this->learners.end() ? std::nullopt
                                         : std::optional(found->replica);
  }

  [[nodiscard]] std::size_t CaughtUpLearners() const
  {
    return static_cast<std::size_t>(
      std::ranges::count(this->learners, true, &ReplicaHealth::isCaughtUp));
  }

  [[nodiscard]] std::size_t SilentLearners(Duration aLonger) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(this->learners, [&](const ReplicaHealth& aHealth) {
        return this->IsSilent(aHealth, aLonger);
      }));
  }

  [[nodiscard]] std::optional<InstanceId> LongestSilentVoter() const
  {
    const auto found =
      std::ranges::min_element(this->voters, {}, &ReplicaHealth::lastHeard);
    return found == this->voters.end() ? std::nullopt
                                       : std::optional(found->replica);
  }

  std::vector<ReplicaHealth> voters;
  std::vector<ReplicaHealth> learners;

private:
  Time now;
};

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

std::size_t
Membership::MaxVoters() const
{
  return std::max(kUsualMaxVoters, 2 * this->tolerance.instances + 1);
}

// An even number of voters bears no more losses than one voter less, and a cut
// into halves leaves it without a majority. The replica that is left over is a
// learner, ready to take the place of a voter.
std::size_t
Membership::PreferredVoters(std::size_t aCandidates) const
{
  const std::size_t most = std::min(aCandidates, this->MaxVoters());
  const bool hasSurplus = most % 2 == 0 && most > kMinVoters &&
                          this->tolerance.IsMetWithoutAnyOneOf(most);
  return hasSurplus ? most - 1 : most;
}

std::optional<InstanceId>
Membership::NextPromoted(const Configuration& aActive, const View& aView) const
{
  const std::size_t voters = aActive.voters.size();
  const std::size_t preferred =
    this->PreferredVoters(voters + aView.CaughtUpLearners());
  const bool replacesVoter =
    voters <= this->MaxVoters() &&
    aView.SilentOf(aView.voters, kSilentVoterReplacementDelay);
  return voters < preferred || replacesVoter ? aView.CaughtUpLearner()
                                             : std::nullopt;
}

std::optional<InstanceId>
Membership::NextJoiner(const Configuration& aActive, Time aNow) const
{
  // One more than the voters: the learner that can replace one of them.
  if (aActive.voters.size() + aActive.learners.size() > this->MaxVoters()) {
    return std::nullopt;
  }
  for (const auto& [instance, askedAt] : this->joinRequests) {
    const bool known = Contains(aActive.voters, instance) ||
                       Contains(aActive.learners, instance);
    if (!known && aNow - askedAt < kJoinRequestLifetime) {
      return instance;
    }
  }
  return std::nullopt;
}

std::optional<InstanceId>
Membership::NextDemoted(const Configuration& aActive, const View& aView) const
{
  const std::size_t voters = aActive.voters.size();
  // A learner that is still catching up may soon make the number odd.
  const std::size_t preferred =
    this->PreferredVoters(voters + aView.learners.size() -
                          aView.SilentLearners(kSilentVoterReplacementDelay));
  return voters > preferred ? aView.LongestSilentVoter() : std::nullopt;
}

std::optional<ChangeConfiguration>
Membership::NextChange(const Configuration& aActive,
                       std::span<const ReplicaHealth> aHealth,
                       Time aNow) const
{
  const View view(aActive, aHealth, this->self, aNow);
  if (const auto next = this->NextPromoted(aActive, view)) {
    return ChangeConfiguration{ 0, ChangeKind::PromoteToVoter, *next };
  }
  if (const auto next =
        view.SilentOf(view.learners, kSilentReplicaRemovalDelay)) {
    return ChangeConfiguration{ 0, ChangeKind::Remove, *next };
  }
  if (const auto next = this->NextJoiner(aActive, aNow)) {
    return ChangeConfiguration{ 0, ChangeKind::AddLearner, *next };
  }
  const auto silent = view.SilentOf(view.voters, kSilentReplicaRemovalDelay);
  if (silent && this->MayRemoveVoter(aActive)) {
    return ChangeConfiguration{ 0, ChangeKind::Remove, *silent };
  }
  if (const auto next = this->NextDemoted(aActive, view)) {
    return ChangeConfiguration{ 0, ChangeKind::DemoteToLearner, *next };
  }
  return std::nullopt;
}

bool
Membership::MustJoin(const Raft& aRaft,
                     const InstanceId& aSelf,
                     const InstanceId& aLeader)
{
  const Configuration& active = aRaft.ActiveConfiguration();
  const bool isReplica =
    Contains(active.voters, aSelf) || Contains(active.learners, aSelf);
  const bool follows = isReplica && aRaft.Leader() == aLeader;
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
