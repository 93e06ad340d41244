// Stores the first outcome of each request ID, bounded by age and count.
#include "state/OutcomeCache.h"

#include <utility>

namespace hyssoppaddle::state {

OutcomeCache::OutcomeCache(std::size_t aMaxOutcomes)
  : maxOutcomes(aMaxOutcomes)
{
}

std::optional<Outcome>
OutcomeCache::Find(const RequestKey& aKey, const std::string& aBodyDigest) const
{
  const auto found = this->positions.find(aKey);
  if (found == this->positions.end()) {
    return std::nullopt;
  }
  const CachedOutcome& cached = this->records[found->second - this->dropped];
  Outcome outcome;
  if (cached.bodyDigest != aBodyDigest) {
    outcome.error = Error{ ErrorCode::Conflict,
                           "the request ID was used for another request" };
    return outcome;
  }
  outcome = cached.outcome;
  outcome.repeated = true;
  return outcome;
}

void
OutcomeCache::Store(CachedOutcome aOutcome)
{
  if (this->records.size() >= this->maxOutcomes) {
    this->DropFirst();
  }
  this->positions[aOutcome.key] = this->dropped + this->records.size();
  this->records.push_back(std::move(aOutcome));
}

void
OutcomeCache::Expire(WallTime aNow)
{
  while (!this->records.empty() &&
         this->records.front().at + kOutcomeRetention <= aNow) {
    this->DropFirst();
  }
}

void
OutcomeCache::Load(std::deque<CachedOutcome> aRecords)
{
  this->records = std::move(aRecords);
  this->positions.clear();
  this->dropped = 0;
  for (std::size_t i = 0; i < this->records.size(); ++i) {
    this->positions[this->records[i].key] = i;
  }
}

void
OutcomeCache::DropFirst()
{
  this->positions.erase(this->records.front().key);
  this->records.pop_front();
  this->dropped += 1;
}

} // namespace hyssoppaddle::state
