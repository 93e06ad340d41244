// Stores the keys of operators, members, upstreams and teams.
#ifndef hyssoppaddle_state_KeyTable_h
#define hyssoppaddle_state_KeyTable_h

#include "state/Context.h"
#include "state/Records.h"

#include <map>
#include <set>
#include <utility>

namespace hyssoppaddle::state {

inline constexpr std::size_t kKeyDigestBytes = 32;
// Maximum time for which a withdrawn key may stay valid.
inline constexpr Duration kMaxKeyOverlap{ std::chrono::hours(7 * 24) };
// The record of a withdrawn key is kept this long, so that a delayed grant
// cannot make the key valid again. Equal to the retention of request IDs.
inline constexpr Duration kWithdrawnKeyRetention{ std::chrono::hours(24) };

class KeyTable
{
public:
  Outcome Grant(const GrantKey& aCommand, Context& aContext);
  Outcome Withdraw(const WithdrawKey& aCommand, Context& aContext);
  void Expire(WallTime aNow);

  [[nodiscard]] const std::map<KeyId, KeyRecord>& Records() const
  {
    return this->records;
  }
  void Load(std::map<KeyId, KeyRecord> aRecords);

private:
  std::map<KeyId, KeyRecord> records;
  std::set<std::pair<WallTime, KeyId>> withdrawn; // by end of validity
};

} // namespace hyssoppaddle::state

#endif
