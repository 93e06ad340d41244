// Leadership of this node: taking office, proving it, handing it over to a
// faster voter, and what is known while nobody leads.
#include "node/NodeImpl.h"

#include "node/Clock.h"
#include "shell/Clock.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hyssoppaddle::node {

namespace {

using std::chrono::milliseconds;

// A transfer that fails keeps proposals back until its own time limit. The next
// one waits longer than that, because the disks of all voters may be full.
constexpr Duration kRefusedTransferInterval = std::chrono::seconds(3);
// Added to the election timeout of a slow replica. It exceeds the range of the
// timeouts of the others.
constexpr Duration kSlowCampaignDelay = milliseconds(600);
constexpr Duration kSpeedReportInterval = milliseconds(200);
// Name of the field in a report of a voter to the leader.
constexpr std::string_view kSlownessField = "slowness";

} // namespace

void
Node::Impl::CheckLeadership()
{
  const std::uint64_t leadingTerm =
    this->replica->HasCaughtUp() ? this->replica->RaftState().CurrentTerm() : 0;
  if (leadingTerm == this->dispatcherTerm) {
    return;
  }
  this->dispatcherTerm = leadingTerm;
  this->rejectedCommands.clear();
  if (leadingTerm == 0) {
    this->dispatcher->LoseLeadership();
    this->callQueue.DiscardAll(); // their routers send them to the next leader
    this->LogThrottled({ "leadership_lost", {}, {} });
    return;
  }
  this->takeover.OnStep(TakeoverStep::Ready, SuspendAwareNow());
  this->orderPermission.OnElected();
  this->handover.OnElected(SuspendAwareNow());
  this->dispatcher->BecomeLeader(
    leadingTerm, SuspendAwareNow(), shell::WallClockNow());
}

void
Node::Impl::ConfirmLeadership(Time aNow)
{
  if (!this->replica->IsLeader() ||
      this->replica->RaftState().IsTransferring()) {
    return;
  }
  if (const auto ticket = this->orderPermission.BeginRound()) {
    this->replica->Confirm(aNow, [this, ticket = *ticket](bool aConfirmed) {
      this->orderPermission.EndRound(ticket, aConfirmed);
    });
  }
}

void
Node::Impl::TransferLeadership(InstanceId aTo, Time aNow)
{
  this->StepReplica(agreement::TransferLeadership{ std::move(aTo) }, aNow);
  // It may have ended already, or found no voter.
  if (this->replica->RaftState().IsTransferring()) {
    this->orderPermission.OnTransfer();
  }
}

void
Node::Impl::MeasureSpeed(Time aNow)
{
  this->speedProbe.Tick(aNow);
  const bool shouldWait = this->storageRefuses ||
                          this->speedProbe.Slowness() >= HandoverPolicy::kSlow;
  this->replica->DelayCampaigns(shouldWait ? kSlowCampaignDelay : Duration(0));
}

void
Node::Impl::ReportSpeed(Time aNow)
{
  const InstanceId leader = this->cluster.Leader(aNow);
  if (aNow < this->nextSpeedReport || leader.empty() || leader == this->self) {
    return;
  }
  this->nextSpeedReport = aNow + kSpeedReportInterval;
  wire::RemoteReply report;
  report.token = wire::kReportToken;
  report.fields.push_back({ std::string(kSlownessField),
                            std::to_string(this->speedProbe.Slowness()) });
  this->peers->Send(leader, report);
}

void
Node::Impl::RecordSpeedReport(const InstanceId& aFrom,
                              const wire::RemoteReply& aReport)
{
  for (const wire::HeaderField& field : aReport.fields) {
    double slowness = 0;
    const char* end = field.value.data() + field.value.size();
    const auto [rest, error] =
      std::from_chars(field.value.data(), end, slowness);
    if (field.name == kSlownessField && error == std::errc() && rest == end) {
      this->handover.Record(aFrom, slowness, SuspendAwareNow());
    }
  }
}

void
Node::Impl::HandOverIfSlow(Time aNow)
{
  if (this->dispatcherTerm == 0 || this->stop.HasBegun()) {
    return;
  }
  const double slowness = this->speedProbe.Slowness();
  const auto next = this->handover.Choose(
    slowness,
    this->replica->RaftState().ActiveConfiguration().voters,
    this->self,
    aNow);
  if (!next) {
    return;
  }
  this->LogUnthrottled(
    { "leadership_handed_over",
      {},
      { { "to", next->value }, { "slowness", std::to_string(slowness) } } });
  this->TransferLeadership(*next, aNow);
}

// A leader that cannot write still commits what a majority of the others has
// written, but keeps everything in memory.
void
Node::Impl::HandOverIfStorageRefuses(Time aNow)
{
  const bool leads = this->dispatcherTerm != 0;
  if (!leads || !this->storageRefuses || this->stop.HasBegun() ||
      aNow < this->nextTransferAttempt) {
    return;
  }
  this->nextTransferAttempt = aNow + kRefusedTransferInterval;
  this->LogUnthrottled(
    { "leadership_handed_over", {}, { { "reason", "storage_refused" } } });
  this->TransferLeadership({}, aNow);
}

// Measures the first seconds in office.
void
Node::Impl::MeasureTakeover(Time aNow)
{
  if (!this->takeover.IsMeasuring()) {
    return;
  }
  const bool leads = this->dispatcherTerm != 0;
  if (leads) {
    const dispatch::Sessions& upstreams = this->dispatcher->Upstreams();
    const auto confirmed =
      std::count_if(upstreams.begin(), upstreams.end(), [](const auto& aItem) {
        return aItem.second.fenceConfirmed;
      });
    this->takeover.OnUpstreams(
      static_cast<std::size_t>(confirmed), upstreams.size(), aNow);
  }
  if (const auto report =
        this->takeover.TakeReport(this->replica->IsLeader(), aNow)) {
    this->LogUnthrottled(*report);
  }
}

LeaderAbsence
Node::Impl::Absence(Time aNow) const
{
  LeaderAbsence absence;
  if (this->lastCallTarget.empty()) {
    absence.lasted = aNow - this->callTargetLostAt;
  }
  for (const InstanceId& node : this->cluster.Replicas()) {
    ++absence.replicas;
    absence.reachable +=
      node == this->self || this->peers->IsConnected(node) ? 1 : 0;
  }
  if (absence.CanElect()) {
    absence.electable = std::min(absence.lasted, aNow - this->electableSince);
  }
  return absence;
}

// Must be called when a peer was connected or lost.
void
Node::Impl::CheckElectable(Time aNow)
{
  const bool couldElect =
    std::exchange(this->canElect, this->Absence(aNow).CanElect());
  if (this->canElect && !couldElect) {
    this->electableSince = aNow;
  }
}

InstanceId
Node::Impl::CallTarget()
{
  const Time now = SuspendAwareNow();
  const InstanceId leader = this->cluster.Leader(now);
  if (leader == this->self) {
    return this->dispatcherTerm != 0 ? leader : InstanceId();
  }
  // What is sent to a leader that has fallen silent may or may not be executed.
  // Until it is heard again, calls are held instead.
  const bool isHeard =
    this->peers->IsConnected(leader) && !this->cluster.IsOverdue(leader, now);
  return isHeard ? leader : InstanceId();
}

void
Node::Impl::RouteWaitingCalls()
{
  InstanceId target = this->CallTarget();
  if (target != this->lastCallTarget) {
    const Time now = SuspendAwareNow();
    if (target.empty()) {
      this->callTargetLostAt = now;
      this->takeover.OnLeaderLost(now);
    }
    this->lastCallTarget = std::move(target);
    this->router->Tick(now);
  }
}

} // namespace hyssoppaddle::node
