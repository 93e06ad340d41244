// Commands of the replicated log. A command is a decision or a report. Every
// replica validates and applies all commands in the same order.
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
  MemberId member;   // the joining member
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
  Duration overlap{ 0 }; // the key stays valid this long, to allow rotation
  bool operator==(const WithdrawKey&) const = default;
};

// Claims of non-idempotent requests.

struct ClaimRequest
{
  TeamId team;
  std::string idempotencyKey;
  // Digest of service, method, path and body length. A request that reuses the
  // key with another digest is refused.
  std::string requestDigest;
  InstanceId entry;
  WallTime createdAt; // creation time of the request
  bool operator==(const ClaimRequest&) const = default;
};

enum class ClaimState : std::uint8_t
{
  Running, // bytes may have been sent to the upstream
  Done,    // the upstream responded; the status is stored
  NotRun,  // no byte was sent; a resend may claim again
  Unknown, // bytes may have been sent, and no complete response was received
};

struct FinishClaim
{
  TeamId team;
  std::string idempotencyKey;
  ClaimState state = ClaimState::Unknown;
  std::uint32_t status = 0; // HTTP status if the state is Done
  // Attempt number from the ClaimOutcome that granted the claim. Without it, a
  // delayed FinishClaim of an earlier attempt would end a later one, and the
  // claim would be granted a third time.
  std::uint32_t attempt = 1;
  bool operator==(const FinishClaim&) const = default;
};

// Jobs and tasks.

struct SubmitJob
{
  JobId job;
  TeamId team;
  ServiceId service; // the job runs in the pool of this service
  WorkClass workClass = WorkClass::Print;
  Resources size; // declared by the team
  std::uint32_t slots = 1;
  Duration runTime{ 0 }; // declared by the team
  bool idempotent = true;
  std::string payload; // passed to the upstream unchanged
  bool operator==(const SubmitJob&) const = default;
};

struct CancelJobs
{
  TeamId team; // jobs of other teams are skipped
  std::vector<JobId> jobs;
  bool operator==(const CancelJobs&) const = default;
};

struct PlaceTask
{
  JobId job;
  InstanceId instance;
  std::uint64_t epoch = 0; // must be one higher than the job's last epoch
  Duration lease{ 0 };
  Resources charged; // maximum of declared and learned size
  bool operator==(const PlaceTask&) const = default;
};

// Change that a StopTask requests of a live task.
enum class StopMode : std::uint8_t
{
  Checkpoint,
  Throttle,
  Resume, // lifts a throttle
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
  Placed, // not yet confirmed by the upstream
  Running,
  Throttled,
  Checkpointed, // ended; can be resumed on another instance
  Done,
  Failed,
  Stopped, // ended on request
  NotRun,  // the upstream reported that it never started
  Unknown, // the lease expired without a report
};

struct TaskReport
{
  JobId job;
  std::uint64_t epoch = 0;
  TaskState state = TaskState::Running;
  Resources usage; // measured, some seconds old
  std::string detail;
  bool operator==(const TaskReport&) const = default;
};

// Task reports of one instance. A report with an epoch other than the task's is
// ignored.
struct ReportTasks
{
  InstanceId instance;
  std::string boot;
  std::vector<TaskReport> reports;
  bool operator==(const ReportTasks&) const = default;
};

// Ends a task whose lease, including the clock margin, expired without a
// report.
struct EndTask
{
  JobId job;
  std::uint64_t epoch = 0;
  TaskState state = TaskState::Unknown;
  std::string reason;
  bool operator==(const EndTask&) const = default;
};

// Ends a waiting job that no longer fits any instance, or that failed on every
// instance.
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
  std::int64_t bootedAtMs = 0; // boot time by the upstream's wall clock
  std::string boot;
  std::uint64_t sequence = 0;
  ServiceId service;
  PoolId pool;
  DataCentreId dataCentre;
  RackId rack;
  std::string address; // host and port, such as "127.0.0.2:9000"
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
  // Sequence of the last announcement received. The command is refused if a
  // later one is stored.
  std::uint64_t sequence = 0;
  bool operator==(const MarkUpstreamSilent&) const = default;
};

// Instances and waves.

enum class InstancePhase : std::uint8_t
{
  Expected, // in the bundle, not yet announced
  Serving,
  Draining,
  Stopped, // drained; can be rebooted
  Rebooting,
  Soaking, // returned to service less than the soak time ago
  Moving,  // drained and changing pool
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

// Refused if it violates the pool's min_available budget or if the current
// phase is not `from`.
struct SetInstancePhase
{
  InstanceId instance;
  InstancePhase from = InstancePhase::Serving;
  InstancePhase to = InstancePhase::Serving;
  StopPurpose purpose = StopPurpose::None;
  std::string reason;
  bool operator==(const SetInstancePhase&) const = default;
};

// Changes the pool of an instance atomically; the instance must be Moving.
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

// Records an action that an operator requests. The planner performs it when the
// budgets allow.
struct RequestInstanceAction
{
  InstanceId instance;
  InstanceAction request = InstanceAction::Drain;
  PoolId to; // target pool of a Move
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

// Registers an entry instance that has started, with its boot ID. Permits of an
// earlier boot stay withheld for WithClockMargin(60 s) after the registration,
// because work of that boot may still run.
struct RegisterEntry
{
  InstanceId entry;
  std::string boot;
  bool operator==(const RegisterEntry&) const = default;
};

// Adds permits. Refused if permits plus slots of running tasks would exceed the
// team's limit, or if the boot ID is not the registered one.
struct GrantPermits
{
  InstanceId entry;
  std::string boot;
  TeamId team;
  std::uint32_t count = 0;
  bool operator==(const GrantPermits&) const = default;
};

// Returns idle permits. The entry instance lowers its own count before it sends
// this command.
struct ReturnPermits
{
  InstanceId entry;
  std::string boot;
  TeamId team;
  std::uint32_t count = 0;
  // Increases with every return of one boot. An equal or lower value is a
  // resend and has no effect, so that a lost response cannot return permits
  // twice.
  std::uint64_t sequence = 0;
  bool operator==(const ReturnPermits&) const = default;
};

// Revokes all permits of a boot that has been silent for long enough.
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
  // ID of the request by an operator, member or caller. A repeated ID with an
  // equal body returns the first outcome. Empty for internal commands.
  std::string requestId;
  std::string actor; // authorising key ID; empty for internal commands
  WallTime at;       // time stamp set by the leader
  CommandBody body;
  bool operator==(const Command&) const = default;
};

} // namespace hyssoppaddle::state

#endif
