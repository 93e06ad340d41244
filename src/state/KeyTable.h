// Owner of the keys of operators, members, upstreams and teams.
#ifndef hyssoppaddle_state_KeyTable_h
#define hyssoppaddle_state_KeyTable_h

#include "state/Context.h"
#include "state/Records.h"

#include <map>
#include <set>
#include <utility>

namespace hyssoppaddle::state {

inline constexpr std::size_t kKeyDigestBytes = 32;
// Longest time a withdrawn key may keep working.
inline constexpr Duration kMaxKeyOverlap{ 7LL * 24 * 3600 * 1000000 };
// A withdrawn key stays known this long, so that a delayed grant cannot bring
// it back. It equals the lifetime of remembered request IDs.
inline constexpr Duration kWithdrawnKeyRetention{ 24LL * 3600 * 1000000 };

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
  std::set<std::pair<WallTime, KeyId>> withdrawn; // by end of use
};

} // namespace hyssoppaddle::state

#endif
