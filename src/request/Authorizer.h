// Decides whether a presented key may be used, and for which team.
#ifndef hyssoppaddle_request_Authorizer_h
#define hyssoppaddle_request_Authorizer_h

#include "base/Id.h"
#include "base/Time.h"
#include "request/Events.h"
#include "state/FleetState.h"

#include <optional>
#include <string_view>

namespace hyssoppaddle::request {

class Authorizer
{
public:
  explicit Authorizer(const state::FleetState& aView);

  struct Verdict
  {
    std::optional<Problem> problem; // UnknownKey or WrongTeam
    TeamId team;                    // charged and accountable
  };

  // Without a key only open services are allowed. A presented key must be valid
  // also on an open service: falling back to the open team would charge another
  // team than the caller meant.
  [[nodiscard]] Verdict Check(const std::optional<KeyId>& aKey,
                              std::string_view aDigest,
                              const state::ServiceSpec& aService,
                              WallTime aWallNow) const;

  // Time by which withdrawals are judged: the later of the local clock and the
  // fleet's clock as last seen, so that a slow local clock does not keep a
  // withdrawn key working.
  WallTime FleetTime(Time aNow, WallTime aWallNow);

private:
  const state::FleetState* view;
  WallTime seen; // latest stamp of the replicated state
  Time seenAt;   // when it was first seen here
};

} // namespace hyssoppaddle::request

#endif
