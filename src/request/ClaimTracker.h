// Tracks the claims of non-idempotent requests on this entry instance: claims
// whose decision is pending, granted claims, and orphaned claims, which may
// exist without an owner because their decision was lost.
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

  // A claim for the request was submitted to the log.
  void OnRequested(RequestNumber aRequest, const state::ClaimKey& aKey);
  // The request ended while its claim was being decided.
  void OnAbandoned(RequestNumber aRequest);

  enum class Decision : std::uint8_t
  {
    Ignored,    // no decision was pending, or the request has ended
    Granted,    // the request may run
    NotGranted, // refuse with the reason in the outcome
    Lost,       // no decision, the claim may exist; the request must not run
  };
  struct ClaimResult
  {
    Decision decision = Decision::Ignored;
    // Set if the request has ended: frees the claim so that a resend can run.
    std::optional<state::FinishClaim> release;
  };
  ClaimResult OnDecided(const ClaimDecided& aEvent, Time aNow);

  // Finishes a granted claim; empty if the request holds none. Sweep resends
  // the command until the replicated state shows the claim as finished: if the
  // command were lost, the claim would stay in state Running until its
  // retention ends.
  std::optional<state::FinishClaim> Finish(RequestNumber aRequest,
                                           state::ClaimState aState,
                                           std::uint32_t aStatus);

  // Returns the FinishClaim commands to send: for orphaned claims that turn out
  // to exist, and for finishes that the replicated state has not shown within
  // the resend interval. Each call examines a bounded number of entries.
  std::vector<state::FinishClaim> Sweep(Time aNow);

private:
  // A claim is watched for this long after its decision was lost, because a
  // forwarded command can still be committed after an election.
  static constexpr Duration kOrphanLifetime = std::chrono::seconds(60);
  static constexpr Duration kFinishResendInterval = std::chrono::seconds(3);
  static constexpr std::size_t kMaxPerSweep = 64;

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

  struct UnconfirmedFinish
  {
    state::FinishClaim finish;
    std::optional<Time> sentAt; // empty until the first sweep
  };

  void SweepOrphans(Time aNow, std::vector<state::FinishClaim>& aFinishes);
  void SweepUnconfirmed(Time aNow, std::vector<state::FinishClaim>& aFinishes);
  [[nodiscard]] bool IsConfirmed(const state::FinishClaim& aFinish) const;
  void AddOwner(const state::ClaimKey& aKey);
  void RemoveOwner(const state::ClaimKey& aKey);
  [[nodiscard]] std::optional<state::FinishClaim> FinishForOrphan(
    const state::ClaimKey& aKey) const;

  const state::FleetState* view;
  InstanceId self;
  std::unordered_map<RequestNumber, Pending> pending;
  std::unordered_map<RequestNumber, Held> held;
  // Number of local requests per key whose claim is pending, granted or
  // finished without confirmation in the replicated state. An orphaned claim
  // with an owner is not released: the claim in the replicated state may belong
  // to the owner, which may have run.
  std::map<state::ClaimKey, std::uint32_t> owners;
  std::deque<Orphan> orphans;
  std::deque<UnconfirmedFinish> unconfirmedFinishes;
};

} // namespace hyssoppaddle::request

#endif
