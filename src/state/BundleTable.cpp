// Proposal, approval and activation of bundles. Each accepted bundle has the
// version of the previous one plus 1, and an accepted version is never
// replaced.
#include "state/BundleTable.h"

#include "state/BundleCheck.h"

#include <algorithm>
#include <string>

namespace hyssoppaddle::state {

BundleTable::BundleTable()
  : active(std::make_shared<const Bundle>())
{
}

Outcome
BundleTable::Propose(const ProposeBundle& aCommand, Context& aContext)
{
  const std::uint64_t version = aCommand.bundle.version;
  const auto known = this->records.find(version);
  if (known != this->records.end()) {
    if (known->second.digest == aCommand.digest) {
      return AcceptRepeated("bundle " + std::to_string(version) +
                            " was already proposed");
    }
    return Refuse(ErrorCode::Conflict,
                  "bundle " + std::to_string(version) +
                    " has other content: digest " + known->second.digest +
                    ", proposed by " + known->second.proposer);
  }
  if (Outcome outcome = this->CheckVersion(aCommand); !outcome.Ok()) {
    return outcome;
  }
  if (const std::string problem = ProblemOf(aCommand.bundle);
      !problem.empty()) {
    return Refuse(ErrorCode::InvalidArgument, problem);
  }
  BundleRecord record;
  record.content = aCommand.content;
  record.digest = aCommand.digest;
  record.proposer = aCommand.proposer;
  record.proposedAt = aContext.now;
  record.bundle = std::make_shared<const Bundle>(aCommand.bundle);
  this->records.emplace(version, std::move(record));
  aContext.changes.bundle = true;
  return Accept("bundle " + std::to_string(version) +
                " awaits the approval of every member");
}

Outcome
BundleTable::CheckVersion(const ProposeBundle& aCommand) const
{
  const Bundle& bundle = aCommand.bundle;
  const std::string accepted = std::to_string(this->active->version);
  if (bundle.base != this->active->version) {
    return Refuse(ErrorCode::Conflict,
                  "the base is " + std::to_string(bundle.base) +
                    ", but the accepted version is " + accepted);
  }
  if (bundle.version != bundle.base + 1) {
    return Refuse(ErrorCode::Conflict,
                  "the version must be the accepted version " + accepted +
                    " plus 1");
  }
  return Accept();
}

Outcome
BundleTable::Approve(const ApproveBundle& aCommand,
                     const MemberTable& aMembers,
                     Context& aContext)
{
  if (!aMembers.IsMember(aCommand.member)) {
    return Refuse(ErrorCode::Forbidden,
                  aCommand.member.value + " is not a member");
  }
  const auto found = this->records.find(aCommand.version);
  if (found == this->records.end()) {
    return Refuse(ErrorCode::NotFound,
                  "no bundle " + std::to_string(aCommand.version) +
                    " is known");
  }
  BundleRecord& record = found->second;
  if (record.digest != aCommand.digest) {
    return Refuse(ErrorCode::Conflict,
                  "bundle " + std::to_string(aCommand.version) +
                    " has digest " + record.digest);
  }
  if (record.acceptedAt.has_value()) {
    return AcceptRepeated("the bundle is already accepted");
  }
  if (!record.approvals.insert(aCommand.member).second) {
    return AcceptRepeated("this approval was already given");
  }
  aContext.changes.bundle = true;
  return Accept("approval recorded");
}

void
BundleTable::RemoveApprovals(const MemberId& aMember)
{
  for (auto& [version, record] : this->records) {
    if (!record.acceptedAt.has_value()) {
      record.approvals.erase(aMember);
    }
  }
}

bool
BundleTable::AcceptIfComplete(const MemberTable& aMembers, Context& aContext)
{
  const auto next = this->records.find(this->active->version + 1);
  if (next == this->records.end() ||
      !aMembers.AllApproved(next->second.approvals)) {
    return false;
  }
  next->second.acceptedAt = aContext.now;
  this->Activate(next->second.bundle);
  this->DropOldRecords();
  this->TrimSuperseded();
  aContext.changes.bundle = true;
  return true;
}

const TeamSpec*
BundleTable::FindTeam(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() ? nullptr : found->second;
}

const ServiceSpec*
BundleTable::FindService(const ServiceId& aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : found->second;
}

const PoolSpec*
BundleTable::FindPool(const PoolId& aPool) const
{
  const auto found = this->pools.find(aPool);
  return found == this->pools.end() ? nullptr : found->second;
}

std::uint32_t
BundleTable::LimitOf(const TeamId& aTeam) const
{
  const TeamSpec* team = this->FindTeam(aTeam);
  return team == nullptr ? 0 : team->limit;
}

bool
BundleTable::FitsPool(const Resources& aSize, const PoolId& aPool) const
{
  const auto found = this->capacities.find(aPool);
  return found != this->capacities.end() &&
         std::ranges::any_of(found->second, [&](const Resources& aCapacity) {
           return aSize.FitsInto(aCapacity);
         });
}

void
BundleTable::Load(std::map<std::uint64_t, BundleRecord> aRecords)
{
  this->records = std::move(aRecords);
  std::shared_ptr<const Bundle> newest = std::make_shared<const Bundle>();
  for (const auto& [version, record] : this->records) {
    if (record.acceptedAt.has_value()) {
      newest = record.bundle;
    }
  }
  this->Activate(std::move(newest));
}

void
BundleTable::Activate(std::shared_ptr<const Bundle> aBundle)
{
  this->active = std::move(aBundle);
  this->teams.clear();
  this->services.clear();
  this->pools.clear();
  this->capacities.clear();
  this->IndexActive();
}

void
BundleTable::IndexActive()
{
  for (const TeamSpec& team : this->active->teams) {
    this->teams.emplace(team.name, &team);
  }
  for (const ServiceSpec& service : this->active->services) {
    this->services.emplace(service.name, &service);
  }
  for (const PoolSpec& pool : this->active->pools) {
    this->pools.emplace(pool.name, &pool);
    std::vector<Resources>& known = this->capacities[pool.name];
    for (const InstanceSpec& instance : pool.instances) {
      if (std::ranges::find(known, instance.capacity) == known.end()) {
        known.push_back(instance.capacity);
      }
    }
  }
}

void
BundleTable::DropOldRecords()
{
  while (this->records.size() > kMaxKeptBundles) {
    this->records.erase(this->records.begin());
  }
}

void
BundleTable::TrimSuperseded()
{
  std::size_t kept = 0;
  for (auto entry = this->records.rbegin(); entry != this->records.rend();
       ++entry) {
    auto& [version, record] = *entry;
    if (version >= this->active->version) {
      continue;
    }
    kept += record.content.size();
    if (kept > kMaxSupersededBytes) {
      auto stub = std::make_shared<Bundle>();
      stub->version = version;
      stub->base = record.bundle->base;
      record.bundle = std::move(stub);
      record.content = std::string();
    }
  }
}

} // namespace hyssoppaddle::state
