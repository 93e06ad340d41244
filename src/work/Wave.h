// A maintenance wave: each of its instances needs maintenance before the wave
// ends, and at most maxAway of them may be down at once.
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
  std::set<std::string> started; // instances whose maintenance has started
  std::set<std::string> removed; // instances removed before their maintenance
  bool operator==(const Wave&) const = default;

  [[nodiscard]] bool IsCompleted() const
  {
    return this->started.size() + this->removed.size() >=
           this->instances.size();
  }
};

} // namespace hyssoppaddle::work

#endif
