// Stores the maintenance waves.
#ifndef hyssoppaddle_state_WaveTable_h
#define hyssoppaddle_state_WaveTable_h

#include "state/Context.h"
#include "state/Records.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace hyssoppaddle::state {

inline constexpr std::size_t kMaxKeptFinishedWaves = 16;

class WaveTable
{
public:
  Outcome Set(const SetWave& aCommand, Context& aContext);

  [[nodiscard]] const std::map<WaveId, WaveRecord>& Records() const
  {
    return this->records;
  }
  void Load(std::map<WaveId, WaveRecord> aRecords);

private:
  void DropOldest();

  std::map<WaveId, WaveRecord> records;
  std::set<std::pair<WallTime, WaveId>> finished; // by start time
};

} // namespace hyssoppaddle::state

#endif
