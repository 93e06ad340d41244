// A small fleet for tests of the replicated state: helpers that apply commands,
// and a bundle with two pools of three instances and a spare pool of one.
#ifndef hyssoppaddle_test_state_Fleet_h
#define hyssoppaddle_test_state_Fleet_h

#include "state/FleetState.h"
#include "support/TestTrace.h"

#include <string>
#include <utility>

namespace hyssoppaddle::test {

inline constexpr Duration kSecond{ std::chrono::seconds(1) };

// Team "red" has a limit of 10 slots, "blue" of 6. The min_available of pool
// "p" is 2, of "q" 1.
inline state::Bundle
MakeBundle(std::uint64_t aVersion)
{
  state::Bundle bundle;
  bundle.version = aVersion;
  bundle.base = aVersion - 1;
  bundle.dataCentres = { { DataCentreId("dc"), "region" } };
  bundle.workspaces = { { WorkspaceId("w"), MemberId("m1") } };
  const auto pool = [](const std::string& aName, int aCount, bool aSpare) {
    state::PoolSpec spec;
    spec.name = PoolId(aName);
    spec.spare = aSpare;
    for (int i = 1; i <= aCount; ++i) {
      spec.instances.push_back({ InstanceId(aName + std::to_string(i)),
                                 DataCentreId("dc"),
                                 RackId("r"),
                                 { 4000, 8192, 0 } });
    }
    return spec;
  };
  bundle.pools = { pool("p", 3, false),
                   pool("q", 3, false),
                   pool("s", 1, true) };
  bundle.pools[0].minAvailable = 2;
  bundle.pools[1].minAvailable = 1;
  bundle.teams = { { TeamId("red"), WorkspaceId("w"), 2, 10 },
                   { TeamId("blue"), WorkspaceId("w"), 1, 6 } };
  for (const char* name : { "p", "q", "s" }) {
    state::ServiceSpec service;
    service.name = ServiceId(std::string("on-") + name);
    service.pool = PoolId(name);
    service.workspace = WorkspaceId("w");
    bundle.services.push_back(service);
  }
  return bundle;
}

// Returns the error code of a refusal, or nullopt if the command was accepted.
inline std::optional<ErrorCode>
CodeOf(const state::Outcome& aOutcome)
{
  return aOutcome.Ok() ? std::nullopt : std::optional(aOutcome.error->code);
}

// Returns true if the command was refused with a message that contains aPart.
inline bool
IsRefusedWith(const state::Outcome& aOutcome, std::string_view aPart)
{
  return !aOutcome.Ok() &&
         aOutcome.error->message.find(aPart) != std::string::npos;
}

class Fleet
{
public:
  state::Outcome Apply(state::CommandBody aBody, std::string aRequestId = {})
  {
    state::Command command;
    command.at = this->now;
    command.requestId = std::move(aRequestId);
    command.body = std::move(aBody);
    this->changes = {};
    return this->state.Apply(command, &this->changes);
  }

  bool Ok(state::CommandBody aBody)
  {
    return this->Apply(std::move(aBody)).Ok();
  }

  void AdvanceTime(Duration aTime) { this->now += aTime; }

  // Proposes aBundle and approves it as the only member, m1.
  void Accept(const state::Bundle& aBundle)
  {
    const std::string digest = "digest-" + std::to_string(aBundle.version);
    this->Apply(state::ProposeMember{ MemberId("m1") });
    this->Apply(state::ProposeBundle{ "{}", digest, "op", aBundle });
    this->Apply(
      state::ApproveBundle{ aBundle.version, digest, MemberId("m1") });
  }

  state::Outcome Announce(
    const std::string& aInstance,
    std::uint64_t aSequence,
    const std::string& aBoot = "boot1",
    state::UpstreamState aState = state::UpstreamState::Serving,
    std::int64_t aBootedAt = 1)
  {
    state::Announcement announcement;
    announcement.instance = InstanceId(aInstance);
    announcement.bootedAtMs = aBootedAt;
    announcement.boot = aBoot;
    announcement.sequence = aSequence;
    announcement.service = ServiceId("on-" + aInstance.substr(0, 1));
    announcement.slots = 8;
    announcement.state = aState;
    return this->Apply(state::UpdateUpstream{ announcement });
  }

  // Activates the bundle and lets every instance announce itself as serving.
  void Start()
  {
    this->Accept(MakeBundle(1));
    for (const char* name : { "p1", "p2", "p3", "q1", "q2", "q3", "s1" }) {
      this->Announce(name, 1);
    }
  }

  state::Outcome SetPhase(const std::string& aInstance,
                          state::InstancePhase aFrom,
                          state::InstancePhase aTo)
  {
    return this->Apply(state::SetInstancePhase{ InstanceId(aInstance),
                                                aFrom,
                                                aTo,
                                                state::StopPurpose::Maintenance,
                                                "test" });
  }

  state::Outcome Submit(const std::string& aJob,
                        std::uint32_t aSlots,
                        bool aIdempotent)
  {
    state::SubmitJob job;
    job.job = JobId(aJob);
    job.team = TeamId("red");
    job.service = ServiceId("on-p");
    job.size = { 1000, 100, 0 };
    job.slots = aSlots;
    job.idempotent = aIdempotent;
    return this->Apply(job);
  }

  state::Outcome Place(const std::string& aJob,
                       const std::string& aInstance,
                       std::uint64_t aEpoch)
  {
    return this->Apply(state::PlaceTask{
      JobId(aJob), InstanceId(aInstance), aEpoch, 30 * kSecond, {} });
  }

  state::Outcome Report(const std::string& aJob,
                        const std::string& aInstance,
                        std::uint64_t aEpoch,
                        state::TaskState aState,
                        const std::string& aBoot = "boot1")
  {
    return this->Apply(state::ReportTasks{
      InstanceId(aInstance),
      aBoot,
      { { JobId(aJob), aEpoch, aState, {}, "reported" } } });
  }

  [[nodiscard]] state::InstancePhase PhaseOf(const std::string& aName) const
  {
    return this->state.Instances().at(InstanceId(aName)).phase;
  }

  [[nodiscard]] const state::JobRecord& Job(const std::string& aName) const
  {
    return this->state.Jobs().at(JobId(aName));
  }

  state::FleetState state;
  state::Changes changes; // changes by the last command
  WallTime now{ Duration(1000000000000) };
};

} // namespace hyssoppaddle::test

#endif
