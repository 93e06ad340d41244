// Claims of non-idempotent requests as this entry instance holds them: which
// decision is awaited, which grant is held, and which claims may exist without
// an owner because their decision was lost.
#ifndef hyssoppaddle_request_ClaimTracker_h
#define hyssoppaddle_request_ClaimTracker_h

#include "request/Events.h"
#include "state/FleetState.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hyssoppaddle::request {

class ClaimTracker
{
public:
  ClaimTracker(const state::FleetState& aView, InstanceId aSelf);

  // The claim of the request was asked for.
  void OnAsked(RequestNumber aRequest, const state::ClaimKey& aKey);
  // The request ended while its claim was being decided.
  void OnAbandoned(RequestNumber aRequest);

  enum class Decision : std::uint8_t
  {
    Ignored,    // not awaited
    Granted,    // the request may run
    NotGranted, // refuse with the outcome's reason
    Lost,       // surely or possibly not claimed; nothing was sent
  };
  struct Answer
  {
    Decision decision = Decision::Ignored;
    // For a request that has ended: frees the claim for a resend.
    std::optional<state::FinishClaim> release;
  };
  Answer OnDecided(const ClaimDecided& aEvent, Time aNow);

  // Ends a granted claim; empty when the request holds none.
  std::optional<state::FinishClaim> Finish(RequestNumber aRequest,
                                           state::ClaimState aState,
                                           std::uint32_t aStatus);

  // Frees claims whose decision was lost and that turn out to exist. Looks at a
  // bounded number per call.
  std::vector<state::FinishClaim> ReleaseOrphans(Time aNow);

private:
  // A forwarded command can be committed late, after an election.
  static constexpr Duration kOrphanTime{ 60000000 };
  static constexpr std::size_t kOrphansPerCall = 64;

  struct Pending
  {
    state::ClaimKey key;
    bool abandoned = false;
  };
  struct Held
  {
    state::ClaimKey key;
    std::uint32_t attempt = 1;
  };
  struct Orphan
  {
    state::ClaimKey key;
    Time until;
  };

  void AddOwner(const state::ClaimKey& aKey);
  void RemoveOwner(const state::ClaimKey& aKey);
  [[nodiscard]] std::optional<state::FinishClaim> OrphanEnd(
    const state::ClaimKey& aKey) const;

  const state::FleetState* view;
  InstanceId self;
  std::unordered_map<RequestNumber, Pending> pending;
  std::unordered_map<RequestNumber, Held> held;
  // Requests here that await or hold the claim; an orphan with an owner is not
  // released, because the claim in the view may be the owner's.
  std::map<state::ClaimKey, std::uint32_t> owners;
  std::deque<Orphan> orphans;
};

} // namespace hyssoppaddle::request

#endif
