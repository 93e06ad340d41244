// Stores the outcomes of commands that carry a request ID, so that a resend
// after a lost response returns the first outcome.
#ifndef hyssoppaddle_state_OutcomeCache_h
#define hyssoppaddle_state_OutcomeCache_h

#include "base/Time.h"
#include "state/Outcome.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hyssoppaddle::state {

inline constexpr Duration kOutcomeRetention{ std::chrono::hours(24) };
inline constexpr std::size_t kMaxOutcomes = 20000;
inline constexpr std::size_t kMaxRequestIdBytes = 256;

// Request IDs are unique per actor, because two teams may choose the same ID.
struct RequestKey
{
  std::string actor;
  std::string requestId;
  auto operator<=>(const RequestKey&) const = default;
};

struct CachedOutcome
{
  RequestKey key;
  WallTime at;
  std::string bodyDigest;
  Outcome outcome;
  bool operator==(const CachedOutcome&) const = default;
};

class OutcomeCache
{
public:
  explicit OutcomeCache(std::size_t aMaxOutcomes = kMaxOutcomes);

  // Returns the stored outcome marked as repeated, a conflict if the body
  // differs, or nullopt if the request is new.
  [[nodiscard]] std::optional<Outcome> Find(
    const RequestKey& aKey,
    const std::string& aBodyDigest) const;
  void Store(CachedOutcome aOutcome);
  void Expire(WallTime aNow);

  // Records in the order of insertion.
  [[nodiscard]] const std::deque<CachedOutcome>& Records() const
  {
    return this->records;
  }
  void Load(std::deque<CachedOutcome> aRecords);

private:
  void DropFirst();

  std::size_t maxOutcomes;
  std::deque<CachedOutcome> records;
  // Number of records stored before this one since the last Load, including
  // dropped ones. The position minus `dropped` is the index in `records`.
  std::map<RequestKey, std::size_t> positions;
  std::size_t dropped = 0;
};

} // namespace hyssoppaddle::state

#endif
