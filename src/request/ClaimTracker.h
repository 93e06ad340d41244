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

  // Ends a granted claim; empty when the request holds none. The end is
  // repeated by Sweep until the view shows it: a lost one would leave the claim
  // running for as long as claims are kept.
  std::optional<state::FinishClaim> Finish(RequestNumber aRequest,
                                           state::ClaimState aState,
                                           std::uint32_t aStatus);

  // Ends to send: claims whose decision was lost and that turn out to exist,
  // and ends that the view has not shown for some time. Looks at a bounded
  // number per call.
  std::vector<state::FinishClaim> Sweep(Time aNow);

private:
  // A forwarded command can be committed late, after an election.
  static constexpr Duration kOrphanTime{ 60000000 };
  static constexpr Duration kRepeatEnd{ 3000000 };
  static constexpr std::size_t kPerSweep = 64;

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

  struct Ending
  {
    state::FinishClaim finish;
    std::optional<Time> sentAt; // empty: in the step that created it
  };

  void SweepOrphans(Time aNow, std::vector<state::FinishClaim>& aEnds);
  void SweepEndings(Time aNow, std::vector<state::FinishClaim>& aEnds);
  [[nodiscard]] bool IsSettled(const state::FinishClaim& aFinish) const;
  void AddOwner(const state::ClaimKey& aKey);
  void RemoveOwner(const state::ClaimKey& aKey);
  [[nodiscard]] std::optional<state::FinishClaim> OrphanEnd(
    const state::ClaimKey& aKey) const;

  const state::FleetState* view;
  InstanceId self;
  std::unordered_map<RequestNumber, Pending> pending;
  std::unordered_map<RequestNumber, Held> held;
  // Requests here that await or hold the claim or whose end the view has not
  // shown. An orphan with an owner is not released, because the claim in the
  // view may be the owner's, which may have run.
  std::map<state::ClaimKey, std::uint32_t> owners;
  std::deque<Orphan> orphans;
  std::deque<Ending> endings;
};

} // namespace hyssoppaddle::request

#endif
