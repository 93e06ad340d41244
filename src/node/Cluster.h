// Which nodes there are, as far as this one knows: the seeds of its settings,
// the replicas that others name, and who leads. Decides whom to dial and which
// change of the replicas the leader asks for next.
#ifndef hyssoppaddle_node_Cluster_h
#define hyssoppaddle_node_Cluster_h

#include "agreement/Events.h"
#include "base/Time.h"
#include "wire/PeerMessage.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hyssoppaddle::node {

struct KnownNode
{
  Time heardAt{}; // last message of any kind
  bool hasDisk = false;
  bool hasReportedDisk = false; // its status has come
};

// What the leader sees of one replica.
struct ReplicaHealth
{
  InstanceId replica;
  std::optional<Time> lastHeard;
};

class Cluster
{
public:
  Cluster(InstanceId aSelf, bool aHasDisk)
    : self(std::move(aSelf))
    , hasDisk(aHasDisk)
  {
  }

  void SetSeeds(std::span<const std::string> aSeeds);
  void RecordContact(const InstanceId& aFrom, Time aNow);
  void OnStatus(const InstanceId& aFrom,
                const wire::NodeStatus& aStatus,
                Time aNow);
  void OnJoin(const InstanceId& aFrom, Time aNow);
  void RemoveNode(const InstanceId& aPeer);
  // Own knowledge, on a replica.
  void OnRole(const InstanceId& aLeader, agreement::Term aTerm, Time aNow);
  void SetReplicas(const agreement::Configuration& aConfiguration);

  // The leader of the highest term heard of lately; empty when unknown.
  [[nodiscard]] InstanceId Leader(Time aNow) const;
  [[nodiscard]] agreement::Term LeaderTerm() const { return this->term; }
  // Seeds and replicas that this node should be linked to.
  [[nodiscard]] std::set<InstanceId> LinkTargets() const;
  [[nodiscard]] std::vector<InstanceId> Replicas() const;
  // Linked nodes that have been silent for too long.
  [[nodiscard]] std::vector<InstanceId> SilentNodes(Time aNow) const;
  // After a pause of this node: nothing heard is not the others' fault.
  void ResetSilenceTimers(Time aNow);

  // On a node of the first start with a disk: true when it is the one that
  // founds the cluster. All nodes have the same seeds then, and only the first
  // of them that has a disk founds.
  [[nodiscard]] bool IsFounder() const;

  // On the leader: the next change of the configuration, if one is due.
  [[nodiscard]] std::optional<agreement::ChangeConfiguration> NextChange(
    const agreement::Configuration& aActive,
    std::span<const ReplicaHealth> aHealth,
    Time aNow) const;

private:
  InstanceId self;
  bool hasDisk;
  std::vector<InstanceId> seeds;
  std::set<InstanceId> replicas;
  std::map<InstanceId, KnownNode> nodes;   // linked ones
  std::map<InstanceId, Time> joinRequests; // asked lately to become replicas
  InstanceId leader;
  agreement::Term term = 0;
  Time leaderHeardAt{};
};

} // namespace hyssoppaddle::node

#endif
