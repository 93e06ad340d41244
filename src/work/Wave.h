// A maintenance wave: instances that each need their maintenance in time, with
// a bound on how many are away at once.
#ifndef hyssoppaddle_work_Wave_h
#define hyssoppaddle_work_Wave_h

#include "base/Time.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::work {

struct Wave
{
  std::vector<std::string> instances;
  Duration length{ 0 };
  std::uint32_t maxAway = 1;
  WallTime startedAt{};
  std::set<std::string> started; // their maintenance has begun
  std::set<std::string> removed; // left for good before theirs
  bool operator==(const Wave&) const = default;

  [[nodiscard]] bool IsCompleted() const
  {
    return this->started.size() + this->removed.size() >=
           this->instances.size();
  }
};

} // namespace hyssoppaddle::work

#endif
