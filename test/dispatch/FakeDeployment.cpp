// Virtual time, commits and invariant checks of the deployment.
#include "FakeDeployment.h"

#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::test {

namespace {

constexpr Duration kAnnounceInterval = dispatch::milliseconds(1500);
// A run whose task is done is stopped within this time.
constexpr Duration kStopLimit = dispatch::seconds(1);

} // namespace

work::Step
MakeStep(std::uint32_t aCount, std::int64_t aMilliCpus, Duration aRuns)
{
  work::Step step;
  step.count = aCount;
  step.size = { aMilliCpus, 100, 0 };
  step.estimate = aRuns;
  return step;
}

FakeDeployment::FakeDeployment()
{
  this->options.hasInstanceOwner = true;
  this->MakeReplicas();
  this->setup.version = 1;
}

void
FakeDeployment::AddService(const std::string& aName, bool aStandby)
{
  work::Service service;
  service.name = ServiceId(aName);
  service.standby = aStandby;
  this->setup.services.push_back(service);
  work::Queue queue;
  queue.name = work::QueueId(aName);
  queue.host = "host";
  queue.pathPrefix = "/" + aName + "/";
  queue.service = service.name;
  queue.maxAttempts = 3;
  queue.stretch = 1.6;
  queue.targetCompletion = dispatch::milliseconds(600);
  this->setup.queues.push_back(queue);
  work::Workspace workspace;
  workspace.name = WorkspaceId(aName);
  workspace.keys = { "key-" + aName };
  this->setup.workspaces.push_back(workspace);
}

void
FakeDeployment::SetLimit(const std::string& aWorkspace, state::Resources aLimit)
{
  for (work::Workspace& workspace : this->setup.workspaces) {
    if (workspace.name.value == aWorkspace) {
      workspace.limit = aLimit;
    }
  }
}

void
FakeDeployment::AddAdvisedQueue(const std::string& aName,
                                const std::string& aService)
{
  work::Queue queue = this->setup.queues.front();
  queue.name = work::QueueId(aName);
  queue.pathPrefix = "/" + aName + "/";
  queue.service = ServiceId(aService);
  queue.needsAdvice = true;
  queue.advice.validity = dispatch::seconds(5);
  this->setup.queues.push_back(queue);
  this->options.hasAdvisor = true;
  this->MakeReplicas();
}

void
FakeDeployment::AddUpstream(const std::string& aService,
                            std::int64_t aMilliCpus)
{
  const std::string number = std::to_string(++this->lastUpstream);
  FakeUpstream up;
  up.record.service = ServiceId(aService);
  up.record.address = "10.0.0." + number + ":80";
  up.record.capacity = { aMilliCpus, 64000, 0 };
  up.record.labels = { "kind",
                       "rack-" + std::to_string(this->lastUpstream % 3) };
  up.record.boot = this->lastUpstream;
  up.record.instance = "machine-" + number;
  up.bootedAt = this->now;
  this->instances[up.record.instance] = FakeInstance{
    up.record.service, dispatch::InstancePhase::Up, {}, 0, 0, {}, {}
  };
  this->upstreams[InstanceId("up-" + number)] = up;
}

void
FakeDeployment::AddStandby(const std::string& aInstance,
                           const std::string& aPool)
{
  this->instances[aInstance] = FakeInstance{
    ServiceId(aPool), dispatch::InstancePhase::Up, {}, 0, 0, {}, {}
  };
}

void
FakeDeployment::SetMaintenanceTime(Duration aTime)
{
  this->options.maintenanceTime = aTime;
  this->MakeReplicas();
}

void
FakeDeployment::ElectLeader()
{
  work::Batch batch;
  batch.stamp = this->Wall();
  batch.commands.emplace_back(work::SetSetup{ this->setup });
  this->state.Apply(batch);
  this->ChangeLeader();
}

void
FakeDeployment::MakeReplicas()
{
  for (std::size_t i = 0; i < this->replicas.size(); ++i) {
    this->options.self = "replica-" + std::to_string(i);
    this->replicas[i] =
      std::make_unique<dispatch::Dispatcher>(this->options, this->state);
  }
}

void
FakeDeployment::ChangeLeader()
{
  this->proposed.clear();
  this->answers.clear();
  this->arrived.clear();
  if (this->dispatcher != nullptr) {
    this->dispatcher->LoseLeadership();
  }
  ++this->term;
  this->dispatcher = this->replicas[this->Leader()].get();
  this->dispatcher->BecomeLeader(this->term, this->now, this->Wall());
}

// Checks that the owner of the instances would accept an order of this holder,
// and records it.
void
FakeDeployment::CheckOrderHolder(FakeInstance& aInstance,
                                 const std::string& aName)
{
  const std::size_t holder = this->Leader();
  if (aInstance.orderedBy && *aInstance.orderedBy != holder &&
      this->now - aInstance.orderedAt < this->options.orderLease) {
    this->violations.push_back("orders of two holders within the lease: " +
                               aName);
  }
  aInstance.orderedBy = holder;
  aInstance.orderedAt = this->now;
}

WallTime
FakeDeployment::Wall() const
{
  return WallTime(this->now.time_since_epoch());
}

dispatch::UpstreamClock
FakeDeployment::ClockOf(const FakeUpstream& aUp) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(this->now -
                                                               aUp.bootedAt)
    .count();
}

void
FakeDeployment::Submit(const std::string& aJob,
                       const std::string& aQueue,
                       std::vector<work::Step> aSteps,
                       const std::string& aWorkspace)
{
  work::SubmitJob submit;
  submit.id = JobId(aJob);
  submit.queue = work::QueueId(aQueue);
  submit.workspace = WorkspaceId(aWorkspace.empty() ? aQueue : aWorkspace);
  submit.spec.steps = std::move(aSteps);
  this->submitted[aJob] = this->Wall();
  this->proposed.push_back({ submit });
  this->Commit();
}

std::optional<Duration>
FakeDeployment::Offer(const std::string& aQueue, std::vector<work::Step> aSteps)
{
  work::JobSpec spec;
  spec.steps = std::move(aSteps);
  const work::Queue* queue =
    this->state.CurrentSetup().FindQueue(work::QueueId(aQueue));
  return this->dispatcher->RetryAfter(*queue, spec);
}

std::uint64_t
FakeDeployment::CountQueuedJobs(const std::string& aQueue) const
{
  return this->dispatcher->CountQueuedJobs(
    *this->state.CurrentSetup().FindQueue(work::QueueId(aQueue)));
}

void
FakeDeployment::Cancel(const std::string& aJob)
{
  this->proposed.push_back({ work::CancelJob{ JobId(aJob) } });
  this->Commit();
}

void
FakeDeployment::ChangeSetup(const std::function<void(work::Setup&)>& aChange)
{
  ++this->setup.version;
  aChange(this->setup);
  this->proposed.push_back({ work::SetSetup{ this->setup } });
  this->Commit();
}

void
FakeDeployment::StartWave(std::uint64_t aNumber,
                          std::vector<std::string> aInstances,
                          Duration aLength,
                          std::uint32_t aMaxAway)
{
  work::Wave wave;
  wave.instances = std::move(aInstances);
  wave.length = aLength;
  wave.maxAway = aMaxAway;
  this->proposed.push_back({ work::StartWave{ aNumber, wave } });
  this->Commit();
}

void
FakeDeployment::Drain(const std::string& aUpstream, Duration aLeavesIn)
{
  const InstanceId id(aUpstream);
  this->upstreams.at(id).record.draining = true;
  this->leaving[id] = aLeavesIn;
  this->Announce(id);
}

void
FakeDeployment::Crash(const std::string& aUpstream, bool aRestarts)
{
  FakeUpstream& up = this->upstreams.at(InstanceId(aUpstream));
  up.running.clear();
  up.ended.clear();
  up.highestEnded.clear();
  up.alive = aRestarts;
  up.fence = 0;
  up.leaseUntil = 0;
  up.lastEnd = 0;
  up.sequence = 0;
  up.bootedAt = this->now;
  up.record.boot += 1000;
}

dispatch::Announcement
FakeDeployment::NextReport(const InstanceId& aUpstream)
{
  FakeUpstream& up = this->upstreams.at(aUpstream);
  dispatch::Announcement announcement;
  announcement.id = aUpstream;
  announcement.record = up.record;
  announcement.sequence = ++up.sequence;
  return announcement;
}

void
FakeDeployment::Announce(const InstanceId& aId)
{
  dispatch::Announcement announcement = this->NextReport(aId);
  if (const auto leaves = this->leaving.find(aId);
      leaves != this->leaving.end()) {
    announcement.leavesIn = leaves->second;
  }
  this->Report(announcement);
}

void
FakeDeployment::Report(const dispatch::Announcement& aAnnouncement)
{
  std::vector<work::Command> proposal =
    this->dispatcher->HandleAnnouncement(aAnnouncement, this->now);
  if (!proposal.empty()) {
    this->proposed.push_back(std::move(proposal));
  }
}

void
FakeDeployment::Depart(const std::string& aUpstream)
{
  std::vector<work::Command> proposal =
    this->dispatcher->HandleDeparture(InstanceId(aUpstream), this->now);
  if (!proposal.empty()) {
    this->proposed.push_back(std::move(proposal));
  }
}

void
FakeDeployment::Commit()
{
  while (!this->holdCommits && !this->proposed.empty()) {
    work::Batch batch;
    batch.stamp = this->Wall();
    batch.commands = std::move(this->proposed.front());
    this->proposed.pop_front();
    this->eventsLeft -= static_cast<double>(batch.commands.size());
    const std::vector<work::Verdict> verdicts = this->state.Apply(batch);
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
      const auto* end = std::get_if<work::EndRun>(&batch.commands[i]);
      if (end != nullptr && end->kind == work::EndKind::Done &&
          verdicts[i] == work::Verdict::Done) {
        this->completedTasks.try_emplace(end->task, this->now);
      }
    }
    for (const auto& replica : this->replicas) {
      replica->Applied(batch, verdicts, this->now, this->Wall());
    }
    this->ProcessOutput();
  }
}

void
FakeDeployment::ProcessOutput()
{
  const std::uint64_t before = this->PlanSteps();
  dispatch::Output output = this->dispatcher->TakeOutput();
  this->mostPlanSteps =
    std::max(this->mostPlanSteps, this->PlanSteps() - before);
  std::move(output.decisions.begin(),
            output.decisions.end(),
            std::back_inserter(this->decisions));
  if (!output.commands.empty()) {
    this->proposed.push_back(std::move(output.commands));
  }
  for (dispatch::Instruction& instruction : output.instructions) {
    this->Deliver(std::move(instruction));
  }
}

void
FakeDeployment::Step()
{
  this->now += kTimeStep;
  for (auto& [id, up] : this->upstreams) {
    Time& next = this->nextAnnouncement[id];
    if (up.alive && up.reachable && this->now >= next) {
      next = this->now + kAnnounceInterval;
      this->Announce(id);
    }
  }
  this->AdvanceInstances();
  this->AdvanceUpstreams();
  this->HandleAnswers();
  this->dispatcher->ObserveLoopDelay(this->LoopDelay(), this->now);
  this->dispatcher->Tick(this->now, this->Wall());
  this->ProcessOutput();
  this->Commit();
  this->CheckInvariants();
}

void
FakeDeployment::Run(Duration aFor)
{
  const Time until = this->now + aFor;
  while (this->now < until) {
    this->Step();
  }
}

bool
FakeDeployment::RunUntil(Duration aLimit, const std::function<bool()>& aDone)
{
  const Time until = this->now + aLimit;
  while (this->now < until && !aDone()) {
    this->Step();
  }
  return aDone();
}

void
FakeDeployment::AdvanceInstances()
{
  std::size_t away = 0;
  for (auto& [name, instance] : this->instances) {
    if (instance.phase == dispatch::InstancePhase::Up) {
      continue;
    }
    if (this->now < instance.backAt) {
      away += instance.activeWave != 0 ? 1 : 0;
      continue;
    }
    instance.phase = dispatch::InstancePhase::Up;
    instance.activeWave = 0;
    const bool standby =
      std::any_of(this->setup.services.begin(),
                  this->setup.services.end(),
                  [&](const work::Service& aService) {
                    return aService.name == instance.pool && aService.standby;
                  });
    if (standby) {
      continue;
    }
    FakeUpstream up;
    up.record.service = instance.pool;
    const std::string number = std::to_string(++this->lastUpstream);
    up.record.address = "10.0.1." + number + ":80";
    up.record.capacity = { 8000, 64000, 0 };
    up.record.labels = { "kind", "rack-0" };
    up.record.boot = 100000 + this->lastUpstream;
    up.record.instance = name;
    up.record.dataCentre = instance.dataCentre;
    up.bootedAt = this->now;
    this->upstreams[InstanceId("up-" + number)] = up;
  }
  this->maxAwayAtOnce = std::max(this->maxAwayAtOnce, away);
}

// Invariants that hold at all times.
void
FakeDeployment::CheckInvariants()
{
  std::map<work::TaskRef, int> copies;
  std::set<work::TaskRef> twice; // tasks that may run twice
  for (const auto& [id, up] : this->upstreams) {
    state::Resources used;
    for (const auto& [task, run] : up.running) {
      ++copies[task];
      if (run.mayRunTwice) {
        twice.insert(task);
      }
      used += run.size;
      const auto done = this->completedTasks.find(task);
      if (done == this->completedTasks.end() || run.longRunning) {
        continue;
      }
      // The other run of a task that may run twice ends after the first.
      const bool isOther = run.mayRunTwice && run.startedAt <= done->second;
      const bool mayStop =
        !up.reachable || this->now < done->second + kStopLimit;
      if (!isOther || !mayStop) {
        this->violations.push_back("ran again after its recorded end: " +
                                   dispatch::Text(task));
      }
    }
    if (!used.FitsInto(up.record.capacity)) {
      this->violations.push_back("over capacity: " + id.value);
    }
  }
  for (const auto& [task, count] : copies) {
    if (count == 2 && twice.contains(task)) {
      this->secondRunsSeen += this->tasksRunTwice.insert(task).second ? 1 : 0;
    } else if (count > 1) {
      this->violations.push_back("two runs at once: " + dispatch::Text(task));
    }
  }
}

work::JobState
FakeDeployment::StateOf(const std::string& aJob) const
{
  const work::Job* job = this->state.FindJob(JobId(aJob));
  return job == nullptr ? work::JobState::Cancelled : job->state;
}

Duration
FakeDeployment::EndedAfter(const std::string& aJob) const
{
  const work::Job* job = this->state.FindJob(JobId(aJob));
  return job->endedAt - this->submitted.at(aJob);
}

} // namespace hyssoppaddle::test
