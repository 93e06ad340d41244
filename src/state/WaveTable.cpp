// Sets the state of waves. Waves start, pause, resume and finish; a finished
// wave cannot be restarted.
#include "state/WaveTable.h"

namespace hyssoppaddle::state {

Outcome
WaveTable::Set(const SetWave& aCommand, Context& aContext)
{
  if (aCommand.wave.empty()) {
    return Refuse(ErrorCode::InvalidArgument, "the wave ID is empty");
  }
  const auto [known, added] = this->records.try_emplace(aCommand.wave);
  WaveRecord& record = known->second;
  if (added) {
    record.startedAt = aContext.now;
  } else if (record.state == WaveState::Finished) {
    return aCommand.state == WaveState::Finished
             ? AcceptRepeated("the wave has finished before")
             : Refuse(ErrorCode::Conflict, "the wave has finished");
  }
  record.state = aCommand.state;
  record.reason = aCommand.reason;
  record.forecastEnd = aCommand.forecastEnd;
  aContext.changes.waves = true;
  if (record.state == WaveState::Finished) {
    this->finished.emplace(record.startedAt, aCommand.wave);
    this->DropOldest();
  }
  return Accept();
}

void
WaveTable::DropOldest()
{
  while (this->finished.size() > kMaxKeptFinishedWaves) {
    this->records.erase(this->finished.begin()->second);
    this->finished.erase(this->finished.begin());
  }
}

void
WaveTable::Load(std::map<WaveId, WaveRecord> aRecords)
{
  this->records = std::move(aRecords);
  this->finished.clear();
  for (const auto& [wave, record] : this->records) {
    if (record.state == WaveState::Finished) {
      this->finished.emplace(record.startedAt, wave);
    }
  }
}

} // namespace hyssoppaddle::state
