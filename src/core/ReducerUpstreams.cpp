// Announcements that upstreams send to this entry instance, and the leader's
// decision that an upstream is silent.
#include "core/ReducerImpl.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace hyssoppaddle::core {

namespace {

constexpr Duration kMinAnnounceInterval = std::chrono::seconds(1);
// Target rate of announcements per entry instance. An announcement over HTTP
// costs about 100 us of CPU time, and the CPU budget is 1.2% of a core, which
// is 12 ms per second.
constexpr double kAnnouncementsPerSecondPerEntry = 50;
// An entry instance that has missed two renewals may no longer receive
// announcements. The upstreams it heard are then suspected, which defers
// planned stops: the loss of a data centre takes down upstreams together with
// the entry instances that watch them.
constexpr Duration kEntryRenewalTimeout = std::chrono::milliseconds(2500);
// Usage reports that differ from the recorded usage by less than this fraction
// are not written to the log.
constexpr double kUsageChangeFraction = 0.1;

bool
DiffersByFraction(std::int64_t aLeft, std::int64_t aRight)
{
  const double scale =
    static_cast<double>(std::max(std::abs(aLeft), std::abs(aRight)));
  return std::abs(static_cast<double>(aLeft - aRight)) >
         kUsageChangeFraction * scale;
}

bool
HasUsageChanged(const state::Resources& aOld, const state::Resources& aNew)
{
  return DiffersByFraction(aOld.milliCpus, aNew.milliCpus) ||
         DiffersByFraction(aOld.memoryMb, aNew.memoryMb) ||
         aOld.accelerators != aNew.accelerators;
}

} // namespace

bool
Reducer::Impl::ReportNeedsLogging(const InstanceId& aInstance,
                                  const state::TaskReport& aReport) const
{
  const auto job = this->state.Jobs().find(aReport.job);
  if (job == this->state.Jobs().end() || !job->second.task) {
    return false;
  }
  const state::TaskRecord& task = *job->second.task;
  if (task.epoch != aReport.epoch || task.instance != aInstance) {
    return false;
  }
  return task.state != aReport.state ||
         HasUsageChanged(task.usage, aReport.usage) ||
         this->taskLeaseAges.IsRenewalDue(
           aReport.job,
           task,
           this->now,
           std::max(this->wallNow, this->state.Now()));
}

void
Reducer::Impl::On(const AnnouncementReceived& aEvent)
{
  const state::Announcement& announcement = aEvent.announcement;
  const auto stored = this->state.Upstreams().find(announcement.instance);
  if (stored != this->state.Upstreams().end()) {
    const state::Announcement& last = stored->second.announcement;
    const bool isStale =
      std::tie(announcement.bootedAtMs, announcement.boot) <
        std::tie(last.bootedAtMs, last.boot) ||
      (announcement.boot == last.boot && announcement.sequence < last.sequence);
    if (isStale) {
      this->effects.emplace_back(AnswerAnnouncement{ aEvent.token,
                                                     false,
                                                     last.bootedAtMs,
                                                     last.sequence,
                                                     this->AnnounceInterval(),
                                                     {} });
      return;
    }
  }
  if (this->NeedsUpdate(announcement)) {
    state::Command command;
    command.body = state::UpdateUpstream{ announcement };
    this->Submit(Origin{}, std::move(command));
  }
  if (announcement.state == state::UpstreamState::Serving) {
    this->watch.RecordAnnouncement(
      announcement, this->AnnounceInterval(), this->now);
  }
  this->pendingEvents.emplace_back(
    request::Event(request::UpstreamAnnounced{ announcement }));
  this->SubmitReports(aEvent);
  this->ProcessPendingEvents();
  this->ReplyToAnnouncement(aEvent);
}

void
Reducer::Impl::ReplyToAnnouncement(const AnnouncementReceived& aEvent)
{
  AnswerAnnouncement answer;
  answer.token = aEvent.token;
  answer.interval = this->AnnounceInterval();
  if (this->isLeader) {
    answer.instructions = this->planner.PendingInstructions(
      aEvent.announcement.instance, this->now);
    for (planner::Instruction& instruction : answer.instructions) {
      instruction.boot = this->BootFor(instruction);
    }
    std::erase_if(answer.instructions,
                  [&](const planner::Instruction& aInstruction) {
                    return aInstruction.boot != aEvent.announcement.boot;
                  });
  }
  this->effects.emplace_back(std::move(answer));
}

void
Reducer::Impl::SubmitReports(const AnnouncementReceived& aEvent)
{
  const InstanceId& instance = aEvent.announcement.instance;
  state::ReportTasks report;
  report.instance = instance;
  report.boot = aEvent.announcement.boot;
  for (const state::TaskReport& task : aEvent.reports) {
    if (this->ReportNeedsLogging(instance, task)) {
      report.reports.push_back(task);
    }
  }
  if (this->isLeader && !aEvent.reports.empty()) {
    this->pendingEvents.emplace_back(
      planner::Event(planner::UsageReported{ instance, aEvent.reports }));
  }
  if (report.reports.empty()) {
    return;
  }
  state::Command command;
  command.body = std::move(report);
  this->Submit(Origin{}, std::move(command));
}

Duration
Reducer::Impl::AnnounceInterval() const
{
  const auto upstreams = static_cast<double>(this->state.Upstreams().size());
  const auto entries =
    static_cast<double>(std::max<std::size_t>(this->state.Entries().size(), 1));
  const double seconds =
    upstreams / (entries * kAnnouncementsPerSecondPerEntry);
  const Duration scaled{ static_cast<Duration::rep>(seconds * 1e6) };
  return std::max(kMinAnnounceInterval, scaled);
}

bool
Reducer::Impl::NeedsUpdate(const state::Announcement& aNew) const
{
  const auto stored = this->state.Upstreams().find(aNew.instance);
  if (stored == this->state.Upstreams().end()) {
    return true;
  }
  if (stored->second.state != aNew.state) {
    return true;
  }
  state::Announcement comparable = aNew;
  comparable.sequence = stored->second.announcement.sequence;
  return !(comparable == stored->second.announcement);
}

void
Reducer::Impl::FlushLiveness()
{
  while (this->watch.HasQueue() && !this->leader.empty()) {
    wire::UpstreamLivenessBatch batch{ this->watch.TakeQueue() };
    if (this->isLeader) {
      this->On(this->options.self, batch);
    } else {
      this->SendTo(this->leader, std::move(batch));
    }
  }
}

void
Reducer::Impl::On(const InstanceId& aFrom,
                  const wire::UpstreamLivenessBatch& aMessage)
{
  if (!this->isLeader) {
    // The leader queries which entry instances still hear these upstreams.
    for (const wire::UpstreamLiveness& queried : aMessage.upstreams) {
      this->watch.QueueIfNewer(
        queried.instance, queried.boot, queried.sequence);
    }
    this->FlushLiveness();
    return;
  }
  wire::UpstreamLivenessBatch query;
  for (const wire::UpstreamLiveness& reported : aMessage.upstreams) {
    if (this->liveness.Report(aFrom, reported, this->now)) {
      query.upstreams.push_back(reported);
    }
  }
  this->QueryEntries(std::move(query));
}

// Queries all entry instances. Those that still hear one of these upstreams
// answer with UpstreamLivenessBatch.
void
Reducer::Impl::QueryEntries(wire::UpstreamLivenessBatch aQuery)
{
  if (aQuery.upstreams.empty()) {
    return;
  }
  for (const wire::UpstreamLiveness& queried : aQuery.upstreams) {
    this->watch.QueueIfNewer(queried.instance, queried.boot, queried.sequence);
  }
  for (const auto& [entry, contact] : this->contacts) {
    if (entry != this->options.self) {
      this->SendTo(entry, aQuery);
    }
  }
}

void
Reducer::Impl::CheckSilence()
{
  this->watch.CollectSilent(this->now);
  if (!this->isLeader) {
    return;
  }
  for (state::MarkUpstreamSilent& silent :
       this->liveness.TakeSilent(this->now)) {
    const auto record = this->state.Upstreams().find(silent.instance);
    if (record == this->state.Upstreams().end() ||
        record->second.state == state::UpstreamState::Silent) {
      continue;
    }
    state::Command command;
    command.body = std::move(silent);
    this->Submit(Origin{}, std::move(command));
  }
  this->ProcessPendingEvents();
}

void
Reducer::Impl::CheckEntries()
{
  if (!this->isLeader) {
    return;
  }
  for (const auto& [entry, contact] : this->contacts) {
    if (this->now - contact.lastHeard > kEntryRenewalTimeout) {
      this->QueryEntries(
        { this->liveness.SuspectUpstreamsOf(entry, this->now) });
    }
  }
}

void
Reducer::Impl::StartLiveness()
{
  std::vector<state::Announcement> expected;
  for (const auto& [instance, record] : this->state.Upstreams()) {
    if (record.state == state::UpstreamState::Serving) {
      expected.push_back(record.announcement);
    }
  }
  this->liveness.Start(expected, this->now);
}

} // namespace hyssoppaddle::core
