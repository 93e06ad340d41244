// Owner of the claims of non-idempotent requests.
#ifndef hyssoppaddle_state_ClaimTable_h
#define hyssoppaddle_state_ClaimTable_h

#include "state/Context.h"
#include "state/Records.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace hyssoppaddle::state {

// A request older than this is refused, as its claim may have been dropped.
inline constexpr Duration kClaimWindow{ 24LL * 3600 * 1000000 };
// Largest lead of a request's creation time over the leader's clock.
inline constexpr Duration kMaxClaimLead{ 60LL * 1000000 };
// A claim outlives the window by the largest lead: until then a resend with
// the same creation time is still within the window.
inline constexpr Duration kClaimRetention = kClaimWindow + kMaxClaimLead;
inline constexpr std::size_t kMaxClaims = 200000;
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
inline constexpr std::size_t kMaxRequestDigestBytes = 256;

class ClaimTable
{
public:
  using Map = std::map<ClaimKey, ClaimRecord>;

  explicit ClaimTable(std::size_t aMaxClaims = kMaxClaims);
  ClaimTable(ClaimTable&&) noexcept = default;
  ClaimTable& operator=(ClaimTable&&) noexcept = default;
  // The expiry queue holds iterators into the map, so a copy would be wrong.
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;

  Outcome Claim(const ClaimRequest& aCommand, Context& aContext);
  Outcome Finish(const FinishClaim& aCommand);
  void Expire(WallTime aNow);

  [[nodiscard]] const Map& Records() const { return this->records; }
  void Load(Map aRecords);

private:
  Outcome ClaimAgain(Map::iterator aKnown,
                     const ClaimRequest& aCommand,
                     Context& aContext);
  [[nodiscard]] Outcome Check(const ClaimRequest& aCommand,
                              WallTime aNow) const;

  std::size_t maxClaims;
  Map records;
  // By claim time. A claim that was granted again has a later second entry;
  // its first entry is recognised by the other time and skipped.
  std::deque<std::pair<WallTime, Map::iterator>> expiry;
};

} // namespace hyssoppaddle::state

#endif
