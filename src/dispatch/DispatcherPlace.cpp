// Finds upstreams for the waiting tasks of a job, step by step.
#include "dispatch/Dispatcher.h"
#include "dispatch/WorkRank.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

bool
Dispatcher::PlaceJob(PlanPass& aPass,
                     PlanRound& aRound,
                     const RankedJob& aJob,
                     std::size_t aAhead)
{
  JobView& view = *aJob.view;
  const work::Job& job = *this->FindJob(view.id);
  std::optional<work::TaskRef> first;
  std::size_t placed = 0;
  const WaitingStep* missed = nullptr; // found no room for all of its tasks
  std::size_t next = 0;
  for (; next < view.waiting.size() && !this->IsPassSpent(); ++next) {
    WaitingStep& waiting = view.waiting[next];
    const work::Step& step = job.spec.steps[waiting.step];
    ++this->planSteps;
    if (view.IsImpossible(waiting) || !view.hasQueue ||
        (missed != nullptr && waiting.IsSameStep(*missed)) ||
        aRound.HasSeen(view.id, waiting)) {
      continue;
    }
    const std::uint32_t started = step.gang
                                    ? this->PlaceGang(aPass, view, waiting)
                                    : this->PlaceTasks(aPass, view, waiting);
    if (started > 0 && !first) {
      first = waiting.First(view.id);
    }
    placed += started;
    waiting.indexes.erase(waiting.indexes.begin(),
                          waiting.indexes.begin() + started);
    if (!waiting.indexes.empty()) {
      missed = &waiting;
      if (this->IsPassSpent() && !step.gang) {
        break; // the next pass goes on with this step
      }
    }
  }
  const bool isDone = next == view.waiting.size();
  if (!isDone) {
    aRound.RecordSteps(view.id, std::span(view.waiting).first(next));
  }
  std::erase_if(view.waiting,
                [](const WaitingStep& aStep) { return aStep.indexes.empty(); });
  if (placed > 0) {
    this->runMeter.RecordPlaced(aJob.rank.outlook, placed);
    this->LogPlacement(view, *first, placed, aJob.rank, aAhead);
  }
  return isDone;
}

// The rack where tasks of the step already run, otherwise the one with the most
// free capacity.
std::string
Dispatcher::RackOf(const PlanPass& aPass,
                   const work::Job& aJob,
                   const WaitingStep& aStep) const
{
  if (!aJob.spec.steps[aStep.step].rackLocal) {
    return {};
  }
  for (const work::Task& task : aJob.tasks[aStep.occurrence][aStep.step]) {
    for (const work::Run& run : task.runs) {
      const auto session = this->sessions.find(run.upstream);
      if (session != this->sessions.end()) {
        return session->second.record.Rack();
      }
    }
  }
  std::map<std::string, std::int64_t> room;
  for (const Candidate& candidate : aPass.Candidates()) {
    room[candidate.session->record.Rack()] +=
      candidate.session->Free().milliCpus;
  }
  const auto most = std::max_element(
    room.begin(), room.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return most == room.end() ? std::string() : most->first;
}

// Starts tasks one by one for as long as there is room. Returns their number.
std::uint32_t
Dispatcher::PlaceTasks(PlanPass& aPass,
                       const JobView& aView,
                       const WaitingStep& aStep)
{
  const work::Job& job = *this->FindJob(aView.id);
  const work::Step& step = job.spec.steps[aStep.step];
  const bool needsTicket = this->NeedsTicket(aView);
  std::optional<std::string> rack;
  const Candidate* last = nullptr;
  std::uint32_t started = 0;
  for (const std::uint32_t index : aStep.indexes) {
    // A task that needs tickets requests them before there is room for it.
    if (this->IsPassSpent() || this->IsHeldBack(step) ||
        (!needsTicket && aPass.IsUnplaceable(step)) ||
        !this->CheckLimit(aView, step, 1)) {
      break;
    }
    if (!rack) {
      rack = this->RackOf(aPass, job, aStep);
    }
    const work::TaskRef task = aStep.Ref(aView.id, index);
    PlacementQuery query = this->QueryOf(aView, task);
    query.rack = *rack;
    const Candidate* chosen = this->ChooseNext(aPass, query, last);
    if (chosen == nullptr) {
      if (needsTicket) {
        this->RequestTickets(aView, task);
      } else {
        aPass.RecordMiss(step);
      }
      break;
    }
    this->ProposeStart(*chosen, task, job.Find(task)->lastRun + 1);
    ++started;
  }
  return started;
}

// Starts all members at once or none, because a member that waits for the
// others occupies capacity without doing work. Returns the number of members
// that were started.
std::uint32_t
Dispatcher::PlaceGang(PlanPass& aPass,
                      const JobView& aView,
                      const WaitingStep& aStep)
{
  const work::Job& job = *this->FindJob(aView.id);
  const work::Step& step = job.spec.steps[aStep.step];
  const auto& members = job.tasks[aStep.occurrence][aStep.step];
  if (aStep.indexes.size() != members.size()) {
    return 0; // an earlier run of a member is still recorded
  }
  if (this->IsHeldBack(step)) {
    return 0; // a gang may exceed what is left, since a limit can be below it
  }
  const bool needsTicket = this->NeedsTicket(aView);
  if ((!needsTicket && aPass.IsGangUnplaceable(step)) ||
      !this->CheckLimit(aView, step, aStep.Count())) {
    return 0;
  }
  const work::TaskRef first = aStep.First(aView.id);
  if (!this->HasRoomFor(aPass, this->QueryOf(aView, first), aStep.Count())) {
    if (needsTicket) {
      this->RequestTickets(aView, first);
    } else {
      aPass.RecordGangMiss(step);
    }
    return 0;
  }
  const std::string rack = this->RackOf(aPass, job, aStep);
  std::uint32_t number = 0;
  for (const work::Task& member : members) {
    number = std::max(number, member.lastRun + 1);
  }
  const Candidate* last = nullptr;
  for (const std::uint32_t index : aStep.indexes) {
    const work::TaskRef task = aStep.Ref(aView.id, index);
    PlacementQuery query = this->QueryOf(aView, task);
    query.rack = rack;
    // Never null: each member takes a place that HasRoomFor has counted.
    this->ProposeStart(*this->ChooseNext(aPass, query, last), task, number);
  }
  return aStep.Count();
}

// Counts the places on all upstreams, so that a gang for which there are too
// few costs one look at each of them, however many members it has.
bool
Dispatcher::HasRoomFor(const PlanPass& aPass,
                       const PlacementQuery& aQuery,
                       std::uint32_t aCount)
{
  std::uint32_t left = aCount;
  for (const Candidate& candidate : aPass.Candidates()) {
    ++this->planSteps;
    left -= CountRoom(candidate, aQuery, left);
    if (left == 0) {
      return true;
    }
  }
  return false;
}

// aLast, if it is not null, is the best upstream for the task before. It stays
// the best one for the next task of the step, unless the score depends on the
// single task.
const Candidate*
Dispatcher::ChooseNext(const PlanPass& aPass,
                       const PlacementQuery& aQuery,
                       const Candidate*& aLast)
{
  const bool isLikeTheOthers = aQuery.avoid.empty() && aQuery.runs.empty() &&
                               aQuery.interference == nullptr;
  if (aLast != nullptr && isLikeTheOthers) {
    ++this->planSteps;
    if (Accepts(*aLast, aQuery)) {
      return aLast;
    }
  }
  this->planSteps += aPass.Candidates().size();
  const Candidate* chosen = ChooseUpstream(aPass.Candidates(), aQuery);
  aLast = isLikeTheOthers ? chosen : nullptr;
  return chosen;
}

PlacementQuery
Dispatcher::QueryOf(const JobView& aView, const work::TaskRef& aTask) const
{
  const work::Job& job = *this->FindJob(aTask.job);
  PlacementQuery query;
  query.step = &job.spec.steps[aTask.step];
  query.task = aTask;
  query.runs = job.Find(aTask)->runs;
  if (!this->interference.IsEmpty()) {
    query.interference = &this->interference;
    query.kind = KindOf(job.queue, *query.step, aTask.step);
  }
  if (const auto failed = this->failedOn.find(aTask);
      failed != this->failedOn.end()) {
    query.avoid = failed->second;
  }
  if (this->NeedsTicket(aView)) {
    query.hasTicket = [this, aTask](const InstanceId& aUpstream) {
      return !this->tickets.Find(StepOf(aTask), aUpstream, this->now).empty();
    };
  }
  return query;
}

void
Dispatcher::ProposeStart(const Candidate& aUpstream,
                         const work::TaskRef& aTask,
                         std::uint32_t aNumber)
{
  const work::Job& job = *this->FindJob(aTask.job);
  work::Run run;
  run.number = aNumber;
  run.upstream = *aUpstream.id;
  run.boot = aUpstream.session->record.boot;
  run.startedAt = this->wall;
  LiveRun live = DescribeRun(job, aTask, run);
  live.phaseSince = this->now;
  live.isSecond = !job.Find(aTask)->runs.empty();
  this->AddRun(*aUpstream.id, { aTask, aNumber }, std::move(live));
  this->proposedStarts.insert(aTask);
  this->startsLeft -= this->startsLeft > 0 ? 1 : 0;
  this->output.commands.emplace_back(work::StartRun{ aTask, run });
}

} // namespace hyssoppaddle::dispatch
