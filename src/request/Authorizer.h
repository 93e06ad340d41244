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
    TeamId team;                    // team that the request is charged to
  };

  // Without a key, only open services are allowed. A presented key must be
  // valid even on an open service: falling back to the open team would charge a
  // different team than the caller intended.
  [[nodiscard]] Verdict Check(const std::optional<KeyId>& aKey,
                              std::string_view aDigest,
                              const state::ServiceSpec& aService,
                              WallTime aWallNow) const;

  // Time used to check key withdrawals: the later of the local clock and the
  // last known clock of the replicated state, advanced by the local time since
  // then. A slow local clock therefore does not extend the life of a withdrawn
  // key.
  WallTime FleetTime(Time aNow, WallTime aWallNow);

private:
  const state::FleetState* view;
  WallTime seen; // latest timestamp of the replicated state
  Time seenAt;   // local time at which `seen` was first observed
};

} // namespace hyssoppaddle::request

#endif
