// Commands and events of the fleet fixture.
#include "request/Fleet.h"

namespace hyssoppaddle::test {

Fleet::Fleet(FleetOptions aOptions)
  : options(aOptions)
  , reducer(ReducerOptions(aOptions.seed), this->state)
{
  this->Apply(state::ProposeMember{ MemberId("coop") });
  this->AcceptBundle(this->BundleOf(1));
  this->Apply(state::RegisterEntry{ InstanceId("entry-1"), "boot-1" });
  for (const char* team : { "team-a", "team-b", "team-c" }) {
    this->Apply(state::GrantKey{ KeyId(std::string("key-") + team),
                                 state::KeyRole::Team,
                                 team,
                                 DigestOf(team) });
    if (aOptions.permits > 0) {
      this->Grant(team, aOptions.permits);
    }
  }
  for (std::uint32_t number = 0; number < aOptions.upstreams; ++number) {
    this->Serve(number);
  }
  this->AdvanceTime(Seconds(30)); // until after the slow start
  this->Renew();
  this->viewEffects.clear();
}

state::Bundle
Fleet::BundleOf(std::uint64_t aVersion) const
{
  state::Bundle bundle;
  bundle.version = aVersion;
  bundle.base = aVersion - 1;
  bundle.workspaces = { { WorkspaceId("yards"), MemberId("coop") } };
  state::PoolSpec pool;
  pool.name = PoolId("main");
  for (std::uint32_t number = 0; number < this->options.upstreams + 2;
       ++number) {
    pool.instances.push_back({ InstanceId("u" + std::to_string(number)),
                               DataCentreId("dc-" + std::to_string(number % 3)),
                               RackId("r" + std::to_string(number / 4)),
                               {} });
  }
  bundle.pools = { pool };
  for (const char* team : { "team-a", "team-b", "team-c" }) {
    bundle.teams.push_back({ TeamId(team),
                             WorkspaceId("yards"),
                             std::string(team) == "team-b" ? 2U : 1U,
                             this->options.limit });
  }
  const auto service = [&](const char* aName, state::WorkClass aClass) {
    state::ServiceSpec spec;
    spec.name = ServiceId(aName);
    spec.pool = PoolId("main");
    spec.workspace = WorkspaceId("yards");
    spec.workClass = aClass;
    spec.queueLimit = this->options.queueLimit;
    bundle.services.push_back(spec);
  };
  service("quotes", state::WorkClass::Preview);
  service("ledger", state::WorkClass::Print);
  service("board", state::WorkClass::Print);
  bundle.services.back().open = true;
  bundle.services.back().openTeam = TeamId("team-c");
  return bundle;
}

void
Fleet::AcceptBundle(const state::Bundle& aBundle)
{
  const std::string digest = "digest-" + std::to_string(aBundle.version);
  this->Apply(state::ProposeBundle{ "{}", digest, "operator", aBundle });
  this->Apply(
    state::ApproveBundle{ aBundle.version, digest, MemberId("coop") });
}

state::Outcome
Fleet::Apply(state::CommandBody aBody)
{
  state::Changes changes;
  state::Command command;
  command.at = this->wall;
  command.body = std::move(aBody);
  const state::Outcome outcome = this->state.Apply(command, &changes);
  const Effects effects = this->Step(ViewChanged{ changes });
  this->viewEffects.insert(
    this->viewEffects.end(), effects.begin(), effects.end());
  return outcome;
}

Effects
Fleet::Step(Event aEvent)
{
  return this->reducer.Step(aEvent, this->now, this->wall);
}

void
Fleet::AdvanceTime(Duration aTime)
{
  this->now += aTime;
  this->wall += aTime;
}

Effects
Fleet::AdvanceWithTicks(Duration aTime, Duration aStep)
{
  Effects all;
  for (Duration passed{ 0 }; passed < aTime; passed += aStep) {
    this->AdvanceTime(aStep);
    Effects effects = this->Step(Tick{});
    all.insert(all.end(), effects.begin(), effects.end());
    if (this->connected) {
      effects = this->Renew();
      all.insert(all.end(), effects.begin(), effects.end());
    }
  }
  return all;
}

Effects
Fleet::Renew(std::vector<std::pair<TeamId, std::uint32_t>> aRecalls)
{
  return this->Step(LeasesRenewed{ this->now, std::move(aRecalls) });
}

state::Announcement
Fleet::Announcement(std::uint32_t aNumber, const std::string& aService)
{
  state::Announcement announcement;
  announcement.instance = InstanceId("u" + std::to_string(aNumber));
  announcement.bootedAtMs = 1000;
  announcement.boot = "up-1";
  announcement.sequence = this->nextSequence++;
  announcement.service = ServiceId(aService);
  announcement.pool = PoolId("main");
  announcement.dataCentre = DataCentreId("dc-" + std::to_string(aNumber % 3));
  announcement.rack = RackId("r" + std::to_string(aNumber / 4));
  announcement.address = "127.0.0.2:" + std::to_string(9000 + aNumber);
  announcement.slots = this->options.slots;
  announcement.connections = 64;
  return announcement;
}

Effects
Fleet::Announce(const state::Announcement& aAnnouncement)
{
  return this->Step(UpstreamAnnounced{ aAnnouncement });
}

void
Fleet::Serve(std::uint32_t aNumber, const std::string& aService)
{
  this->Apply(state::UpdateUpstream{ this->Announcement(aNumber, aService) });
}

RequestArrived
Fleet::Request(const std::string& aTeam, const std::string& aService)
{
  RequestArrived request;
  request.request = this->nextRequest++;
  request.service = ServiceId(aService);
  request.key = KeyId("key-" + aTeam);
  request.keyDigest = DigestOf(aTeam);
  request.deadline = Seconds(10);
  return request;
}

RequestArrived
Fleet::NonIdempotentRequest(const std::string& aTeam, const std::string& aKey)
{
  RequestArrived request = this->Request(aTeam);
  request.idempotent = false;
  request.idempotencyKey = aKey;
  request.requestDigest = "digest of " + aKey;
  request.createdAt = this->wall;
  return request;
}

Effects
Fleet::Decide(const ClaimNeeded& aClaim)
{
  const state::Outcome outcome = this->Apply(aClaim.claim);
  return this->Step(ClaimDecided{ aClaim.request, true, false, outcome });
}

Effects
Fleet::Finish(const StartAttempt& aStart,
              Duration aLatency,
              std::uint32_t aStatus)
{
  return this->Step(
    AttemptFinished{ aStart.request, aStart.attempt, aStatus, aLatency });
}

Effects
Fleet::Fail(const StartAttempt& aStart, AttemptPhase aPhase)
{
  return this->Step(
    AttemptFailed{ aStart.request, aStart.attempt, aPhase, "reset" });
}

void
Fleet::Grant(const std::string& aTeam, std::uint32_t aCount)
{
  this->Apply(state::GrantPermits{
    InstanceId("entry-1"), "boot-1", TeamId(aTeam), aCount });
}

} // namespace hyssoppaddle::test
