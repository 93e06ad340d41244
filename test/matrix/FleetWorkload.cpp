// Callers, upstreams and the platform of the simulated fleet.
#include "matrix/Fleet.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::test {

namespace {

constexpr Duration kConnectTime = std::chrono::milliseconds(1);
constexpr Duration kServiceTime = std::chrono::milliseconds(200);
constexpr Duration kTaskTime = std::chrono::seconds(3);
constexpr Duration kRebootTime = std::chrono::seconds(2);
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kDetectionBound = std::chrono::milliseconds(5200);

// Replaces the keyed digest of a secret, which has 32 bytes.
std::string
DigestOf(const KeyId& aKey)
{
  std::string digest = aKey.value;
  digest.resize(32, '.');
  return digest;
}

} // namespace

std::optional<std::size_t>
Fleet::UpstreamIndex(const InstanceId& aName) const
{
  for (std::size_t index = 0; index < kUpstreams; ++index) {
    if (this->upstreams[index].name == aName) {
      return index;
    }
  }
  return std::nullopt;
}

void
Fleet::Request(std::size_t aEntry, CallerRequest aRequest)
{
  aRequest.sentAt = this->now;
  const CallerRequest& request = this->observations.NewRequest(aRequest);
  if (!this->IsUp(aEntry)) {
    this->observations.RequestEnded(request.name, false);
    return;
  }
  request::RequestArrived arrived;
  // The remainder is the index of the entry instance; Kill relies on it.
  arrived.request = this->nextRequest++ * kEntries + aEntry;
  arrived.service = ServiceId(request.key ? "s1" : "s2");
  arrived.key = request.key;
  arrived.keyDigest = request.key ? DigestOf(*request.key) : "";
  arrived.idempotent = request.idempotent;
  arrived.idempotencyKey = request.idempotencyKey;
  arrived.requestDigest = "POST /x";
  arrived.createdAt = this->WallNow();
  arrived.deadline = std::chrono::seconds(10);
  this->requestNames[arrived.request] = request.name;
  this->Deliver(
    aEntry, this->entries[aEntry].incarnation, request::Event(arrived));
}

void
Fleet::On(std::size_t aEntry, request::Effect& aEffect)
{
  if (const auto* start = std::get_if<request::StartAttempt>(&aEffect)) {
    this->StartAttempt(aEntry, *start);
  } else if (const auto* drop =
               std::get_if<request::AbandonAttempt>(&aEffect)) {
    this->abandoned.emplace(drop->request, drop->attempt);
  } else if (const auto* refuse = std::get_if<request::Refuse>(&aEffect)) {
    this->observations.RequestRefused(
      this->requestNames.at(refuse->request), refuse->problem, refuse->notRun);
  } else if (const auto* abort = std::get_if<request::AbortCaller>(&aEffect)) {
    this->observations.RequestEnded(this->requestNames.at(abort->request),
                                    false);
  } else {
    ++this->decisionLineCount;
  }
}

void
Fleet::StartAttempt(std::size_t aEntry, const request::StartAttempt& aStart)
{
  Attempt attempt;
  attempt.request = this->requestNames.at(aStart.request);
  attempt.entry = aEntry;
  attempt.incarnation = this->entries[aEntry].incarnation;
  attempt.number = aStart.request;
  attempt.attempt = aStart.attempt;
  attempt.upstream = *this->UpstreamIndex(aStart.upstream);
  attempt.boot = this->upstreams[attempt.upstream].boot;
  const bool isUp = this->upstreams[attempt.upstream].up;
  if (!isUp) {
    this->Schedule(kConnectTimeout, [this, attempt] {
      this->Deliver(attempt.entry,
                    attempt.incarnation,
                    request::Event(
                      request::AttemptFailed{ attempt.number,
                                              attempt.attempt,
                                              request::AttemptPhase::Connecting,
                                              "connection refused" }));
    });
    return;
  }
  this->Schedule(kConnectTime, [this, attempt] {
    if (this->abandoned.contains({ attempt.number, attempt.attempt })) {
      return;
    }
    // As in the shell, the reducer is informed before the request is written.
    this->Deliver(
      attempt.entry,
      attempt.incarnation,
      request::Event(request::AttemptAdvanced{
        attempt.number, attempt.attempt, request::AttemptPhase::Sending }));
    if (this->entries[attempt.entry].incarnation == attempt.incarnation &&
        !this->entries[attempt.entry].paused) {
      this->Schedule(kConnectTime, [this, attempt] { this->Execute(attempt); });
    }
  });
}

void
Fleet::Execute(const Attempt& aAttempt)
{
  UpstreamNode& upstream = this->upstreams[aAttempt.upstream];
  const auto fail = [this, aAttempt] {
    this->Deliver(
      aAttempt.entry,
      aAttempt.incarnation,
      request::Event(request::AttemptFailed{ aAttempt.number,
                                             aAttempt.attempt,
                                             request::AttemptPhase::Sending,
                                             "connection reset" }));
  };
  if (!upstream.up || upstream.boot != aAttempt.boot) {
    fail();
    return;
  }
  const CallerRequest& request =
    this->observations.Requests().at(aAttempt.request);
  this->observations.ExecutionStarted(
    aAttempt.request, upstream.name, this->now);
  upstream.work[aAttempt.request] = RunningWork{ request.team };
  if (upstream.failsEverything) {
    this->observations.WorkEnded(request.team);
    upstream.work.erase(aAttempt.request);
    fail();
    return;
  }
  this->Schedule(kServiceTime, [this, aAttempt] { this->Finish(aAttempt); });
}

void
Fleet::Finish(const Attempt& aAttempt)
{
  UpstreamNode& upstream = this->upstreams[aAttempt.upstream];
  const auto work = upstream.work.find(aAttempt.request);
  if (upstream.boot != aAttempt.boot || work == upstream.work.end()) {
    return; // the upstream has failed or restarted since
  }
  this->observations.WorkEnded(work->second.team);
  upstream.work.erase(work);
  const EntryNode& node = this->entries[aAttempt.entry];
  if (node.incarnation != aAttempt.incarnation || node.reducer == nullptr ||
      this->abandoned.contains({ aAttempt.number, aAttempt.attempt })) {
    return;
  }
  this->observations.RequestEnded(aAttempt.request, true);
  this->Deliver(aAttempt.entry,
                aAttempt.incarnation,
                request::Event(request::AttemptFinished{
                  aAttempt.number, aAttempt.attempt, 200, kServiceTime }));
}

void
Fleet::KillUpstream(std::size_t aUpstream)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  if (!node.up) {
    return;
  }
  node.up = false;
  node.downSince = this->now;
  ++node.boot;
  for (const auto& [name, work] : std::exchange(node.work, {})) {
    this->observations.WorkEnded(work.team);
  }
  node.reports.clear();
}

void
Fleet::StartUpstream(std::size_t aUpstream)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  if (node.up && node.sequence > 0) {
    return;
  }
  node.up = true;
  node.departing = false;
  ++node.boot;
  this->observations.UpstreamBooted(node.name);
  this->AnnouncePeriodically(aUpstream, node.boot);
}

void
Fleet::AnnouncePeriodically(std::size_t aUpstream, std::uint64_t aBoot)
{
  const UpstreamNode& node = this->upstreams[aUpstream];
  if (!node.up || node.boot != aBoot) {
    return;
  }
  this->Announce(aUpstream);
  this->Schedule(kAnnounceInterval, [this, aUpstream, aBoot] {
    this->AnnouncePeriodically(aUpstream, aBoot);
  });
}

void
Fleet::Announce(std::size_t aUpstream)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  // Like a load balancer, picks another entry instance when the current one is
  // down or paused.
  if (!this->IsUp(node.entry) || this->entries[node.entry].paused) {
    node.entry = this->AnyEntry(node.entry);
  }
  core::AnnouncementReceived event;
  event.token = this->nextToken++;
  state::Announcement& announcement = event.announcement;
  announcement.instance = node.name;
  announcement.bootedAtMs = static_cast<std::int64_t>(node.boot);
  announcement.boot = node.name.value + "/" + std::to_string(node.boot);
  announcement.sequence = ++node.sequence;
  announcement.service = node.service;
  announcement.pool = node.pool;
  announcement.dataCentre = node.dataCentre;
  announcement.rack = node.rack;
  announcement.address = "127.0.0.1:9000";
  announcement.slots = 4;
  announcement.connections = 16;
  announcement.capacity = { 8000, 8192, 0 };
  if (node.departing) {
    announcement.state = state::UpstreamState::Departing;
  }
  event.reports = node.reports;
  for (const auto& [name, work] : node.work) {
    if (work.isTask) {
      event.reports.push_back(
        { JobId(name), work.epoch, work.state, { 500, 256, 0 }, "" });
    }
  }
  const std::uint64_t boot = node.boot;
  this->announcements[event.token] =
    [this, aUpstream, boot](const core::AnswerAnnouncement& aAnswer) {
      if (this->upstreams[aUpstream].boot != boot) {
        return;
      }
      for (const planner::Instruction& instruction : aAnswer.instructions) {
        this->HandleInstruction(aUpstream, instruction);
      }
    };
  this->Deliver(node.entry, this->entries[node.entry].incarnation, event);
}

void
Fleet::On(std::size_t /*aEntry*/, core::AnswerAnnouncement& aEffect)
{
  const auto waiting = this->announcements.find(aEffect.token);
  if (waiting == this->announcements.end()) {
    return;
  }
  const auto done = std::move(waiting->second);
  this->announcements.erase(waiting);
  done(aEffect);
}

void
Fleet::On(std::size_t /*aEntry*/, core::DeliverInstruction& aEffect)
{
  const auto index = this->UpstreamIndex(aEffect.instruction.instance);
  this->Schedule(kConnectTime,
                 [this, index, instruction = aEffect.instruction] {
                   if (index && this->upstreams[*index].up) {
                     this->HandleInstruction(*index, instruction);
                   }
                 });
}

void
Fleet::HandleInstruction(std::size_t aUpstream,
                         const planner::Instruction& aInstruction)
{
  const UpstreamNode& node = this->upstreams[aUpstream];
  if (aInstruction.boot != node.name.value + "/" + std::to_string(node.boot)) {
    return;
  }
  switch (aInstruction.kind) {
    case planner::InstructionKind::StartTask:
      this->StartTask(aUpstream, aInstruction);
      return;
    case planner::InstructionKind::StopTask:
      this->StopTask(aUpstream, aInstruction);
      return;
    case planner::InstructionKind::Drain:
      this->Drain(aUpstream);
      return;
    case planner::InstructionKind::Reboot:
      this->Reboot(aUpstream);
      return;
  }
}

void
Fleet::StartTask(std::size_t aUpstream,
                 const planner::Instruction& aInstruction)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  const std::string& job = aInstruction.job.value;
  const bool isKnown = node.work.contains(job) ||
                       std::any_of(node.reports.begin(),
                                   node.reports.end(),
                                   [&](const state::TaskReport& aReport) {
                                     return aReport.job == aInstruction.job &&
                                            aReport.epoch >= aInstruction.epoch;
                                   });
  if (isKnown) {
    return;
  }
  // The prefix of the job's name tells whether it is idempotent.
  this->observations.TaskStarted(job, job.starts_with("idempotent"));
  this->observations.WorkStarted(TeamId("t1"), this->now);
  node.work[job] = RunningWork{ TeamId("t1"), true, aInstruction.epoch };
  const std::uint64_t boot = node.boot;
  this->Schedule(kTaskTime, [this, aUpstream, job, boot] {
    if (this->upstreams[aUpstream].boot == boot) {
      this->EndTask(aUpstream,
                    job,
                    this->upstreams[aUpstream].failsEverything
                      ? state::TaskState::Failed
                      : state::TaskState::Done);
    }
  });
}

void
Fleet::StopTask(std::size_t aUpstream, const planner::Instruction& aInstruction)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  const auto work = node.work.find(aInstruction.job.value);
  if (work == node.work.end() || work->second.epoch != aInstruction.epoch) {
    return;
  }
  switch (aInstruction.mode) {
    case state::StopMode::Checkpoint:
      this->EndTask(
        aUpstream, aInstruction.job.value, state::TaskState::Checkpointed);
      return;
    case state::StopMode::Stop:
      this->EndTask(
        aUpstream, aInstruction.job.value, state::TaskState::Stopped);
      return;
    case state::StopMode::Throttle:
      work->second.state = state::TaskState::Throttled;
      return;
    case state::StopMode::Resume:
      work->second.state = state::TaskState::Running;
      return;
  }
}

void
Fleet::EndTask(std::size_t aUpstream,
               const std::string& aJob,
               state::TaskState aState)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  const auto work = node.work.find(aJob);
  if (work == node.work.end()) {
    return;
  }
  this->observations.WorkEnded(work->second.team);
  node.reports.push_back(
    { JobId(aJob), work->second.epoch, aState, { 500, 256, 0 }, "" });
  node.work.erase(work);
}

void
Fleet::Drain(std::size_t aUpstream)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  if (node.departing) {
    return;
  }
  std::size_t others = 0;
  for (const UpstreamNode& other : this->upstreams) {
    // A failure counts against the budget once it can be detected: after three
    // announcement intervals, a margin of 1 s, and 1 s in which the leader
    // queries the other entry instances.
    const bool isUndetected =
      !other.up && this->now - other.downSince <= kDetectionBound;
    const bool serves = (other.up || isUndetected) && !other.departing;
    others += other.pool == node.pool && serves && &other != &node ? 1 : 0;
  }
  this->observations.PlannedStop(
    node.name, others, node.pool == PoolId("p1") ? 2 : 0);
  node.departing = true;
  this->Announce(aUpstream);
  this->observations.DepartureAnnounced(node.name, this->now);
}

void
Fleet::Reboot(std::size_t aUpstream)
{
  UpstreamNode& node = this->upstreams[aUpstream];
  this->observations.Rebooted(node.name, node.work.size());
  this->KillUpstream(aUpstream);
  this->Schedule(kRebootTime,
                 [this, aUpstream] { this->StartUpstream(aUpstream); });
}

state::Command
Fleet::Bundle(std::uint64_t aVersion, std::uint32_t aLimit)
{
  state::ProposeBundle propose;
  state::Bundle& bundle = propose.bundle;
  bundle.version = aVersion;
  bundle.base = aVersion - 1;
  bundle.dataCentres = { { DataCentreId("dc1"), "north" },
                         { DataCentreId("dc2"), "north" } };
  bundle.workspaces = { { WorkspaceId("w1"), MemberId("m1") } };
  state::PoolSpec main{ PoolId("p1"), false, 2, {} };
  state::PoolSpec spare{ PoolId("spare"), true, 0, {} };
  for (std::size_t index = 0; index < kUpstreams; ++index) {
    state::InstanceSpec spec;
    spec.name = InstanceId("u" + std::to_string(index + 1));
    spec.dataCentre = DataCentreId(index % 2 == 0 ? "dc1" : "dc2");
    spec.rack = RackId("r" + std::to_string(index / 2 + 1));
    spec.capacity = { 8000, 8192, 0 };
    (index < 4 ? main : spare).instances.push_back(spec);
  }
  bundle.pools = { main, spare };
  bundle.teams = { { TeamId("t1"), WorkspaceId("w1"), 3, aLimit },
                   { TeamId("open"), WorkspaceId("w1"), 1, 4 } };
  state::ServiceSpec keyed;
  keyed.name = ServiceId("s1");
  keyed.pool = PoolId("p1");
  keyed.workspace = WorkspaceId("w1");
  state::ServiceSpec open = keyed;
  open.name = ServiceId("s2");
  open.pool = PoolId("spare");
  open.open = true;
  open.openTeam = TeamId("open");
  bundle.services = { keyed, open };
  bundle.policy.soakTime = std::chrono::seconds(3);
  bundle.policy.drainTime = std::chrono::seconds(5);
  propose.content =
    "version " + std::to_string(aVersion) + " limit " + std::to_string(aLimit);
  propose.digest = propose.content;
  state::Command command;
  command.body = std::move(propose);
  return command;
}

void
Fleet::SetUp()
{
  for (std::size_t index = 0; index < kEntries; ++index) {
    this->Start(index);
  }
  this->RunFor(std::chrono::seconds(6));
  const auto submit = [this](state::CommandBody aBody) {
    state::Command command;
    command.body = std::move(aBody);
    this->Command(std::move(command));
    this->RunFor(std::chrono::milliseconds(1500));
  };
  submit(state::ProposeMember{ MemberId("m1") });
  submit(Fleet::Bundle(1, 6).body);
  submit(state::ApproveBundle{ 1, "version 1 limit 6", MemberId("m1") });
  submit(state::GrantKey{
    KeyId("k1"), state::KeyRole::Team, "t1", DigestOf(KeyId("k1")) });
  this->observations.LimitSet(TeamId("t1"), 6);
  this->observations.LimitSet(TeamId("open"), 4);
  for (std::size_t index = 0; index < kUpstreams; ++index) {
    this->StartUpstream(index);
  }
  this->RunFor(std::chrono::seconds(15));
}

} // namespace hyssoppaddle::test
