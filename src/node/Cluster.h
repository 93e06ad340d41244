// This node's view of the cluster: the seeds from its settings, the replicas
// reported by other nodes, and the leader. Selects the nodes to connect to.
#ifndef hyssoppaddle_node_Cluster_h
#define hyssoppaddle_node_Cluster_h

#include "agreement/Events.h"
#include "base/Time.h"
#include "wire/PeerMessage.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hyssoppaddle::node {

struct KnownNode
{
  Time heardAt{}; // time of the last message of any kind
  bool hasDisk = false;
  bool hasReportedDisk = false; // true once it has sent a status message
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
  void RemoveNode(const InstanceId& aPeer);
  // Records the leader and term as seen by the Raft replica on this node.
  void OnRole(const InstanceId& aLeader, agreement::Term aTerm, Time aNow);
  void SetReplicas(const agreement::Configuration& aConfiguration);

  // The leader of the highest known term, if a report of it is recent enough;
  // empty otherwise. A leader whose connection broke or that reported its step
  // down is forgotten until it reports itself again or leads a later term.
  [[nodiscard]] InstanceId Leader(Time aNow) const;
  [[nodiscard]] agreement::Term LeaderTerm() const { return this->term; }
  // The seeds and replicas that this node should be connected to.
  [[nodiscard]] std::set<InstanceId> LinkTargets() const;
  [[nodiscard]] std::vector<InstanceId> Replicas() const;
  // Connected nodes that have sent no message for too long.
  [[nodiscard]] std::vector<InstanceId> SilentNodes(Time aNow) const;
  // True for a node that has sent no message for longer than the interval of
  // its status messages. Its machine may be without power, which closes no
  // connection.
  [[nodiscard]] bool IsOverdue(const InstanceId& aNode, Time aNow) const;
  // Called after this node was paused: it could not receive messages, so the
  // silence does not mean that the other nodes have failed.
  void ResetSilenceTimers(Time aNow);

  // At the first start, returns whether this node creates the cluster. All
  // nodes have the same seeds at that time, and only the first seed with a disk
  // creates it.
  [[nodiscard]] bool IsFounder() const;

private:
  void ForgetLeader();

  InstanceId self;
  bool hasDisk;
  std::vector<InstanceId> seeds;
  std::set<InstanceId> replicas;
  std::map<InstanceId, KnownNode> nodes; // connected nodes
  InstanceId leader;
  // The forgotten leader of `term`: other nodes may still report it.
  InstanceId lostLeader;
  agreement::Term term = 0;
  Time leaderHeardAt{};
};

} // namespace hyssoppaddle::node

#endif
