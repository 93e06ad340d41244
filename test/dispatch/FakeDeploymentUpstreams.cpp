// How the upstreams and the owner of the instances handle orders.
#include "FakeDeployment.h"

#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::test {

namespace {

constexpr Duration kRoundTrip = dispatch::milliseconds(3);
constexpr Duration kOrderLimit = dispatch::milliseconds(450);
constexpr Duration kListDelay = dispatch::milliseconds(20);
constexpr Duration kMaxLease = dispatch::milliseconds(6000);
constexpr Duration kMoveTime = dispatch::milliseconds(1500);

} // namespace

FakeUpstream*
FakeDeployment::FindReachable(const dispatch::Destination& aTo)
{
  const auto found = this->upstreams.find(aTo.upstream);
  const bool there = found != this->upstreams.end() && found->second.alive &&
                     found->second.reachable &&
                     found->second.record.address == aTo.address;
  return there ? &found->second : nullptr;
}

bool
FakeDeployment::IsUsedByAnother(const dispatch::Destination& aTo) const
{
  return std::any_of(
    this->upstreams.begin(), this->upstreams.end(), [&](const auto& aItem) {
      const FakeUpstream& up = aItem.second;
      return aItem.first != aTo.upstream && up.alive && up.reachable &&
             up.record.address == aTo.address;
    });
}

void
FakeDeployment::RemoveUpstreamsOf(const std::string& aInstance)
{
  std::erase_if(this->upstreams, [&](const auto& aItem) {
    return aItem.second.record.instance == aInstance;
  });
}

void
FakeDeployment::Reply(dispatch::Answer aAnswer)
{
  this->ReplyLate(std::move(aAnswer), kRoundTrip);
}

void
FakeDeployment::ReplyLate(dispatch::Answer aAnswer, Duration aAfter)
{
  this->answers.push_back(
    { this->now + aAfter, [aAnswer] { return aAnswer; } });
}

void
FakeDeployment::Place(const std::string& aUpstream,
                      const std::string& aDataCentre)
{
  work::Upstream& record = this->upstreams.at(InstanceId(aUpstream)).record;
  record.dataCentre = DataCentreId(aDataCentre);
  this->instances.at(record.instance).dataCentre = record.dataCentre;
}

void
FakeDeployment::Evacuate(const std::string& aDataCentre, bool aRequested)
{
  this->proposed.push_back({ work::SetEvacuation{
    DataCentreId(aDataCentre), aRequested, "operator" } });
  this->Commit();
}

void
FakeDeployment::Deliver(dispatch::Instruction aInstruction)
{
  std::visit([this](const auto& aOrder) { this->Answer(aOrder); },
             aInstruction);
}

void
FakeDeployment::Answer(const dispatch::RenewLease& aOrder)
{
  FakeUpstream* up = this->FindReachable(aOrder.to);
  if (up == nullptr || up->losesRenewals) {
    dispatch::LeaseAnswer none;
    none.token = aOrder.token;
    none.upstream = aOrder.to.upstream;
    none.wrongBoot = this->IsUsedByAnother(aOrder.to);
    this->ReplyLate(none,
                    none.wrongBoot ? kRoundTrip : aOrder.wait + kOrderLimit);
    return;
  }
  if (aOrder.to.fence >= up->fence) {
    up->fence = aOrder.to.fence;
    if (aOrder.leaseUntil) {
      const auto longest = this->ClockOf(*up) + kMaxLease.count() / 1000;
      up->leaseUntil =
        std::max(up->leaseUntil, std::min(*aOrder.leaseUntil, longest));
    }
    std::erase_if(up->ended, [&](const dispatch::EndedTask& aEnd) {
      return aEnd.number <= aOrder.lastSeen;
    });
  }
  // The long poll is simulated by a short delay, so an end is listed slightly
  // late. Run times are measured by these lists.
  const Duration wait =
    up->ended.empty() ? std::min(aOrder.wait, kListDelay) : Duration(0);
  this->answers.push_back({ this->now + kRoundTrip + wait, [this, aOrder] {
                             return this->TaskListsOf(aOrder);
                           } });
}

dispatch::Answer
FakeDeployment::TaskListsOf(const dispatch::RenewLease& aOrder)
{
  dispatch::LeaseAnswer answer;
  answer.token = aOrder.token;
  answer.upstream = aOrder.to.upstream;
  const FakeUpstream* up = this->FindReachable(aOrder.to);
  if (up == nullptr) {
    return answer;
  }
  answer.fenced = aOrder.to.fence < up->fence;
  answer.answered = !answer.fenced;
  answer.boot = up->record.boot;
  answer.clock = this->ClockOf(*up);
  if (up->listsUnreadableRows) {
    answer.unreadableRows = up->running.size() + up->ended.size();
    answer.unreadableEnds = up->ended.size();
    return answer;
  }
  answer.unreadableRows = up->listsOneUnreadableRow ? 1 : 0;
  for (const auto& [task, run] : up->running) {
    const bool isWarm =
      !run.longRunning || this->now >= run.startedAt + this->warmUp;
    const std::uint32_t percent =
      run.longRunning ? (isWarm ? 100U : 0U) : this->ProgressOf(*up, run);
    answer.running.push_back({ task, run.run, "", percent, std::nullopt });
  }
  answer.ended = up->ended;
  return answer;
}

std::uint32_t
FakeDeployment::ProgressOf(const FakeUpstream& aUp, const FakeRun& aRun) const
{
  const Time at = std::min(this->now, aUp.stalledSince.value_or(this->now));
  const double part =
    static_cast<double>((at - aRun.startedAt).count()) /
    static_cast<double>((aRun.endsAt - aRun.startedAt).count());
  return static_cast<std::uint32_t>(std::clamp(part, 0.0, 1.0) * 100.0);
}

FakeUpstream*
FakeDeployment::ReceiveOrder(std::uint64_t aToken,
                             const dispatch::Destination& aTo,
                             dispatch::OrderAnswer& aAnswer)
{
  aAnswer.token = aToken;
  aAnswer.upstream = aTo.upstream;
  FakeUpstream* up = this->FindReachable(aTo);
  if (up == nullptr) {
    const bool isOther = this->IsUsedByAnother(aTo);
    aAnswer.result = isOther ? dispatch::OrderResult::WrongBoot
                             : dispatch::OrderResult::NoAnswer;
    this->ReplyLate(aAnswer, isOther ? kRoundTrip : kOrderLimit);
    return nullptr;
  }
  aAnswer.clock = this->ClockOf(*up);
  return up;
}

void
FakeDeployment::Answer(const dispatch::StartTask& aOrder)
{
  dispatch::OrderAnswer answer;
  FakeUpstream* up = this->ReceiveOrder(aOrder.token, aOrder.to, answer);
  if (up == nullptr) {
    return;
  }
  if (up->holdsStarts) {
    this->heldStarts.push_back(aOrder);
    answer.clock.reset();
    this->ReplyLate(std::move(answer), kOrderLimit);
    return;
  }
  ++up->startsSeen;
  if (this->state.IsEvacuating(up->record.dataCentre)) {
    this->violations.push_back("start in an evacuated data centre: " +
                               dispatch::Text(aOrder.task));
  }
  const work::Job* job = this->state.FindJob(aOrder.task.job);
  const work::Step& step = job->spec.steps[aOrder.task.step];
  const auto ended = up->highestEnded.find(aOrder.task);
  state::Resources used = step.size;
  for (const auto& [task, run] : up->running) {
    used += run.size;
  }
  using dispatch::OrderResult;
  if (aOrder.to.fence < up->fence) {
    answer.result = OrderResult::Fenced;
  } else if (ended != up->highestEnded.end() && aOrder.run <= ended->second) {
    answer.result = OrderResult::Superseded;
  } else if (aOrder.leaseUntil <= this->ClockOf(*up)) {
    answer.result = OrderResult::Expired;
  } else if (up->refusesStarts) {
    answer.result = OrderResult::Unhealthy;
  } else if (!used.FitsInto(up->record.capacity)) {
    answer.result = OrderResult::NoCapacity;
    ++this->rejectedStarts;
  } else {
    answer.result = OrderResult::Accepted;
    up->fence = aOrder.to.fence;
    const auto longest = this->ClockOf(*up) + kMaxLease.count() / 1000;
    up->leaseUntil =
      std::max(up->leaseUntil, std::min(aOrder.leaseUntil, longest));
    const double factor =
      up->slowdown * (this->ownFactor ? this->ownFactor(aOrder.task) : 1.0);
    const Duration length(static_cast<std::int64_t>(
      static_cast<double>(step.estimate.count()) * factor));
    up->running[aOrder.task] = {
      aOrder.run, step.longRunning ? Time::max() : this->now + length,
      step.size,  step.longRunning,
      this->now,  step.speculative
    };
  }
  if (up->dropsAnswers) {
    answer.result = OrderResult::NoAnswer;
    answer.clock.reset();
    this->ReplyLate(std::move(answer), kOrderLimit);
    return;
  }
  this->ReplyLate(std::move(answer), up->startAnswerDelay);
}

void
FakeDeployment::ReleaseHeldStarts()
{
  for (auto& [id, up] : this->upstreams) {
    up.holdsStarts = false;
  }
  for (const dispatch::StartTask& order : std::exchange(this->heldStarts, {})) {
    this->Answer(order);
  }
}

void
FakeDeployment::Answer(const dispatch::StopTask& aOrder)
{
  dispatch::OrderAnswer answer;
  FakeUpstream* up = this->ReceiveOrder(aOrder.token, aOrder.to, answer);
  if (up == nullptr) {
    return;
  }
  ++up->stopsSeen;
  answer.result = dispatch::OrderResult::Accepted;
  const auto running = up->running.find(aOrder.task);
  if (running != up->running.end() && running->second.run <= aOrder.run) {
    this->End(aOrder.to.upstream, aOrder.task, work::EndKind::Stopped);
  }
  auto& highest = up->highestEnded[aOrder.task];
  highest = std::max(highest, aOrder.run);
  this->Reply(std::move(answer));
}

void
FakeDeployment::Answer(const dispatch::PaceTask& aOrder)
{
  dispatch::OrderAnswer answer;
  answer.token = aOrder.token;
  answer.upstream = aOrder.to.upstream;
  answer.result = dispatch::OrderResult::Accepted;
  this->Reply(std::move(answer));
}

void
FakeDeployment::Answer(const dispatch::AskAdvice& aOrder)
{
  ++this->adviceRequests;
  dispatch::AdviceAnswer answer;
  answer.token = aOrder.token;
  answer.answered = true;
  for (const InstanceId& upstream : aOrder.upstreams) {
    answer.tickets.emplace_back(upstream, "ticket");
  }
  this->Reply(std::move(answer));
}

void
FakeDeployment::Answer(const dispatch::ListInstances& aOrder)
{
  dispatch::InstanceList list;
  list.token = aOrder.token;
  list.answered = true;
  ++this->listRequests;
  if (this->ownerListsInACircle) {
    list.nextPage = std::string(1, aOrder.page == "a" ? 'b' : 'a');
  }
  for (const auto& [name, instance] : this->instances) {
    dispatch::InstanceRow row;
    row.instance = name;
    row.pool = instance.pool;
    row.phase = instance.phase;
    row.dataCentre = instance.dataCentre;
    list.rows.push_back(std::move(row));
  }
  this->Reply(std::move(list));
}

void
FakeDeployment::Answer(const dispatch::MaintainInstance& aOrder)
{
  FakeInstance& instance = this->instances[aOrder.instance];
  this->CheckOrderHolder(instance, aOrder.instance);
  dispatch::InstanceAnswer answer{ aOrder.token,
                                   dispatch::InstanceResult::Done };
  if (this->ownerLosesOrders) {
    answer.result = dispatch::InstanceResult::NoAnswer;
  } else if (this->ownerRefusesMaintenance) {
    answer.result = dispatch::InstanceResult::Refused;
  } else if (instance.completedWave == aOrder.wave) {
    answer.result = dispatch::InstanceResult::Done; // maintained once per wave
  } else if (instance.phase == dispatch::InstancePhase::Up) {
    for (const auto& [id, up] : this->upstreams) {
      const bool isOn = up.record.instance == aOrder.instance;
      this->tasksEndedByMaintenance += isOn ? up.running.size() : 0;
    }
    this->RemoveUpstreamsOf(aOrder.instance);
    instance.completedWave = aOrder.wave;
    instance.phase = dispatch::InstancePhase::Maintenance;
    instance.backAt = this->now + this->options.maintenanceTime;
    instance.activeWave = aOrder.wave;
  } else if (instance.activeWave != aOrder.wave) {
    answer.result = dispatch::InstanceResult::Busy;
  }
  if (this->ownerDropsAnswers) {
    answer.result = dispatch::InstanceResult::NoAnswer;
  }
  this->Reply(answer);
}

void
FakeDeployment::Answer(const dispatch::MoveInstance& aOrder)
{
  FakeInstance& instance = this->instances[aOrder.instance];
  this->CheckOrderHolder(instance, aOrder.instance);
  dispatch::InstanceAnswer answer{ aOrder.token,
                                   dispatch::InstanceResult::Busy };
  if (instance.phase == dispatch::InstancePhase::Up) {
    this->RemoveUpstreamsOf(aOrder.instance);
    ++this->moves;
    instance.phase = dispatch::InstancePhase::Moving;
    instance.pool = aOrder.pool;
    instance.backAt = this->now + kMoveTime;
    answer.result = dispatch::InstanceResult::Done;
  }
  this->Reply(answer);
}

void
FakeDeployment::End(const InstanceId& aId,
                    const work::TaskRef& aTask,
                    work::EndKind aKind)
{
  FakeUpstream& up = this->upstreams.at(aId);
  const std::uint32_t run = up.running.at(aTask).run;
  up.running.erase(aTask);
  up.highestEnded[aTask] = std::max(up.highestEnded[aTask], run);
  up.ended.push_back({ ++up.lastEnd, aTask, run, aKind, "" });
}

// Ends tasks that are finished or have failed, and those whose lease expired.
void
FakeDeployment::AdvanceUpstreams()
{
  for (auto& [id, up] : this->upstreams) {
    const bool lapsed = this->ClockOf(up) >= up.leaseUntil;
    std::vector<std::pair<work::TaskRef, work::EndKind>> ends;
    for (const auto& [task, run] : up.running) {
      if (lapsed) {
        ends.emplace_back(task, work::EndKind::Lapsed);
      } else if (this->now >= run.endsAt && !up.stalledSince) {
        ends.emplace_back(
          task, up.failsAllTasks ? work::EndKind::Failed : work::EndKind::Done);
      }
    }
    for (const auto& [task, kind] : ends) {
      this->End(id, task, kind);
    }
  }
}

std::size_t
FakeDeployment::RunningOn(const std::string& aService) const
{
  std::size_t count = 0;
  for (const auto& [id, up] : this->upstreams) {
    count += up.record.service.value == aService ? up.running.size() : 0;
  }
  return count;
}

std::size_t
FakeDeployment::UpstreamsOf(const std::string& aService) const
{
  return static_cast<std::size_t>(std::count_if(
    this->upstreams.begin(), this->upstreams.end(), [&](const auto& aItem) {
      return aItem.second.record.service.value == aService &&
             aItem.second.alive;
    }));
}

} // namespace hyssoppaddle::test
