// The replicated state machine: every durable fact of the system. It validates
// and records decisions; it makes none. Equal sequences of commands give equal
// states on every replica.
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

// What a command changed, so that readers update their views without a scan.
struct Changes
{
  bool bundle = false;
  bool members = false;
  bool keys = false;
  bool waves = false;
  std::vector<InstanceId> upstreams;
  std::vector<InstanceId> instances;
  std::vector<JobId> jobs;
  std::vector<InstanceId> entries; // whose permits changed
};

class FleetState
{
public:
  FleetState();
  ~FleetState();
  FleetState(FleetState&&) noexcept;
  FleetState& operator=(FleetState&&) noexcept;

  // Applies one command. aChanges receives what changed and may be null. Time
  // never goes back: a command with an earlier stamp is applied at Now().
  Outcome Apply(const Command& aCommand, Changes* aChanges = nullptr);

  // Bytes of the whole state (msgpack), and its inverse. Restore replaces this
  // state or, on Corrupt or Malformed, leaves it unchanged.
  [[nodiscard]] std::string Snapshot() const;
  Result<void> Restore(std::string_view aBytes);

  // Latest stamp applied.
  [[nodiscard]] WallTime Now() const;

  // The accepted bundle; an empty bundle of version 0 before the first.
  [[nodiscard]] const Bundle& ActiveBundle() const;
  [[nodiscard]] const TeamSpec* FindTeam(const TeamId& aTeam) const;
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& aService) const;
  [[nodiscard]] const PoolSpec* FindPool(const PoolId& aPool) const;

  [[nodiscard]] const std::map<MemberId, MemberRecord>& Members() const;
  [[nodiscard]] const std::map<MemberId, JoinRecord>& Joins() const;
  // Accepted bundles (the last 16) and pending proposals by version.
  [[nodiscard]] const std::map<std::uint64_t, BundleRecord>& Bundles() const;
  [[nodiscard]] const std::map<KeyId, KeyRecord>& Keys() const;
  [[nodiscard]] const std::map<ClaimKey, ClaimRecord>& Claims() const;
  [[nodiscard]] const std::map<JobId, JobRecord>& Jobs() const;
  [[nodiscard]] const std::map<InstanceId, UpstreamRecord>& Upstreams() const;
  [[nodiscard]] const std::map<InstanceId, InstanceRecord>& Instances() const;
  [[nodiscard]] const std::map<WaveId, WaveRecord>& Waves() const;
  [[nodiscard]] const std::map<InstanceId, EntryRecord>& Entries() const;

  // Indexes kept on every change, so that no reader scans.
  // Waiting jobs of a pool, oldest first.
  [[nodiscard]] const std::set<std::pair<WallTime, JobId>>& WaitingJobs(
    const PoolId& aPool) const;
  [[nodiscard]] const std::set<JobId>& JobsOn(
    const InstanceId& aInstance) const;
  [[nodiscard]] const std::set<InstanceId>& InstancesOf(
    const PoolId& aPool) const;
  [[nodiscard]] const std::set<InstanceId>& UpstreamsOf(
    const ServiceId& aService) const;
  // Serving instances of a pool, the number the budget compares.
  [[nodiscard]] std::uint32_t AvailableIn(const PoolId& aPool) const;
  // Permits granted or withheld over all entries plus slots of live tasks.
  [[nodiscard]] std::uint32_t CommittedSlots(const TeamId& aTeam) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::state

#endif
