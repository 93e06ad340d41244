// Commands of the replicated log. A command is a decision or a report that
// every replica validates and applies in the same order.
#ifndef hyssoppaddle_state_Commands_h
#define hyssoppaddle_state_Commands_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Bundle.h"
#include "state/Resources.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::state {

// Members.

struct ProposeMember
{
  MemberId member;
  bool operator==(const ProposeMember&) const = default;
};

struct ApproveMember
{
  MemberId member;   // the one that joins
  MemberId approver; // an accepted member
  bool operator==(const ApproveMember&) const = default;
};

struct WithdrawApproval
{
  MemberId member;
  MemberId approver;
  bool operator==(const WithdrawApproval&) const = default;
};

struct LeaveMember
{
  MemberId member;
  bool operator==(const LeaveMember&) const = default;
};

// Bundles.

struct ProposeBundle
{
  std::string content;  // JSON with comments, as the operator sent it
  std::string digest;   // BLAKE2b-256 of content, lower-case hexadecimal
  std::string proposer; // key ID of the operator
  Bundle bundle;        // parsed by the entry instance that received it
  bool operator==(const ProposeBundle&) const = default;
};

struct ApproveBundle
{
  std::uint64_t version = 0;
  std::string digest;
  MemberId member;
  bool operator==(const ApproveBundle&) const = default;
};

// Keys.

enum class KeyRole : std::uint8_t
{
  Operator,
  Member,
  Upstream,
  Team,
};

struct GrantKey
{
  KeyId key;
  KeyRole role = KeyRole::Team;
  std::string subject; // team or member name; empty for operators and upstreams
  std::string digest;  // 32 bytes, keyed BLAKE2b of the secret
  bool operator==(const GrantKey&) const = default;
};

struct WithdrawKey
{
  KeyId key;
  Duration overlap{ 0 }; // the key still works this long, for rotation
  bool operator==(const WithdrawKey&) const = default;
};

// Claims of non-idempotent requests.

struct ClaimRequest
{
  TeamId team;
  std::string idempotencyKey;
  std::string requestDigest; // service, method, path and body length; a reuse
                             // of the key for another request is refused
  InstanceId entry;
  WallTime createdAt; // of the request
  bool operator==(const ClaimRequest&) const = default;
};

enum class ClaimState : std::uint8_t
{
  Running, // a byte may have left
  Done,    // the upstream answered; status is kept
  NotRun,  // surely no byte left; a resend may claim again
  Unknown, // a byte may have left and no whole answer came
};

struct FinishClaim
{
  TeamId team;
  std::string idempotencyKey;
  ClaimState state = ClaimState::Unknown;
  std::uint32_t status = 0; // HTTP status when Done
  // As in the ClaimOutcome that granted it. A delayed end of an earlier attempt
  // must not end a later one, which would then be granted a third time.
  std::uint32_t attempt = 1;
  bool operator==(const FinishClaim&) const = default;
};

// Jobs and tasks.

struct SubmitJob
{
  JobId job;
  TeamId team;
  ServiceId service; // its pool runs the job
  WorkClass workClass = WorkClass::Print;
  Resources size; // declared
  std::uint32_t slots = 1;
  Duration runTime{ 0 }; // declared
  bool idempotent = true;
  std::string payload; // passed to the upstream unchanged
  bool operator==(const SubmitJob&) const = default;
};

struct CancelJobs
{
  TeamId team; // only jobs of this team are cancelled
  std::vector<JobId> jobs;
  bool operator==(const CancelJobs&) const = default;
};

struct PlaceTask
{
  JobId job;
  InstanceId instance;
  std::uint64_t epoch = 0; // must be the job's last epoch + 1
  Duration lease{ 0 };
  Resources charged; // larger of declared and learned size
  bool operator==(const PlaceTask&) const = default;
};

enum class StopMode : std::uint8_t
{
  Checkpoint,
  Throttle,
  Resume, // ends a throttle
  Stop,
};

struct StopTask
{
  JobId job;
  std::uint64_t epoch = 0;
  StopMode mode = StopMode::Stop;
  std::string reason;
  bool operator==(const StopTask&) const = default;
};

enum class TaskState : std::uint8_t
{
  Placed, // decided, not yet confirmed by the upstream
  Running,
  Throttled,
  Checkpointed, // ended, can be resumed elsewhere
  Done,
  Failed,
  Stopped, // ended on request
  NotRun,  // the upstream states that it never started
  Unknown, // lease ran out without a report
};

struct TaskReport
{
  JobId job;
  std::uint64_t epoch = 0;
  TaskState state = TaskState::Running;
  Resources usage; // measured, lags by some seconds
  std::string detail;
  bool operator==(const TaskReport&) const = default;
};

// Reports of one instance. Reports about another epoch are ignored.
struct ReportTasks
{
  InstanceId instance;
  std::string boot;
  std::vector<TaskReport> reports;
  bool operator==(const ReportTasks&) const = default;
};

// Ends a task whose lease and margin have passed without a report.
struct EndTask
{
  JobId job;
  std::uint64_t epoch = 0;
  TaskState state = TaskState::Unknown;
  std::string reason;
  bool operator==(const EndTask&) const = default;
};

// Marks a job that fits no instance shape any more, or that fails everywhere.
struct EndJob
{
  JobId job;
  bool cannotRun = false;
  std::string reason;
  bool operator==(const EndJob&) const = default;
};

// Upstreams.

enum class UpstreamState : std::uint8_t
{
  Serving,
  Departing,
  Silent,
};

struct Announcement
{
  InstanceId instance;
  std::int64_t bootedAtMs = 0; // wall clock of the upstream
  std::string boot;
  std::uint64_t sequence = 0;
  ServiceId service;
  PoolId pool;
  DataCentreId dataCentre;
  RackId rack;
  std::string address; // "127.0.0.2:9000"
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  Resources capacity;
  UpstreamState state = UpstreamState::Serving; // Serving or Departing
  bool operator==(const Announcement&) const = default;
};

struct UpdateUpstream
{
  Announcement announcement;
  bool operator==(const UpdateUpstream&) const = default;
};

struct MarkUpstreamSilent
{
  InstanceId instance;
  std::string boot;
  std::uint64_t sequence = 0; // last one heard; a later one wins
  bool operator==(const MarkUpstreamSilent&) const = default;
};

// Instances and waves.

enum class InstancePhase : std::uint8_t
{
  Expected, // in the bundle, not yet announced
  Serving,
  Draining,
  Stopped, // drained; safe to reboot
  Rebooting,
  Soaking, // back for less than the soak time
  Moving,  // drained, changes pool
  Lost,
};

enum class StopPurpose : std::uint8_t
{
  None,
  Maintenance,
  Move,
  OperatorDrain,
  Repair,
};

// Refused when it breaks the pool's budget or does not start from `from`.
struct SetInstancePhase
{
  InstanceId instance;
  InstancePhase from = InstancePhase::Serving;
  InstancePhase to = InstancePhase::Serving;
  StopPurpose purpose = StopPurpose::None;
  std::string reason;
  bool operator==(const SetInstancePhase&) const = default;
};

// Changes the pool in one step; the instance must be Moving.
struct MoveInstance
{
  InstanceId instance;
  PoolId from;
  PoolId to;
  bool operator==(const MoveInstance&) const = default;
};

enum class InstanceAction : std::uint8_t
{
  Drain,
  Return,
  Move,
};

// Wish of an operator; the planner grants it within the budgets.
struct RequestInstanceAction
{
  InstanceId instance;
  InstanceAction request = InstanceAction::Drain;
  PoolId to; // for Move
  bool operator==(const RequestInstanceAction&) const = default;
};

enum class WaveState : std::uint8_t
{
  Running,
  Paused,
  Finished,
};

struct SetWave
{
  WaveId wave;
  WaveState state = WaveState::Running;
  std::string reason;
  WallTime forecastEnd;
  bool operator==(const SetWave&) const = default;
};

// Permits.

// Registers a started entry instance under its boot ID. Permits of an earlier
// boot are withheld until `WithClockMargin(60 s)` after.
struct RegisterEntry
{
  InstanceId entry;
  std::string boot;
  bool operator==(const RegisterEntry&) const = default;
};

// Adds permits. Refused when the sum with running tasks would pass the limit or
// the boot ID is not the registered one.
struct GrantPermits
{
  InstanceId entry;
  std::string boot;
  TeamId team;
  std::uint32_t count = 0;
  bool operator==(const GrantPermits&) const = default;
};

// Gives idle permits back. The holder lowers its own count before it sends
// this.
struct ReturnPermits
{
  InstanceId entry;
  std::string boot;
  TeamId team;
  std::uint32_t count = 0;
  // Counts up over the returns of one boot. An equal or lower one is a resend
  // and changes nothing, so that a lost answer cannot return permits twice.
  std::uint64_t sequence = 0;
  bool operator==(const ReturnPermits&) const = default;
};

// Takes back all permits of a boot that has been silent long enough.
struct ReclaimPermits
{
  InstanceId entry;
  std::string boot;
  bool operator==(const ReclaimPermits&) const = default;
};

using CommandBody = std::variant<ProposeMember,
                                 ApproveMember,
                                 WithdrawApproval,
                                 LeaveMember,
                                 ProposeBundle,
                                 ApproveBundle,
                                 GrantKey,
                                 WithdrawKey,
                                 ClaimRequest,
                                 FinishClaim,
                                 SubmitJob,
                                 CancelJobs,
                                 PlaceTask,
                                 StopTask,
                                 ReportTasks,
                                 EndTask,
                                 EndJob,
                                 UpdateUpstream,
                                 MarkUpstreamSilent,
                                 SetInstancePhase,
                                 MoveInstance,
                                 RequestInstanceAction,
                                 SetWave,
                                 RegisterEntry,
                                 GrantPermits,
                                 ReturnPermits,
                                 ReclaimPermits>;

struct Command
{
  // Names the request of an operator, member or caller. An equal one with equal
  // body gets the first outcome again; empty for internal commands.
  std::string requestId;
  std::string actor; // key ID that authorised it; empty for internal commands
  WallTime at;       // stamped by the leader
  CommandBody body;
  bool operator==(const Command&) const = default;
};

} // namespace hyssoppaddle::state

#endif
