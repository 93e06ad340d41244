// Selects the next change of the replica configuration on the leader: adds
// instances that ask to join, promotes and demotes replicas so that the voters
// are an odd number that bears the tolerated losses, replaces silent voters and
// removes replicas that are silent.
#ifndef hyssoppaddle_agreement_Membership_h
#define hyssoppaddle_agreement_Membership_h

#include "agreement/Events.h"
#include "agreement/FaultTolerance.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <span>

namespace hyssoppaddle::agreement {

class Raft;

// A replica of the active configuration as the leader sees it.
struct ReplicaHealth
{
  InstanceId replica;
  Time lastHeard{};
  // For a learner: whether it may become a voter now.
  bool isCaughtUp = false;
};

class Membership
{
public:
  Membership(InstanceId aSelf, FaultTolerance aTolerance);

  void RecordJoinRequest(const InstanceId& aFrom, Time aNow);

  // aHealth has an entry for each replica of aActive but this one. Returns
  // nothing if no change is due.
  [[nodiscard]] std::optional<ChangeConfiguration> NextChange(
    const Configuration& aActive,
    std::span<const ReplicaHealth> aHealth,
    Time aNow) const;

  // Whether a replica must ask aLeader to join. This does not depend on the
  // configuration in its own log alone: an instance that was removed while it
  // was down has not received the entry that removes it.
  [[nodiscard]] static bool MustJoin(const Raft& aRaft,
                                     const InstanceId& aSelf,
                                     const InstanceId& aLeader);

  // The same for a replica to which no other node reports the leader. It asks
  // all nodes whenever it follows no leader; only a leader acts on the request,
  // and only for an instance that is not in its configuration.
  [[nodiscard]] static bool MustJoin(const Raft& aRaft,
                                     const InstanceId& aSelf);

private:
  class View;

  [[nodiscard]] bool MayRemoveVoter(const Configuration& aActive) const;
  [[nodiscard]] std::size_t MaxVoters() const;
  // Number of voters that aCandidates voters and caught-up learners should
  // have.
  [[nodiscard]] std::size_t PreferredVoters(std::size_t aCandidates) const;
  [[nodiscard]] std::optional<InstanceId> NextPromoted(
    const Configuration& aActive,
    const View& aView) const;
  // Never this replica, which leads.
  [[nodiscard]] std::optional<InstanceId> NextDemoted(
    const Configuration& aActive,
    const View& aView) const;
  [[nodiscard]] std::optional<InstanceId> NextJoiner(
    const Configuration& aActive,
    Time aNow) const;

  InstanceId self;
  FaultTolerance tolerance;
  // Time of the last request of each instance that asked to join.
  std::map<InstanceId, Time> joinRequests;
};

} // namespace hyssoppaddle::agreement

#endif
