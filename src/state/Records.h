// Records of the replicated state. FleetState owns them; all other parts only
// read them.
#ifndef hyssoppaddle_state_Records_h
#define hyssoppaddle_state_Records_h

#include "state/Commands.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::state {

struct MemberRecord
{
  WallTime acceptedAt;
  bool operator==(const MemberRecord&) const = default;
};

struct JoinRecord
{
  WallTime proposedAt;
  std::set<MemberId> approvals; // current members only
  bool operator==(const JoinRecord&) const = default;
};

struct BundleRecord
{
  // Empty for an old bundle whose content was dropped; its parsed bundle then
  // contains only version and base.
  std::string content;
  std::string digest;
  std::string proposer;
  WallTime proposedAt;
  std::optional<WallTime> acceptedAt;
  std::set<MemberId> approvals;
  std::shared_ptr<const Bundle> bundle; // never null
};

struct KeyRecord
{
  KeyRole role = KeyRole::Team;
  std::string subject;
  std::string digest;
  WallTime grantedAt;
  std::optional<WallTime> withdrawnAt; // the key is valid until this time
  bool operator==(const KeyRecord&) const = default;
};

struct ClaimKey
{
  TeamId team;
  std::string idempotencyKey;
  auto operator<=>(const ClaimKey&) const = default;
};

struct ClaimRecord
{
  std::string requestDigest;
  InstanceId entry;
  WallTime claimedAt;
  ClaimState state = ClaimState::Running;
  std::uint32_t status = 0;
  std::uint32_t attempt = 1; // number of grants so far
  bool operator==(const ClaimRecord&) const = default;
};

enum class JobState : std::uint8_t
{
  Waiting,
  Placed, // has a live task
  Done,
  Failed,
  Cancelled,
  CannotRun,
  OutcomeUnknown, // non-idempotent job whose task had an unknown end
};

struct TaskRecord
{
  InstanceId instance;
  // Boot ID of the upstream when the task was placed. Detects a restart, after
  // which the task cannot be running any more.
  std::string boot;
  std::uint64_t epoch = 0;
  TaskState state = TaskState::Placed;
  WallTime placedAt;
  WallTime leaseEnd; // extended by reports
  Duration lease{ 0 };
  Resources charged;
  Resources usage;                   // from the last report
  std::optional<StopMode> requested; // requested change in progress
  bool operator==(const TaskRecord&) const = default;
};

struct JobRecord
{
  TeamId team;
  ServiceId service;
  PoolId pool;
  WorkClass workClass = WorkClass::Print;
  Resources size;
  std::uint32_t slots = 1;
  Duration runTime{ 0 };
  bool idempotent = true;
  std::string payload;
  JobState state = JobState::Waiting;
  WallTime submittedAt;
  std::optional<WallTime> endedAt;
  std::uint64_t epoch = 0;        // epoch of the last task
  std::optional<TaskRecord> task; // the live task, if any
  std::set<InstanceId> failedOn;
  bool checkpointed = false;
  bool cancelRequested = false;
  std::string reason; // why the job waits or how it ended
  bool operator==(const JobRecord&) const = default;
};

struct UpstreamRecord
{
  Announcement announcement;
  WallTime changedAt;
  WallTime servingSince;
  UpstreamState state = UpstreamState::Serving;
  bool operator==(const UpstreamRecord&) const = default;
};

struct InstanceRecord
{
  PoolId pool;         // exactly one at any time, also while Moving
  PoolId movingToPool; // target pool while a move is in progress
  PoolId homePool;     // pool that lists the instance in the active bundle
  DataCentreId dataCentre;
  RackId rack;
  Resources capacity;
  InstancePhase phase = InstancePhase::Expected;
  StopPurpose purpose = StopPurpose::None;
  WallTime since; // start of the current phase
  WallTime lastMaintainedAt;
  // Boot ID when the planned stop or departure began. An announcement with
  // another boot ID proves that the instance was rebooted.
  std::string bootIdAtStop;
  std::optional<InstanceAction> requested;
  PoolId requestedPool; // target pool of a requested move
  std::string reason;
  // True if the active bundle no longer lists the instance. It is removed once
  // it is out of service.
  bool retired = false;
  bool operator==(const InstanceRecord&) const = default;
};

struct WaveRecord
{
  WaveState state = WaveState::Running;
  std::string reason;
  WallTime startedAt;
  WallTime forecastEnd;
  bool operator==(const WaveRecord&) const = default;
};

struct EntryRecord
{
  std::string boot;
  WallTime registeredAt;
  std::map<TeamId, std::uint32_t> permits;
  // Permits of earlier boots, withheld until withheldUntil.
  std::map<TeamId, std::uint32_t> withheld;
  WallTime withheldUntil;
  // Earlier boot IDs, latest first, at most 8. A delayed registration of one of
  // them must not replace the current boot.
  std::vector<std::string> earlierBoots;
  // Highest ReturnPermits::sequence applied.
  std::uint64_t lastReturnSequence = 0;
  bool operator==(const EntryRecord&) const = default;
};

} // namespace hyssoppaddle::state

#endif
