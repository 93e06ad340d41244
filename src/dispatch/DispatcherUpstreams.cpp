// The recorded upstreams: their boots, the fencing tokens of these, and the
// evacuation of their data centres.
#include "dispatch/Dispatcher.h"

#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

constexpr Duration kEvacuationInterval = milliseconds(100);
constexpr Duration kEvacuationLogInterval = seconds(1);
// Moves of idle instances for each check. The owner of the instances limits the
// rate of all orders.
constexpr std::size_t kMaxReleased = 4;

} // namespace

void
Dispatcher::On(const work::SetUpstream& aCommand, work::Verdict aVerdict)
{
  if (aVerdict != work::Verdict::Done) {
    return;
  }
  const auto& next = aCommand.upstream;
  this->CountBoot(aCommand.id, next.boot);
  UpstreamSession* session = this->FindSession(aCommand.id);
  if (session == nullptr) {
    this->sessions.emplace(
      aCommand.id,
      UpstreamSession(
        next, LeaseClock(this->now, this->options.LongestLease()), this->now));
  } else if (session->record.boot != next.boot) {
    this->ReplaceBoot(aCommand.id, *session, next);
  } else {
    session->record = next;
  }
  this->FindSession(aCommand.id)->dataCentreEvacuating =
    this->state.IsEvacuating(next.dataCentre);
  this->owner.arrivals.erase(next.instance);
  if (this->IsOrdered(next.instance) ||
      this->owner.unconfirmed.contains(next.instance)) {
    // The order may end this boot too.
    this->FindSession(aCommand.id)->evacuating = true;
  }
  this->dirtyServices.insert(next.service);
  this->fleetChanged = true;
  this->LogDecision("upstream_recorded",
                    {},
                    { { "upstream", aCommand.id.value },
                      { "boot", Text(next.boot) },
                      { "service", next.service.value },
                      { "instance", next.instance },
                      { "draining", next.draining ? "yes" : "no" } });
}

// Keeps the runs: the order to start a run names the upstream by its ID, so the
// new boot may have carried it out. Its task lists show which runs it has.
void
Dispatcher::ReplaceBoot(const InstanceId& aId,
                        UpstreamSession& aSession,
                        const work::Upstream& aNext)
{
  const Duration longest = this->options.LongestLease();
  UpstreamSession next(
    aNext, LeaseClock(this->now + longest, longest), this->now);
  // It may still carry out orders to the earlier boot.
  next.otherBootSeenAt = this->now;
  next.runs = std::move(aSession.runs);
  next.used = aSession.used;
  next.longRunningUse = aSession.longRunningUse;
  next.fillingRuns = aSession.fillingRuns;
  next.endingRuns = aSession.endingRuns;
  next.servingRuns = aSession.servingRuns;
  next.bestEffortRuns = aSession.bestEffortRuns;
  this->runWatch.ForgetUpstream(aId);
  for (auto& [key, live] : next.runs) {
    // The earlier boot may have accepted the stop.
    live.stopInFlight = false;
    live.stopConfirmed.reset();
    live.lossProposed = false;
    live.listed = false;
  }
  std::erase_if(this->orders, [&](const auto& aItem) {
    const Order& order = aItem.second;
    return order.upstream == aId && (order.isStop || order.isPace);
  });
  aSession = std::move(next);
}

void
Dispatcher::On(const work::RemoveUpstream& aCommand, work::Verdict /*aVerdict*/)
{
  UpstreamSession* session = this->FindSession(aCommand.id);
  if (session == nullptr) {
    return;
  }
  while (!session->runs.empty()) {
    this->DropRun(aCommand.id, session->runs.begin()->first);
  }
  this->sessions.erase(aCommand.id);
  this->fleetChanged = true;
  this->runWatch.ForgetUpstream(aCommand.id);
  this->LogDecision(
    "upstream_removed", {}, { { "upstream", aCommand.id.value } });
}

void
Dispatcher::On(const work::SetEvacuation& aCommand, work::Verdict aVerdict)
{
  if (aVerdict != work::Verdict::Done) {
    return;
  }
  const bool evacuating = this->state.IsEvacuating(aCommand.dataCentre);
  std::size_t upstreams = 0;
  std::size_t runs = 0;
  for (auto& [id, session] : this->sessions) {
    if (session.record.dataCentre != aCommand.dataCentre) {
      continue;
    }
    session.dataCentreEvacuating = evacuating;
    this->dirtyServices.insert(session.record.service);
    ++upstreams;
    runs += session.runs.size();
  }
  this->recentLoads.clear(); // measured with other upstreams
  this->LogDecision(aCommand.requested ? "evacuation_ordered"
                                       : "evacuation_withdrawn",
                    {},
                    { { "data_centre", aCommand.dataCentre.value },
                      { "by", aCommand.by },
                      { "upstreams", Text(upstreams) },
                      { "runs", Text(runs) },
                      { "services_without_upstreams",
                        Text(ServicesWithoutUpstreams(this->sessions)) } });
}

void
Dispatcher::EvacuateDataCentres()
{
  if (this->state.Tables().evacuations.empty() ||
      this->now < this->nextEvacuationCheckAt) {
    return;
  }
  this->nextEvacuationCheckAt = this->now + kEvacuationInterval;
  this->MoveLongRunningAhead();
  this->ReleaseIdleInstances();
  this->LogEvacuations();
}

void
Dispatcher::LogEvacuations()
{
  if (this->now - this->evacuationsLoggedAt < kEvacuationLogInterval) {
    return;
  }
  this->evacuationsLoggedAt = this->now;
  const std::string without = Text(ServicesWithoutUpstreams(this->sessions));
  for (const EvacuationProgress& progress : this->Evacuations(this->now)) {
    this->LogDecision("evacuation_progress",
                      {},
                      { { "data_centre", progress.dataCentre.value },
                        { "by", progress.order.by },
                        { "since_ms", Text(this->wall - progress.order.since) },
                        { "upstreams", Text(progress.upstreams) },
                        { "tasks", Text(progress.tasks) },
                        { "long_running", Text(progress.longRunning) },
                        { "expected_end_ms", Text(progress.expectedEnd) },
                        { "services_without_upstreams", without } });
  }
}

const work::Service*
Dispatcher::StandbyPool() const
{
  const auto& services = this->state.CurrentSetup().services;
  const auto found = std::find_if(
    services.begin(), services.end(), [](const work::Service& aService) {
      return aService.standby;
    });
  return found == services.end() ? nullptr : &*found;
}

bool
Dispatcher::IsInEvacuation(const std::string& aInstance) const
{
  const auto row = this->owner.instances.find(aInstance);
  return row != this->owner.instances.end() &&
         this->state.IsEvacuating(row->second.dataCentre);
}

void
Dispatcher::ReleaseIdleInstances()
{
  const work::Service* standby = this->StandbyPool();
  if (standby == nullptr || !this->owner.hasList) {
    return;
  }
  std::vector<std::string> idle;
  for (const auto& [id, session] : this->sessions) {
    const std::string& instance = session.record.instance;
    const bool isIdle = session.dataCentreEvacuating && session.runs.empty() &&
                        session.fenceConfirmed && session.unanswered == 0 &&
                        !session.record.draining && !session.evacuating &&
                        !session.departedAt;
    if (isIdle && !instance.empty() && this->IsFree(instance) &&
        session.record.service != standby->name) {
      idle.push_back(instance);
    }
    if (idle.size() == kMaxReleased) {
      break;
    }
  }
  for (const std::string& instance : idle) {
    this->OrderMove({ instance, standby->name });
  }
}

std::uint64_t
Dispatcher::FenceOf(const InstanceId& aId) const
{
  constexpr std::uint64_t kBootsPerTerm = 1000;
  const auto found = this->bootCounts.find(aId);
  const std::uint64_t replaced =
    found == this->bootCounts.end() ? 0 : found->second.replaced;
  return this->term * kBootsPerTerm + std::min(replaced, kBootsPerTerm - 1);
}

void
Dispatcher::CountBoot(const InstanceId& aId, std::uint64_t aBoot)
{
  const auto [entry, isNew] = this->bootCounts.try_emplace(aId, aBoot);
  if (!isNew && entry->second.boot != aBoot) {
    entry->second.boot = aBoot;
    ++entry->second.replaced;
  }
}

} // namespace hyssoppaddle::dispatch
