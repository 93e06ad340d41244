// The replicated state machine, which holds all durable data of the system. It
// validates and records decisions but makes none. Equal sequences of commands
// produce equal states on every replica.
#ifndef hyssoppaddle_state_FleetState_h
#define hyssoppaddle_state_FleetState_h

#include "base/Result.h"
#include "state/Outcome.h"
#include "state/Records.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace hyssoppaddle::state {

// The parts of the state that a command changed. Readers use it to update their
// views without scanning the state.
struct Changes
{
  bool bundle = false;
  bool members = false;
  bool keys = false;
  bool waves = false;
  std::vector<InstanceId> upstreams;
  std::vector<InstanceId> instances;
  std::vector<JobId> jobs;
  std::vector<InstanceId> entries; // entry instances with changed permits
};

class FleetState
{
public:
  FleetState();
  ~FleetState();
  FleetState(FleetState&&) noexcept;
  FleetState& operator=(FleetState&&) noexcept;

  // Applies one command. aChanges receives the changed parts and may be null.
  // Time is monotonic: a command with an earlier time stamp is applied at
  // Now().
  Outcome Apply(const Command& aCommand, Changes* aChanges = nullptr);

  // Snapshot serialises the whole state as msgpack; Restore replaces this state
  // by a snapshot. If Restore fails with Corrupt or Malformed, the state is
  // unchanged.
  [[nodiscard]] std::string Snapshot() const;
  Result<void> Restore(std::string_view aBytes);

  // Latest time stamp applied.
  [[nodiscard]] WallTime Now() const;

  // The accepted bundle, or an empty bundle of version 0 before the first one
  // is accepted.
  [[nodiscard]] const Bundle& ActiveBundle() const;
  [[nodiscard]] const TeamSpec* FindTeam(const TeamId& aTeam) const;
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& aService) const;
  [[nodiscard]] const PoolSpec* FindPool(const PoolId& aPool) const;

  [[nodiscard]] const std::map<MemberId, MemberRecord>& Members() const;
  [[nodiscard]] const std::map<MemberId, JoinRecord>& Joins() const;
  // The last 16 accepted bundles and the pending proposals, by version.
  [[nodiscard]] const std::map<std::uint64_t, BundleRecord>& Bundles() const;
  [[nodiscard]] const std::map<KeyId, KeyRecord>& Keys() const;
  [[nodiscard]] const std::map<ClaimKey, ClaimRecord>& Claims() const;
  [[nodiscard]] const std::map<JobId, JobRecord>& Jobs() const;
  [[nodiscard]] const std::map<InstanceId, UpstreamRecord>& Upstreams() const;
  [[nodiscard]] const std::map<InstanceId, InstanceRecord>& Instances() const;
  [[nodiscard]] const std::map<WaveId, WaveRecord>& Waves() const;
  [[nodiscard]] const std::map<InstanceId, EntryRecord>& Entries() const;

  // Indexes that are updated with every command, so that readers need no scan.
  // Waiting jobs of a pool, oldest first.
  [[nodiscard]] const std::set<std::pair<WallTime, JobId>>& WaitingJobs(
    const PoolId& aPool) const;
  [[nodiscard]] const std::set<JobId>& JobsOn(
    const InstanceId& aInstance) const;
  [[nodiscard]] const std::set<InstanceId>& InstancesOf(
    const PoolId& aPool) const;
  [[nodiscard]] const std::set<InstanceId>& UpstreamsOf(
    const ServiceId& aService) const;
  // Number of serving instances in a pool, as compared with min_available.
  [[nodiscard]] std::uint32_t AvailableIn(const PoolId& aPool) const;
  // Permits granted to or withheld for all entry instances, plus the slots of
  // live tasks.
  [[nodiscard]] std::uint32_t CommittedSlots(const TeamId& aTeam) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::state

#endif
