// Events into and effects out of the request path of one entry instance.
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

using RequestNumber = std::uint64_t; // unique in one process life
using AttemptNumber = std::uint32_t; // 1 for the first attempt of a request

// A request whose header has been read. The body is still at the caller.
struct RequestArrived
{
  RequestNumber request = 0;
  ServiceId service;
  // Key as presented; its secret is already replaced by the keyed digest.
  std::optional<KeyId> key;
  std::string keyDigest;
  bool idempotent = true;
  // True when the body is small enough to be kept for a second attempt.
  bool replayable = true;
  std::string idempotencyKey; // empty: none
  std::string requestDigest;  // for the claim
  std::optional<WallTime> createdAt;
  Duration deadline{ 0 }; // from now; 0: the service's longest
};

// The log decided about the claim, or could not be reached.
struct ClaimDecided
{
  RequestNumber request = 0;
  bool reached = false; // false: surely not claimed
  bool unknown = false; // not reached, but the claim may exist
  state::Outcome outcome;
};

// Points of no return of an attempt, in order.
enum class AttemptPhase : std::uint8_t
{
  Connecting, // no byte can have left
  Sending,    // a byte of the request may have left
  Answering,  // the answer's header has arrived
  Relaying,   // a byte of the answer went to the caller
};

struct AttemptAdvanced
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  AttemptPhase phase = AttemptPhase::Sending;
};

// The whole answer reached the caller.
struct AttemptFinished
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  std::uint32_t status = 0;
  Duration latency{ 0 }; // start of attempt to header of the answer
};

// The upstream refused with a statement that it did not run the request
// (503 with header `Hyssoppaddle-Not-Run: true`).
struct AttemptRefused
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
};

struct AttemptFailed
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  AttemptPhase phase = AttemptPhase::Connecting; // reached when it failed
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

// Connect to the upstream and relay the request.
struct StartAttempt
{
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  InstanceId upstream;
  std::string address;
  Duration timeLeft{ 0 }; // to the caller's deadline; enforced by the shell
};

// Close the connection to the upstream; late answers are dropped.
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

// Reason of a refusal, with its documented HTTP status.
enum class Problem : std::uint8_t
{
  UnknownKey,          // 401
  WrongTeam,           // 403
  UnknownService,      // 404
  KeyReused,           // 409: idempotency key used for another request
  AlreadyRunning,      // 409: an equal request is running
  AlreadyDone,         // 409: it ran; status in the detail
  ClaimExpired,        // 409: older than the retention window
  QueueFull,           // 429
  OverLimit,           // 429
  StaleView,           // 503
  NoUpstream,          // 503
  NoQuorum,            // 503: the claim could not be made
  DeadlineUnreachable, // 503: refused early
  Stopping,            // 503: this instance is shutting down
  DeadlinePassed,      // 504
  UpstreamFailed,      // 502
  OutcomeUnknown,      // 502
};

struct Refuse
{
  RequestNumber request = 0;
  Problem problem = Problem::NoUpstream;
  bool notRun = true; // true only when no byte can have left, for any attempt
  std::optional<Duration> retryAfter;
  std::string detail;
};

// The answer is under way or done and nothing more can be said to the caller
// than closing its connection.
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

// One line of the decision log.
struct LogDecision
{
  std::string kind;    // "route", "refuse", "eject", "readmit", "retry"
  std::string subject; // request number, upstream
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
