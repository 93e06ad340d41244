// Filters and scores the upstreams for one task.
#include "dispatch/Placement.h"
#include "dispatch/Interference.h"

#include <algorithm>
#include <tuple>

namespace hyssoppaddle::dispatch {

namespace {

// New starts avoid an upstream from this many unanswered requests until it
// answers again.
constexpr std::uint32_t kUnansweredLimit = 1;

// Best-effort tasks disturb serving tasks, so upstreams with fewer long-running
// tasks of the other kind are preferred.
std::int64_t
Disturbance(const UpstreamSession& aSession, const work::Step& aStep)
{
  if (!aStep.longRunning && !aStep.fills) {
    return 0;
  }
  return aStep.fills ? aSession.servingRuns : aSession.bestEffortRuns;
}

// Number of runs that would slow down the task, or that it would slow down.
std::int64_t
CountIncompatible(const UpstreamSession& aSession, const PlacementQuery& aQuery)
{
  if (aQuery.interference == nullptr) {
    return 0;
  }
  return std::count_if(
    aSession.runs.begin(), aSession.runs.end(), [&](const auto& aItem) {
      return !aQuery.interference->AreCompatible(aItem.second.kind,
                                                 aQuery.kind);
    });
}

Refusal
RefusalOf(const Candidate& aCandidate, const PlacementQuery& aQuery)
{
  const work::Step& step = *aQuery.step;
  const UpstreamSession& session = *aCandidate.session;
  const state::Resources free = session.Free();
  const state::Resources need = SizeInRoom(step);
  if (need.milliCpus > free.milliCpus) {
    return Refusal::Cores;
  }
  if (need.memoryMb > free.memoryMb) {
    return Refusal::Memory;
  }
  if (need.accelerators > free.accelerators) {
    return Refusal::Accelerators;
  }
  if (!step.requiredLabel.empty() &&
      !HasLabel(session.record, step.requiredLabel)) {
    return Refusal::Label;
  }
  const bool hasRun = std::any_of(
    aQuery.runs.begin(), aQuery.runs.end(), [&](const work::Run& aRun) {
      return aRun.upstream == *aCandidate.id;
    });
  if (hasRun || (step.maxPerUpstream > 0 &&
                 CountOfStep(session, aQuery.task) >= step.maxPerUpstream)) {
    return Refusal::StepLimit;
  }
  // A long-running task can wait for its start, but must not wait for room.
  if (session.isSlow && session.endingRuns > 0 && !step.longRunning) {
    return Refusal::Slow;
  }
  const bool mayRun = !aQuery.hasTicket || aQuery.hasTicket(*aCandidate.id);
  return mayRun ? Refusal::None : Refusal::Ticket;
}

} // namespace

bool
HasLabel(const work::Upstream& aRecord, const std::string& aLabel)
{
  const auto& labels = aRecord.labels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

bool
IsUsable(const UpstreamSession& aSession, Time aNow)
{
  return aSession.fenceConfirmed && !aSession.record.draining &&
         !aSession.evacuating && !aSession.dataCentreEvacuating &&
         !aSession.departedAt && !aSession.otherBootSeenAt &&
         aSession.unanswered < kUnansweredLimit && aNow >= aSession.avoidUntil;
}

std::vector<Candidate>
FindCandidates(Sessions& aSessions, const ServiceId& aService, Time aNow)
{
  std::vector<Candidate> candidates;
  for (auto& [id, session] : aSessions) {
    if (session.record.service == aService && IsUsable(session, aNow)) {
      candidates.push_back({ &id, &session });
    }
  }
  return candidates;
}

std::uint32_t
CountOfStep(const UpstreamSession& aSession, const work::TaskRef& aTask)
{
  work::TaskRef first = aTask;
  first.index = 0;
  std::uint32_t count = 0;
  for (auto run = aSession.runs.lower_bound({ first, 0 });
       run != aSession.runs.end();
       ++run) {
    const work::TaskRef& task = run->first.first;
    if (task.job != aTask.job || task.occurrence != aTask.occurrence ||
        task.step != aTask.step) {
      break;
    }
    ++count;
  }
  return count;
}

state::Resources
SizeInRoom(const work::Step& aStep)
{
  state::Resources size = aStep.size;
  if (aStep.fills) {
    size.milliCpus = 0;
  }
  return size;
}

bool
Accepts(const Candidate& aCandidate, const PlacementQuery& aQuery)
{
  return RefusalOf(aCandidate, aQuery) == Refusal::None;
}

std::uint32_t
CountRoom(const Candidate& aCandidate,
          const PlacementQuery& aQuery,
          std::uint32_t aMost)
{
  if (!Accepts(aCandidate, aQuery)) {
    return 0;
  }
  const work::Step& step = *aQuery.step;
  const UpstreamSession& session = *aCandidate.session;
  if (session.isSlow && !step.longRunning) {
    return std::min(1U, aMost);
  }
  std::uint32_t most = aMost;
  if (step.maxPerUpstream > 0) {
    most =
      std::min(most, step.maxPerUpstream - CountOfStep(session, aQuery.task));
  }
  return SizeInRoom(step).CountInto(session.Free(), most);
}

bool
HasLastingRoom(std::span<const Candidate> aCandidates,
               const PlacementQuery& aQuery)
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aCandidate) {
      return !aCandidate.session->maintenanceDue && Accepts(aCandidate, aQuery);
    });
}

const Candidate*
ChooseUpstream(std::span<const Candidate> aCandidates,
               const PlacementQuery& aQuery)
{
  const work::Step& step = *aQuery.step;
  using Score = std::
    tuple<bool, bool, bool, bool, std::uint32_t, std::int64_t, std::int64_t>;
  std::optional<Score> best;
  const Candidate* chosen = nullptr;
  for (const Candidate& candidate : aCandidates) {
    const UpstreamSession& session = *candidate.session;
    const InstanceId& id = *candidate.id;
    if (!Accepts(candidate, aQuery)) {
      continue;
    }
    const std::string& wanted =
      step.dataRack.empty() ? aQuery.rack : step.dataRack;
    const bool isOffRack = !wanted.empty() && session.record.Rack() != wanted;
    const Score score{ id == aQuery.avoid,
                       session.isSlow,
                       isOffRack,
                       step.longRunning && session.maintenanceDue,
                       session.consecutiveFailures,
                       Disturbance(session, step) +
                         CountIncompatible(session, aQuery),
                       session.Free().milliCpus };
    if (!best || score < *best) {
      best = score;
      chosen = &candidate;
    }
  }
  return chosen;
}

RefusalCounts
CountRefusals(std::span<const Candidate> aCandidates,
              const PlacementQuery& aQuery)
{
  RefusalCounts counts{};
  for (const Candidate& candidate : aCandidates) {
    ++counts[static_cast<std::size_t>(RefusalOf(candidate, aQuery))];
  }
  return counts;
}

} // namespace hyssoppaddle::dispatch
