// Task sizes learned from usage reports, as factors on the declared size per
// service and team. Declared sizes are wrong by a factor of up to four.
#ifndef hyssoppaddle_planner_LearnedSizes_h
#define hyssoppaddle_planner_LearnedSizes_h

#include "base/Id.h"
#include "state/Resources.h"

#include <array>
#include <map>

namespace hyssoppaddle::planner {

class LearnedSizes
{
public:
  void Clear() { this->factors.clear(); }

  // Learns from the highest usage that a finished or long-running task
  // reported.
  void Learn(const ServiceId& aService,
             const TeamId& aTeam,
             const state::Resources& aDeclared,
             const state::Resources& aUsage);

  // The larger of the declared and the learned size, for each resource.
  [[nodiscard]] state::Resources SizeToReserve(
    const ServiceId& aService,
    const TeamId& aTeam,
    const state::Resources& aDeclared) const;

  // The usage expected of a task. The share is charged this amount at start, so
  // that neither too small nor too large declarations change what a team gets.
  [[nodiscard]] state::Resources ExpectedUsage(
    const ServiceId& aService,
    const TeamId& aTeam,
    const state::Resources& aDeclared) const;

private:
  struct Factors
  {
    std::array<double, 3> upper{ 1.0, 1.0, 1.0 };
    std::array<double, 3> mean{ 1.0, 1.0, 1.0 };
    int samples = 0;
  };

  struct Key
  {
    ServiceId service;
    TeamId team;
    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Factors> factors;
};

} // namespace hyssoppaddle::planner

#endif
