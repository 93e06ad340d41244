// Advances the time, expires records, answers repeated requests and dispatches
// commands. All other logic is in the tables.
#include "state/FleetState.h"

#include "state/CommandHandler.h"
#include "state/Tables.h"
#include "wire/Codec.h"
#include "wire/SnapshotCodec.h"

#include <sodium.h>

#include <algorithm>
#include <array>
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

// 16 bytes are enough to distinguish the request bodies of one actor.
constexpr std::size_t kBodyDigestBytes = 16;

std::string
DigestOf(const CommandBody& aBody)
{
  const std::string bytes = wire::EncodeCommandBody(aBody);
  std::array<unsigned char, kBodyDigestBytes> digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(bytes.data()),
                     bytes.size(),
                     nullptr,
                     0);
  return { digest.begin(), digest.end() };
}

// Outcomes of claims are not cached. The first outcome of a claim is "granted",
// and returning it again would grant the claim twice. Claims detect repeats by
// their idempotency key.
bool
UsesOutcomeCache(const Command& aCommand)
{
  return !aCommand.requestId.empty() &&
         !std::holds_alternative<ClaimRequest>(aCommand.body) &&
         !std::holds_alternative<FinishClaim>(aCommand.body);
}

void
Expire(Tables& aTables, Context& aContext)
{
  aTables.outcomes.Expire(aContext.now);
  aTables.claims.Expire(aContext.now);
  aTables.keys.Expire(aContext.now);
  aTables.jobs.Expire(aContext.now);
  aTables.permits.Expire(aContext);
}

Outcome
ApplyBody(const Command& aCommand, Tables& aTables, Context& aContext)
{
  return std::visit(CommandHandler(aTables, aContext), aCommand.body);
}

Outcome
ApplyOnce(const Command& aCommand, Tables& aTables, Context& aContext)
{
  if (aCommand.requestId.size() > kMaxRequestIdBytes) {
    return Refuse(ErrorCode::InvalidArgument,
                  "a request ID has at most 256 bytes");
  }
  CachedOutcome entry;
  entry.key = RequestKey{ aCommand.actor, aCommand.requestId };
  entry.bodyDigest = DigestOf(aCommand.body);
  if (auto first = aTables.outcomes.Find(entry.key, entry.bodyDigest)) {
    return *std::move(first);
  }
  Outcome outcome = ApplyBody(aCommand, aTables, aContext);
  // A command refused as Unavailable, because a table is full, was not applied.
  // Its outcome is not stored, so that the same request can be retried.
  if (outcome.Ok() || outcome.error->code != ErrorCode::Unavailable) {
    entry.at = aContext.now;
    entry.outcome = outcome;
    aTables.outcomes.Store(std::move(entry));
  }
  return outcome;
}

} // namespace

Outcome
FleetState::Apply(const Command& aCommand, Changes* aChanges)
{
  Tables& tables = this->impl->tables;
  tables.now = std::max(tables.now, aCommand.at);
  Changes discarded;
  Context context{ tables.now, aChanges == nullptr ? discarded : *aChanges };
  Expire(tables, context);
  return UsesOutcomeCache(aCommand) ? ApplyOnce(aCommand, tables, context)
                                    : ApplyBody(aCommand, tables, context);
}

std::string
FleetState::Snapshot() const
{
  return wire::EncodeSnapshot(this->impl->tables);
}

Result<void>
FleetState::Restore(std::string_view aBytes)
{
  Result<Tables> restored = wire::DecodeSnapshot(aBytes);
  if (!restored.has_value()) {
    return tl::unexpected(std::move(restored.error()));
  }
  this->impl->tables = std::move(*restored);
  return {};
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
  return this->impl->tables.jobs.PlacedOn(aInstance);
}

const std::set<InstanceId>&
FleetState::InstancesOf(const PoolId& aPool) const
{
  return this->impl->tables.instances.InPool(aPool);
}

const std::set<InstanceId>&
FleetState::UpstreamsOf(const ServiceId& aService) const
{
  return this->impl->tables.upstreams.ForService(aService);
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
