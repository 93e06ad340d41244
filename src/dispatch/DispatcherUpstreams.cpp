// The recorded upstreams: their boots, and the fencing tokens of these.
#include "dispatch/Dispatcher.h"

#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

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
  this->owner.arrivals.erase(next.instance);
  if (this->IsOrdered(next.instance) ||
      this->owner.unconfirmed.contains(next.instance)) {
    // The order may end this boot too.
    this->FindSession(aCommand.id)->evacuating = true;
  }
  this->dirtyServices.insert(next.service);
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
  next.endingRuns = aSession.endingRuns;
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
  this->runWatch.ForgetUpstream(aCommand.id);
  this->LogDecision(
    "upstream_removed", {}, { { "upstream", aCommand.id.value } });
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
