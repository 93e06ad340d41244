// Chooses random commands. Fields that must match the state, such as epochs,
// phases and versions, are usually taken from it.
#include "RandomCommands.h"

#include "Fleet.h"

#include <array>

namespace hyssoppaddle::test {

using namespace state;

namespace {

constexpr std::uint64_t kJobNameCount = 60;

} // namespace

RandomCommands::RandomCommands(std::uint64_t aSeed, const FleetState& aState)
  : random(aSeed)
  , state(aState)
{
}

Command
RandomCommands::Next()
{
  this->now += Duration(this->random.Below(2000000));
  if (this->random.Below(200) == 0) {
    this->now += 6 * 3600 * kSecond;
  }
  if (!this->sent.empty() && this->random.Below(20) == 0) {
    Command again = this->sent[this->random.Below(this->sent.size())];
    again.at = this->now;
    return again;
  }
  Command command;
  command.at = this->now;
  command.body = this->MakeBody();
  if (this->random.Below(3) == 0) {
    command.requestId = this->Pick("request", 40);
    command.actor = this->Pick("actor", 2);
  }
  this->sent.push_back(command);
  return command;
}

CommandBody
RandomCommands::MakeBody()
{
  using Choice = CommandBody (RandomCommands::*)();
  static constexpr std::array<Choice, 16> kChoices{
    &RandomCommands::MakeMemberCommand,   &RandomCommands::MakeBundleCommand,
    &RandomCommands::MakeBundleCommand,   &RandomCommands::MakeKeyCommand,
    &RandomCommands::MakeClaimCommand,    &RandomCommands::MakeClaimCommand,
    &RandomCommands::MakeJobCommand,      &RandomCommands::MakeTaskCommand,
    &RandomCommands::MakeTaskCommand,     &RandomCommands::MakeTaskCommand,
    &RandomCommands::MakeUpstreamCommand, &RandomCommands::MakeUpstreamCommand,
    &RandomCommands::MakeInstanceCommand, &RandomCommands::MakeInstanceCommand,
    &RandomCommands::MakePermitCommand,   &RandomCommands::MakePermitCommand,
  };
  return (this->*kChoices[this->random.Below(kChoices.size())])();
}

CommandBody
RandomCommands::MakeMemberCommand()
{
  const MemberId member(this->Pick("m", 4));
  const MemberId other(this->Pick("m", 4));
  switch (this->random.Below(6)) {
    case 0:
      return ProposeMember{ member };
    case 1:
    case 2:
      return ApproveMember{ member, other };
    case 3:
    case 4:
      for (const auto& [joining, join] : this->state.Joins()) {
        if (!join.approvals.empty()) {
          return WithdrawApproval{ joining, *join.approvals.begin() };
        }
      }
      return WithdrawApproval{ member, other };
    default:
      return LeaveMember{ member };
  }
}

CommandBody
RandomCommands::MakeBundleCommand()
{
  const std::uint64_t active = this->state.ActiveBundle().version;
  const std::uint64_t version = active + 1 - this->random.Below(2);
  const std::string digest = this->Pick("digest", 2);
  if (this->random.Below(3) > 0) {
    return ApproveBundle{ active + 1, digest, MemberId(this->Pick("m", 4)) };
  }
  Bundle bundle = MakeBundle(version == 0 ? 1 : version);
  for (TeamSpec& team : bundle.teams) {
    team.limit = static_cast<std::uint32_t>(2 + this->random.Below(10));
  }
  // Bundles add instances, remove them or list them in another pool.
  if (this->random.Below(2) == 0) {
    bundle.pools[this->random.Below(2)].instances.pop_back();
  }
  if (this->random.Below(3) == 0) {
    auto& from = bundle.pools[0].instances;
    bundle.pools[1].instances.push_back(from.back());
    from.pop_back();
  }
  if (this->random.Below(6) == 0) {
    bundle.services.erase(bundle.services.begin());
  }
  return ProposeBundle{ "{}", digest, "op", bundle };
}

CommandBody
RandomCommands::MakeKeyCommand()
{
  const KeyId key(this->Pick("key", 6));
  if (this->random.Below(2) == 0) {
    return WithdrawKey{ key, kSecond * this->random.Below(100) };
  }
  return GrantKey{ key, KeyRole::Team, "red", std::string(32, 'd') };
}

CommandBody
RandomCommands::MakeClaimCommand()
{
  const std::string key = this->Pick("idem", 12);
  if (this->random.Below(2) == 0) {
    const Duration age =
      this->random.Below(20) == 0 ? 90000 * kSecond : kSecond;
    return ClaimRequest{
      this->PickTeam(), key, "digest", InstanceId("e1"), this->now - age
    };
  }
  return FinishClaim{ this->PickTeam(),
                      key,
                      this->PickEnum(ClaimState::Unknown),
                      200,
                      static_cast<std::uint32_t>(1 + this->random.Below(3)) };
}

CommandBody
RandomCommands::MakeJobCommand()
{
  if (this->random.Below(6) == 0) {
    return CancelJobs{ this->PickTeam(),
                       { JobId(this->Pick("job", kJobNameCount)),
                         JobId(this->Pick("job", kJobNameCount)) } };
  }
  SubmitJob job;
  job.job = JobId(this->Pick("job", kJobNameCount));
  job.team = this->PickTeam();
  job.service = ServiceId(this->random.Below(2) == 0 ? "on-p" : "on-q");
  job.slots = static_cast<std::uint32_t>(this->random.Below(5));
  job.idempotent = this->random.Below(2) == 0;
  job.size.milliCpus = static_cast<std::int64_t>(this->random.Below(5000));
  return job;
}

CommandBody
RandomCommands::MakeTaskCommand()
{
  if (this->random.Below(2) == 0) {
    return this->MakePlaceCommand();
  }
  const InstanceId instance = this->PickInstance();
  const std::set<JobId>& placed = this->state.JobsOn(instance);
  const JobId job =
    placed.empty() ? JobId(this->Pick("job", kJobNameCount)) : *placed.begin();
  const auto found = this->state.Jobs().find(job);
  const std::uint64_t epoch =
    found == this->state.Jobs().end() ? 1 : found->second.epoch;
  switch (this->random.Below(7)) {
    case 0:
      return StopTask{ job, epoch, this->PickEnum(StopMode::Stop), "why" };
    case 1:
    case 2:
      return EndTask{ job, epoch, TaskState::Unknown, "silent" };
    case 3:
      return EndJob{ JobId(this->Pick("job", kJobNameCount)),
                     epoch % 2 == 0,
                     "why" };
    default:
      return ReportTasks{ instance,
                          this->Pick("boot", 2),
                          { { job,
                              epoch - this->random.Below(8) / 7,
                              this->PickEnum(TaskState::Unknown),
                              {},
                              "" } } };
  }
}

CommandBody
RandomCommands::MakePlaceCommand()
{
  PlaceTask place;
  place.instance = this->PickInstance();
  place.job = JobId(this->Pick("job", kJobNameCount));
  place.lease = 30 * kSecond;
  const PoolId pool(place.instance.value.substr(0, 1));
  const auto& waiting = this->state.WaitingJobs(pool);
  if (!waiting.empty()) {
    place.job = waiting.begin()->second;
  }
  const auto found = this->state.Jobs().find(place.job);
  const std::uint64_t last =
    found == this->state.Jobs().end() ? 0 : found->second.epoch;
  place.epoch = last + 1 - this->random.Below(8) / 7;
  return place;
}

CommandBody
RandomCommands::MakeUpstreamCommand()
{
  const InstanceId instance = this->PickInstance();
  if (this->random.Below(6) == 0) {
    const auto known = this->state.Upstreams().find(instance);
    return MarkUpstreamSilent{ instance,
                               known == this->state.Upstreams().end()
                                 ? "boot1"
                                 : known->second.announcement.boot,
                               this->random.Below(60) };
  }
  Announcement announcement;
  announcement.instance = instance;
  announcement.bootedAtMs = static_cast<std::int64_t>(
    (this->now.time_since_epoch().count() / 600000000));
  announcement.boot = this->Pick("boot", 2);
  announcement.sequence = this->random.Below(60);
  announcement.service = ServiceId("on-" + instance.value.substr(0, 1));
  announcement.state = this->random.Below(5) == 0 ? UpstreamState::Departing
                                                  : UpstreamState::Serving;
  return UpdateUpstream{ announcement };
}

CommandBody
RandomCommands::MakeInstanceCommand()
{
  const InstanceId instance = this->PickInstance();
  const auto found = this->state.Instances().find(instance);
  const InstanceRecord record =
    found == this->state.Instances().end() ? InstanceRecord() : found->second;
  const PoolId to(std::string(1, "pqs"[this->random.Below(3)]));
  switch (this->random.Below(6)) {
    case 0:
      return MoveInstance{ instance, record.pool, to };
    case 1:
      return RequestInstanceAction{ instance,
                                    this->PickEnum(InstanceAction::Move),
                                    to };
    default:
      return SetInstancePhase{ instance,
                               record.phase,
                               this->PickEnum(InstancePhase::Lost),
                               this->PickEnum(StopPurpose::Repair),
                               "why" };
  }
}

CommandBody
RandomCommands::MakePermitCommand()
{
  const InstanceId entry(this->Pick("e", 3));
  const auto found = this->state.Entries().find(entry);
  const EntryRecord record =
    found == this->state.Entries().end() ? EntryRecord() : found->second;
  const std::string boot =
    this->random.Below(10) == 0 ? this->Pick("boot", 12) : record.boot;
  const auto count = static_cast<std::uint32_t>(this->random.Below(6));
  switch (this->random.Below(10)) {
    case 0:
      return RegisterEntry{ entry, this->Pick("boot", 12) };
    case 1:
      return ReclaimPermits{ entry, boot };
    case 2:
    case 3:
    case 4:
      return ReturnPermits{ entry,
                            boot,
                            this->PickTeam(),
                            count,
                            record.lastReturnSequence + this->random.Below(3) };
    default:
      return GrantPermits{ entry, boot, this->PickTeam(), count };
  }
}

std::string
RandomCommands::Pick(const char* aPrefix, std::uint64_t aCount)
{
  return aPrefix + std::to_string(1 + this->random.Below(aCount));
}

InstanceId
RandomCommands::PickInstance()
{
  static constexpr std::array<const char*, 8> kNames{ "p1", "p2", "p3", "q1",
                                                      "q2", "q3", "s1", "x1" };
  return InstanceId(kNames[this->random.Below(kNames.size())]);
}

TeamId
RandomCommands::PickTeam()
{
  return TeamId(this->random.Below(2) == 0 ? "red" : "blue");
}

} // namespace hyssoppaddle::test
