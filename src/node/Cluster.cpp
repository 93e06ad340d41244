// Tracks leader, replicas and node health.
#include "node/Cluster.h"

namespace hyssoppaddle::node {

namespace {

// Three status intervals (of 500 ms) without any message; the connection is
// then closed.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1600);
// One and a half status intervals.
constexpr Duration kOverdueLimit = std::chrono::milliseconds(750);
// A report of the leader is ignored when it is older than this.
constexpr Duration kLeaderInfoLifetime = std::chrono::milliseconds(1600);

} // namespace

void
Cluster::SetSeeds(std::span<const std::string> aSeeds)
{
  this->seeds.clear();
  for (const std::string& seed : aSeeds) {
    this->seeds.emplace_back(seed);
  }
}

void
Cluster::RecordContact(const InstanceId& aFrom, Time aNow)
{
  this->nodes[aFrom].heardAt = aNow;
}

void
Cluster::OnStatus(const InstanceId& aFrom,
                  const wire::NodeStatus& aStatus,
                  Time aNow)
{
  KnownNode& node = this->nodes[aFrom];
  node.heardAt = aNow;
  node.hasDisk = aStatus.hasDisk;
  node.hasReportedDisk = true;
  if (!this->hasDisk || this->replicas.empty()) {
    this->replicas.insert(aStatus.replicas.begin(), aStatus.replicas.end());
  }
  // Only a status message from the leader itself refreshes its leadership;
  // reports by other nodes may be outdated.
  const bool fromLeader = aStatus.leader == aFrom;
  const bool steppedDown =
    aFrom == this->leader && !fromLeader && aStatus.term >= this->term;
  if (steppedDown) {
    this->ForgetLeader();
  }
  // A replica that campaigned in vain has a term of its own without a leader.
  // An old leader would have stepped down within this time.
  const bool campaignFailed = fromLeader && this->leader.empty() &&
                              aNow - this->leaderHeardAt > kLeaderInfoLifetime;
  const bool restored = aStatus.term == this->term && this->leader.empty() &&
                        (fromLeader || aStatus.leader != this->lostLeader);
  const bool newer = aStatus.term > this->term || campaignFailed || restored;
  if (!aStatus.leader.empty() && newer) {
    this->leader = aStatus.leader;
    this->lostLeader = InstanceId();
    this->term = aStatus.term;
    this->leaderHeardAt = aNow;
  } else if (fromLeader && aStatus.term == this->term) {
    this->leaderHeardAt = aNow;
    if (!aStatus.replicas.empty() && !this->hasDisk) {
      this->replicas = { aStatus.replicas.begin(), aStatus.replicas.end() };
    }
  }
}

void
Cluster::RemoveNode(const InstanceId& aPeer)
{
  this->nodes.erase(aPeer);
  if (aPeer == this->leader) {
    this->ForgetLeader();
  }
}

void
Cluster::ForgetLeader()
{
  this->lostLeader = this->leader;
  this->leader = InstanceId();
}

void
Cluster::OnRole(const InstanceId& aLeader, agreement::Term aTerm, Time aNow)
{
  if (aTerm < this->term) {
    return;
  }
  this->term = aTerm;
  this->leader = aLeader;
  this->lostLeader = InstanceId();
  this->leaderHeardAt = aNow;
}

void
Cluster::SetReplicas(const agreement::Configuration& aConfiguration)
{
  if (aConfiguration.voters.empty()) {
    return; // this replica has not received the configuration yet
  }
  this->replicas.clear();
  this->replicas.insert(aConfiguration.voters.begin(),
                        aConfiguration.voters.end());
  this->replicas.insert(aConfiguration.learners.begin(),
                        aConfiguration.learners.end());
}

InstanceId
Cluster::Leader(Time aNow) const
{
  const bool fresh = this->leader == this->self ||
                     aNow - this->leaderHeardAt < kLeaderInfoLifetime;
  return fresh ? this->leader : InstanceId();
}

std::set<InstanceId>
Cluster::LinkTargets() const
{
  std::set<InstanceId> targets = this->replicas;
  targets.insert(this->seeds.begin(), this->seeds.end());
  // The leader may have joined after this node received its configuration.
  for (const InstanceId& node : { this->leader, this->lostLeader }) {
    if (!node.empty()) {
      targets.insert(node);
    }
  }
  targets.erase(this->self);
  return targets;
}

std::vector<InstanceId>
Cluster::Replicas() const
{
  return { this->replicas.begin(), this->replicas.end() };
}

std::vector<InstanceId>
Cluster::SilentNodes(Time aNow) const
{
  std::vector<InstanceId> silent;
  for (const auto& [id, node] : this->nodes) {
    if (aNow - node.heardAt > kSilenceLimit) {
      silent.push_back(id);
    }
  }
  return silent;
}

bool
Cluster::IsOverdue(const InstanceId& aNode, Time aNow) const
{
  const auto found = this->nodes.find(aNode);
  return found == this->nodes.end() ||
         aNow - found->second.heardAt > kOverdueLimit;
}

void
Cluster::ResetSilenceTimers(Time aNow)
{
  for (auto& [id, node] : this->nodes) {
    node.heardAt = aNow;
  }
}

bool
Cluster::IsFounder() const
{
  if (!this->hasDisk) {
    return false;
  }
  for (const InstanceId& seed : this->seeds) {
    if (seed == this->self) {
      return true;
    }
    const auto found = this->nodes.find(seed);
    const bool diskless = found != this->nodes.end() &&
                          found->second.hasReportedDisk &&
                          !found->second.hasDisk;
    if (!diskless) {
      return false;
    }
  }
  return false;
}

} // namespace hyssoppaddle::node
