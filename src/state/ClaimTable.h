// Stores the claims of non-idempotent requests. A request may run only after
// its claim was granted, so that a resend does not run it twice.
#ifndef hyssoppaddle_state_ClaimTable_h
#define hyssoppaddle_state_ClaimTable_h

#include "state/Context.h"
#include "state/Records.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace hyssoppaddle::state {

// Older requests are refused, because their claims may have been dropped.
inline constexpr Duration kClaimWindow{ std::chrono::hours(24) };
// Maximum time by which a request's creation time may be ahead of the leader's
// clock.
inline constexpr Duration kMaxCreationTimeSkew{ std::chrono::seconds(60) };
// A claim is kept for the window plus this skew, because until then a resend
// with the same creation time is still accepted.
inline constexpr Duration kClaimRetention = kClaimWindow + kMaxCreationTimeSkew;
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
  // Not copyable: the expiry queue holds iterators into the map.
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;

  Outcome Claim(const ClaimRequest& aCommand, Context& aContext);
  Outcome Finish(const FinishClaim& aCommand);
  void Expire(WallTime aNow);

  [[nodiscard]] const Map& Records() const { return this->records; }
  void Load(Map aRecords);

private:
  Outcome HandleRepeatedClaim(Map::iterator aKnown,
                              const ClaimRequest& aCommand,
                              Context& aContext);
  [[nodiscard]] Outcome Check(const ClaimRequest& aCommand,
                              WallTime aNow) const;

  std::size_t maxClaims;
  Map records;
  // Ordered by claim time. A claim that was granted again has a second, later
  // entry. The earlier entry no longer matches the claim time of the record,
  // and Expire skips it.
  std::deque<std::pair<WallTime, Map::iterator>> expiry;
};

} // namespace hyssoppaddle::state

#endif
