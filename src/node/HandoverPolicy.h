// Decides when a leader hands over to another voter because its machine has
// become slow.
//
// Load pattern: the leader needs most of its processor time at a peak. A
// machine that turns slow is overloaded at once, while its heartbeats still
// arrive in time and keep it in office. Other voters with sound machines stand
// by.
#ifndef hyssoppaddle_node_HandoverPolicy_h
#define hyssoppaddle_node_HandoverPolicy_h

#include "base/Id.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <span>

namespace hyssoppaddle::node {

class HandoverPolicy
{
public:
  // A machine at half of its best speed or less is slow.
  static constexpr double kSlow = 2.0;

  // Records the slowness that a voter has reported of itself, as defined by
  // SpeedProbe.
  void Record(const InstanceId& aVoter, double aSlowness, Time aNow);
  // Called when this node becomes the leader.
  void OnElected(Time aNow);
  // Called regularly on the leader. Returns the voter that should lead instead.
  // After a result no other one follows for some time, so that the leadership
  // does not move back and forth.
  [[nodiscard]] std::optional<InstanceId> Choose(
    double aOwnSlowness,
    std::span<const InstanceId> aVoters,
    const InstanceId& aSelf,
    Time aNow);

private:
  struct Report
  {
    double slowness = 1.0;
    Time at{};
  };

  // The voter with the least slowness below aBelow, by a report that was made
  // since this node is slow.
  [[nodiscard]] std::optional<InstanceId> Fastest(
    double aBelow,
    std::span<const InstanceId> aVoters,
    const InstanceId& aSelf,
    const std::optional<InstanceId>& aExcept,
    Time aNow) const;

  std::map<InstanceId, Report> reports;
  // Passed over in the next choice: it did not take over.
  std::optional<InstanceId> lastChoice;
  std::optional<Time> slowSince; // of this node
  Time earliestNext{};
};

} // namespace hyssoppaddle::node

#endif
