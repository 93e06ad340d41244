// Records of the replicated state. FleetState owns them; everyone else reads.
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
  std::set<MemberId> approvals; // only of accepted members
  bool operator==(const JoinRecord&) const = default;
};

struct BundleRecord
{
  // Empty for an old bundle whose content is no longer kept; its parsed bundle
  // then holds only version and base.
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
  std::optional<WallTime> withdrawnAt; // the key works until this time
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
  std::uint32_t attempt = 1; // grants so far
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
  OutcomeUnknown, // non-idempotent, end of its task unknown
};

struct TaskRecord
{
  InstanceId instance;
  std::string boot; // of the upstream when the task was placed; fences restarts
  std::uint64_t epoch = 0;
  TaskState state = TaskState::Placed;
  WallTime placedAt;
  WallTime leaseEnd; // renewed by reports
  Duration lease{ 0 };
  Resources charged;
  Resources usage;                   // last report
  std::optional<StopMode> requested; // checkpoint, throttle or stop in progress
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
  std::uint64_t epoch = 0;        // of the last task
  std::optional<TaskRecord> task; // live task
  std::set<InstanceId> failedOn;
  bool checkpointed = false;
  bool cancelRequested = false;
  std::string reason; // why it waits or how it ended
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
  PoolId pool;         // exactly one, also while Moving
  PoolId movingToPool; // set while a move is in progress
  PoolId homePool;     // of the bundle
  DataCentreId dataCentre;
  RackId rack;
  Resources capacity;
  InstancePhase phase = InstancePhase::Expected;
  StopPurpose purpose = StopPurpose::None;
  WallTime since;
  WallTime lastMaintainedAt;
  std::string
    bootIdAtStop; // boot ID when the stop began; another one proves a reboot
  std::optional<InstanceAction> requested;
  PoolId requestedPool;
  std::string reason;
  bool retired = false; // no longer in the bundle; drains and leaves
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
  // Permits of earlier boots, withheld until the time given.
  std::map<TeamId, std::uint32_t> withheld;
  WallTime withheldUntil;
  // Latest first, at most 8. A delayed registration of one of them must not
  // replace the running boot.
  std::vector<std::string> earlierBoots;
  std::uint64_t lastReturnSequence =
    0; // highest ReturnPermits::sequence applied
  bool operator==(const EntryRecord&) const = default;
};

} // namespace hyssoppaddle::state

#endif
