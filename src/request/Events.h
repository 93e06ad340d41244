// Input events and output effects of the request path of one entry instance.
#ifndef hyssoppaddle_request_Events_h
#define hyssoppaddle_request_Events_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Commands.h"
#include "state/FleetState.h"
#include "state/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::request {

using RequestNumber = std::uint64_t; // unique within one run of the process
using AttemptNumber = std::uint32_t; // 1 for the first attempt of a request

// The header of a request was read; its body has not been read yet.
struct RequestArrived
{
  RequestNumber request = 0;
  ServiceId service;
  // The presented key. Its secret has been replaced by the keyed digest.
  std::optional<KeyId> key;
  std::string keyDigest;
  bool idempotent = true;
  // True if the body is small enough to be buffered for another attempt.
  bool replayable = true;
  std::string idempotencyKey; // empty: none
  std::string requestDigest;  // for the claim
  std::optional<WallTime> createdAt;
  Duration deadline{ 0 }; // from now; 0: the maximum of the service
};

// The replicated log decided about the claim, or no decision was obtained.
struct ClaimDecided
{
  RequestNumber request = 0;
  bool reached = false; // false: no decision; see `unknown`
  bool unknown = false; // the claim may exist nevertheless
  state::Outcome outcome;
};

// Progress of an attempt, in order. An attempt never returns to an earlier
// phase.
enum class AttemptPhase : std::uint8_t
{
  Connecting, // no byte can have been sent
  Sending,    // a byte of the request may have been sent
  Answering,  // the header of the response was received
  Relaying,   // a byte of the response was sent to the caller
};

struct AttemptAdvanced
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  AttemptPhase phase = AttemptPhase::Sending;
};

// The complete response was sent to the caller.
struct AttemptFinished
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  std::uint32_t status = 0;
  Duration latency{ 0 }; // from the start of the attempt to the response header
};

// The upstream refused the request and stated that it did not run it (status
// 503 with header `Hyssoppaddle-Not-Run: true`).
struct AttemptRefused
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
};

struct AttemptFailed
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  AttemptPhase phase = AttemptPhase::Connecting; // at the time of the failure
  std::string reason;
};

struct CallerDisconnected
{
  RequestNumber request = 0;
};

// An upstream announced itself to this entry instance.
struct UpstreamAnnounced
{
  state::Announcement announcement;
};

// The replicated state changed.
struct ViewChanged
{
  state::Changes changes;
};

// The leader answered a renewal and this instance has applied the log up to the
// index in the answer.
struct LeasesRenewed
{
  Time sentAt;
  std::vector<std::pair<TeamId, std::uint32_t>> recalls;
};

struct Tick
{};

using Event = std::variant<RequestArrived,
                           ClaimDecided,
                           AttemptAdvanced,
                           AttemptFinished,
                           AttemptRefused,
                           AttemptFailed,
                           CallerDisconnected,
                           UpstreamAnnounced,
                           ViewChanged,
                           LeasesRenewed,
                           Tick>;

// Connect to the upstream and relay the request to it.
struct StartAttempt
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  InstanceId upstream;
  std::string address;
  Duration timeLeft{ 0 }; // until the caller's deadline; enforced by the shell
};

// Close the connection to the upstream and drop any later response.
struct AbandonAttempt
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
};

struct ClaimNeeded
{
  RequestNumber request = 0;
  state::ClaimRequest claim;
};

struct ClaimEnded
{
  state::FinishClaim finish;
};

// Reason for a refusal, with its documented HTTP status.
enum class Problem : std::uint8_t
{
  UnknownKey,          // 401
  WrongTeam,           // 403
  UnknownService,      // 404
  KeyReused,           // 409: idempotency key used for another request
  AlreadyRunning,      // 409: an equal request is running
  AlreadyDone,         // 409: it ran; the detail contains the status
  ClaimExpired,        // 409: older than the retention window
  QueueFull,           // 429
  OverLimit,           // 429
  StaleView,           // 503
  NoUpstream,          // 503
  NoQuorum,            // 503: the claim could not be made
  DeadlineUnreachable, // 503: rejected on arrival
  Stopping,            // 503: this instance is shutting down
  DeadlinePassed,      // 504
  UpstreamFailed,      // 502
  OutcomeUnknown,      // 502
};

struct Refuse
{
  RequestNumber request = 0;
  Problem problem = Problem::NoUpstream;
  bool notRun = true; // true only if no attempt can have run the request
  std::optional<Duration> retryAfter;
  std::string detail;
};

// Close the connection to the caller. Part of the response was sent, so no
// error can be reported in another way.
struct AbortCaller
{
  RequestNumber request = 0;
};

struct SendReturnPermits
{
  state::ReturnPermits permits;
};

// Ask the leader for permits before the next regular renewal.
struct RenewNow
{};

struct Candidate
{
  InstanceId upstream;
  double load = 0;
  bool sameDataCentre = false;
};

// One entry of the decision log.
struct LogDecision
{
  std::string kind;    // "route", "refuse", "eject", "readmit", "retry"
  std::string subject; // request number or upstream
  TeamId team;
  ServiceId service;
  std::vector<Candidate> candidates;
  std::string chosen;
  std::string rule;
  std::string reason;
  bool refusal = false; // never dropped by the rate limit
};

using Effect = std::variant<StartAttempt,
                            AbandonAttempt,
                            ClaimNeeded,
                            ClaimEnded,
                            Refuse,
                            AbortCaller,
                            SendReturnPermits,
                            RenewNow,
                            LogDecision>;

using Effects = std::vector<Effect>;

} // namespace hyssoppaddle::request

#endif
