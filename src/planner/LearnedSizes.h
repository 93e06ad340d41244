// Sizes learned from usage reports, per service and team, as a factor on the
// declared size. Declared sizes are wrong by up to four times.
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

  // The highest usage that a finished or long-running task reported.
  void Learn(const ServiceId& aService,
             const TeamId& aTeam,
             const state::Resources& aDeclared,
             const state::Resources& aUsage);

  // The larger of the declared and the learned size, in each resource.
  [[nodiscard]] state::Resources Size(const ServiceId& aService,
                                      const TeamId& aTeam,
                                      const state::Resources& aDeclared) const;

  // What a task is expected to use: the share is charged this at start, so that
  // neither too small nor too large declarations change what a team gets.
  [[nodiscard]] state::Resources Expected(
    const ServiceId& aService,
    const TeamId& aTeam,
    const state::Resources& aDeclared) const;

private:
  struct Learned
  {
    std::array<double, 3> largest{ 1.0, 1.0, 1.0 };
    std::array<double, 3> mean{ 1.0, 1.0, 1.0 };
    int samples = 0;
  };

  struct Key
  {
    ServiceId service;
    TeamId team;
    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Learned> factors;
};

} // namespace hyssoppaddle::planner

#endif
