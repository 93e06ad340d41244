// Time, repeated requests and dispatch; everything else is in the tables.
#include "state/FleetState.h"

#include "state/CommandHandler.h"
#include "state/Tables.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace hyssoppaddle::state {

struct FleetState::Impl
{
  Tables tables;
};

FleetState::FleetState()
  : impl(std::make_unique<Impl>())
{
}

FleetState::~FleetState() = default;
FleetState::FleetState(FleetState&&) noexcept = default;
FleetState&
FleetState::operator=(FleetState&&) noexcept = default;

namespace {

void
Expire(Tables& aTables, Context& aContext)
{
  aTables.outcomes.Expire(aContext.now);
  aTables.claims.Expire(aContext.now);
  aTables.keys.Expire(aContext.now);
  aTables.jobs.Expire(aContext.now);
  aTables.permits.Expire(aContext);
}

} // namespace

Outcome
FleetState::Apply(const Command& aCommand, Changes* aChanges)
{
  Tables& tables = this->impl->tables;
  tables.now = std::max(tables.now, aCommand.at);
  Changes unread;
  Context context{ tables.now, aChanges == nullptr ? unread : *aChanges };
  Expire(tables, context);
  return std::visit(CommandHandler(tables, context), aCommand.body);
}

std::string
FleetState::Snapshot() const
{
  return {};
}

Result<void>
FleetState::Restore(std::string_view /*aBytes*/)
{
  return Fail(ErrorCode::Malformed, "snapshots are not implemented yet");
}

WallTime
FleetState::Now() const
{
  return this->impl->tables.now;
}

const Bundle&
FleetState::ActiveBundle() const
{
  return this->impl->tables.bundles.Active();
}

const TeamSpec*
FleetState::FindTeam(const TeamId& aTeam) const
{
  return this->impl->tables.bundles.FindTeam(aTeam);
}

const ServiceSpec*
FleetState::FindService(const ServiceId& aService) const
{
  return this->impl->tables.bundles.FindService(aService);
}

const PoolSpec*
FleetState::FindPool(const PoolId& aPool) const
{
  return this->impl->tables.bundles.FindPool(aPool);
}

const std::map<MemberId, MemberRecord>&
FleetState::Members() const
{
  return this->impl->tables.members.Members();
}

const std::map<MemberId, JoinRecord>&
FleetState::Joins() const
{
  return this->impl->tables.members.Joins();
}

const std::map<std::uint64_t, BundleRecord>&
FleetState::Bundles() const
{
  return this->impl->tables.bundles.Records();
}

const std::map<KeyId, KeyRecord>&
FleetState::Keys() const
{
  return this->impl->tables.keys.Records();
}

const std::map<ClaimKey, ClaimRecord>&
FleetState::Claims() const
{
  return this->impl->tables.claims.Records();
}

const std::map<JobId, JobRecord>&
FleetState::Jobs() const
{
  return this->impl->tables.jobs.Records();
}

const std::map<InstanceId, UpstreamRecord>&
FleetState::Upstreams() const
{
  return this->impl->tables.upstreams.Records();
}

const std::map<InstanceId, InstanceRecord>&
FleetState::Instances() const
{
  return this->impl->tables.instances.Records();
}

const std::map<WaveId, WaveRecord>&
FleetState::Waves() const
{
  return this->impl->tables.waves.Records();
}

const std::map<InstanceId, EntryRecord>&
FleetState::Entries() const
{
  return this->impl->tables.permits.Records();
}

const std::set<std::pair<WallTime, JobId>>&
FleetState::WaitingJobs(const PoolId& aPool) const
{
  return this->impl->tables.jobs.WaitingIn(aPool);
}

const std::set<JobId>&
FleetState::JobsOn(const InstanceId& aInstance) const
{
  return this->impl->tables.jobs.On(aInstance);
}

const std::set<InstanceId>&
FleetState::InstancesOf(const PoolId& aPool) const
{
  return this->impl->tables.instances.Of(aPool);
}

const std::set<InstanceId>&
FleetState::UpstreamsOf(const ServiceId& aService) const
{
  return this->impl->tables.upstreams.Of(aService);
}

std::uint32_t
FleetState::AvailableIn(const PoolId& aPool) const
{
  return this->impl->tables.instances.AvailableIn(aPool);
}

std::uint32_t
FleetState::CommittedSlots(const TeamId& aTeam) const
{
  return this->impl->tables.permits.CommittedTo(aTeam) +
         this->impl->tables.jobs.SlotsOf(aTeam);
}

} // namespace hyssoppaddle::state
