// Behaviour of the stand-in workers.
#include "Workers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr int kTickMs = 5;
constexpr int kReportMs = 1500;
constexpr int kReportLimitMs = 1000;
constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::int64_t kGangTimeoutMs = 3000;
constexpr std::int64_t kStopMs = 100;
constexpr std::int64_t kDrainMs = 2000;
// A worker goes on for a little longer than drain_ms after the confirmation.
constexpr std::int64_t kLingerMs = 1000;
constexpr std::int64_t kRestoreMs = 250;

std::int64_t
WallMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

std::string
StepOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

Reply
Answer(int aStatus, Json aBody)
{
  return { aStatus, aBody.dump(), {} };
}

} // namespace

Workers::Workers(Record& aRecord,
                 const Fleet& aFleet,
                 const std::vector<WorkerOptions>& aOptions)
  : record(aRecord)
{
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    this->controls.push_back(aFleet.Control(i));
  }
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    auto worker = std::make_unique<Worker>();
    const std::string name = std::to_string(i + 1);
    worker->id = "i-" + name;
    worker->machine = "m-" + name;
    worker->rack = "r-" + std::to_string(1 + i / 4);
    worker->address = aFleet.Other(i);
    worker->options = aOptions[i];
    worker->born = WallMs();
    worker->bootedAt = SteadyMs();
    Worker* raw = worker.get();
    worker->server =
      std::make_unique<Server>(worker->address, [this, raw](const Request& aR) {
        return this->Handle(*raw, aR);
      });
    this->workers.push_back(std::move(worker));
  }
  for (const auto& worker : this->workers) {
    Worker* raw = worker.get();
    worker->reporter = std::thread([this, raw] { this->Report(*raw); });
  }
  this->clock = std::thread([this] {
    while (this->WaitUnlessStopping(kTickMs)) {
      this->Advance();
    }
  });
}

Workers::~Workers()
{
  {
    const Lock lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->clock.join();
  for (const auto& worker : this->workers) {
    worker->reporter.join();
    worker->server.reset();
  }
}

bool
Workers::WaitUnlessStopping(int aMs)
{
  Lock lock(this->mutex);
  const auto until =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aMs);
  return !this->changed.wait_until(
    lock, until, [this] { return this->stopping; });
}

std::int64_t
Workers::ClockOf(const Worker& aWorker)
{
  return SteadyMs() - aWorker.bootedAt;
}

std::string
Workers::Describe(const SeenRun& aSeen) const
{
  return aSeen.task + " run " + std::to_string(aSeen.run) + " on " +
         aSeen.worker;
}

void
Workers::Drain(std::size_t aWorker)
{
  const Lock lock(this->mutex);
  this->workers[aWorker]->draining = true;
  this->record.Add(this->workers[aWorker]->id + " drains");
  this->changed.notify_all();
}

void
Workers::SetUnhealthy(std::size_t aWorker, bool aIsUnhealthy)
{
  const Lock lock(this->mutex);
  this->workers[aWorker]->unhealthy = aIsUnhealthy;
  this->record.Add(this->workers[aWorker]->id + (aIsUnhealthy
                                                   ? " refuses starts with 503"
                                                   : " takes starts again"));
}

std::vector<SeenRun>
Workers::Seen()
{
  const Lock lock(this->mutex);
  return this->seenRuns;
}

std::size_t
Workers::Refused()
{
  const Lock lock(this->mutex);
  return this->refused;
}

Reply
Workers::Handle(Worker& aWorker, const Request& aRequest)
{
  this->Advance();
  Lock lock(this->mutex);
  const auto expected = aRequest.headers.find("x-expected-instance");
  if (expected != aRequest.headers.end() && expected->second != aWorker.id) {
    return Answer(421, Json::object());
  }
  const Json body = Json::parse(aRequest.body, nullptr, false);
  if (!body.is_object()) {
    return Answer(400, Json::object());
  }
  const std::uint64_t fence = body.value("fencing_token", std::uint64_t{ 0 });
  if (fence < aWorker.fence) {
    return Answer(409,
                  { { "clock_ms", ClockOf(aWorker) }, { "reason", "fence" } });
  }
  if (aRequest.target == "/run-start") {
    return this->Start(aWorker, aRequest.body);
  }
  aWorker.fence = fence;
  if (aRequest.target == "/run-stop") {
    return this->Stop(aWorker, aRequest.body);
  }
  if (aRequest.target == "/hold") {
    return this->Hold(aWorker, aRequest.body, lock);
  }
  return Answer(200, { { "clock_ms", ClockOf(aWorker) } }); // /pace
}

void
Workers::Extend(Worker& aWorker, std::int64_t aDeadline)
{
  aWorker.lease =
    std::max(aWorker.lease, std::min(aDeadline, ClockOf(aWorker) + kMaxHoldMs));
}

Reply
Workers::Start(Worker& aWorker, const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  const std::string task = body.at("task");
  const std::uint64_t run = body.at("run");
  const std::int64_t now = SteadyMs();
  const auto refuse = [&](const char* aReason) {
    this->record.Add("start of " + task + " run " + std::to_string(run) +
                     " refused by " + aWorker.id + ": " + aReason);
    return Answer(409,
                  { { "clock_ms", ClockOf(aWorker) }, { "reason", aReason } });
  };
  if (aWorker.unhealthy) {
    ++this->refused;
    this->record.Add("start of " + task + " run " + std::to_string(run) +
                     " refused by " + aWorker.id + " with 503");
    return Answer(503, { { "clock_ms", ClockOf(aWorker) } });
  }
  aWorker.fence = body.value("fencing_token", std::uint64_t{ 0 });
  const std::int64_t deadline = body.value("deadline_ms", std::int64_t{ 0 });
  if (deadline <= ClockOf(aWorker)) {
    return refuse("late");
  }
  this->Extend(aWorker, deadline);
  if (aWorker.runs.contains({ task, run })) {
    return Answer(200, { { "clock_ms", ClockOf(aWorker) } });
  }
  const auto ended = aWorker.highestEnded.find(task);
  if (ended != aWorker.highestEnded.end() && run <= ended->second) {
    return refuse("old");
  }
  const Json spec = Json::parse(body.value("spec", "{}"));
  std::int64_t used = 0;
  for (const auto& [key, other] : aWorker.runs) {
    used += other.cpu;
  }
  Running running;
  running.cpu = spec.value("cpu", std::int64_t{ 0 });
  if (used + running.cpu > aWorker.options.cpu) {
    return refuse("room");
  }
  const std::string checkpoint = body.value("checkpoint", "");
  running.seen = this->seenRuns.size();
  running.step = StepOf(task);
  running.workMs = spec.value("work_ms", std::int64_t{ 1000 });
  running.saveMs = spec.value("save_ms", std::int64_t{ 0 });
  running.gang = spec.value("gang", std::size_t{ 0 });
  running.fails = spec.value("fails", false);
  running.waitsSince = now;
  running.saved = checkpoint;
  if (!checkpoint.empty()) {
    running.doneBefore = this->workOfCheckpoint[checkpoint];
  }
  if (running.gang == 0) {
    running.workingSince = now + (checkpoint.empty() ? 0 : kRestoreMs);
  }
  this->seenRuns.push_back(
    { task, run, aWorker.id, checkpoint, this->record.Now(), -1, "", -1 });
  this->record.Add("start of " + this->Describe(this->seenRuns.back()) +
                   (checkpoint.empty() ? "" : ", checkpoint " + checkpoint));
  aWorker.runs[{ task, run }] = running;
  return Answer(200, { { "clock_ms", ClockOf(aWorker) } });
}

Reply
Workers::Stop(Worker& aWorker, const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  const std::string task = body.at("task");
  const std::uint64_t run = body.at("run");
  this->record.Add("stop of " + task + " run " + std::to_string(run) + " at " +
                   aWorker.id);
  const auto found = aWorker.runs.find({ task, run });
  if (found == aWorker.runs.end()) {
    std::uint64_t& highest = aWorker.highestEnded[task];
    highest = std::max(highest, run);
  } else if (found->second.stopsAt < 0) {
    found->second.stopsAt = SteadyMs() + kStopMs;
  }
  return Answer(200, { { "clock_ms", ClockOf(aWorker) } });
}

Reply
Workers::Hold(Worker& aWorker, const std::string& aBody, Lock& aLock)
{
  const Json body = Json::parse(aBody);
  this->Extend(aWorker, body.value("deadline_ms", std::int64_t{ 0 }));
  const std::uint64_t seen = body.value("last_seen", std::uint64_t{ 0 });
  while (!aWorker.ends.empty() && aWorker.ends.front().number <= seen) {
    SeenRun& noted = this->seenRuns[aWorker.ends.front().seen];
    noted.notedAt = this->record.Now();
    this->record.Add("end of " + this->Describe(noted) + " is taken note of");
    aWorker.ends.pop_front();
  }
  const std::int64_t wait =
    std::min(body.value("wait_ms", std::int64_t{ 0 }), kMaxWaitMs);
  const auto until =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
  this->changed.wait_until(
    aLock, until, [&] { return this->stopping || !aWorker.ends.empty(); });
  Json running = Json::array();
  const std::int64_t now = SteadyMs();
  for (const auto& [key, item] : aWorker.runs) {
    const std::int64_t worked =
      item.workingSince < 0
        ? 0
        : item.doneBefore + std::max<std::int64_t>(0, now - item.workingSince);
    running.push_back({ key.first,
                        key.second,
                        item.saved,
                        std::min<std::int64_t>(99, worked * 100 / item.workMs),
                        item.cpu });
  }
  Json ended = Json::array();
  for (const End& item : aWorker.ends) {
    const SeenRun& seenRun = this->seenRuns[item.seen];
    ended.push_back(
      { item.number, seenRun.task, seenRun.run, seenRun.how, item.saved });
  }
  return Answer(200,
                { { "clock_ms", ClockOf(aWorker) },
                  { "born", aWorker.born },
                  { "running", running },
                  { "ended", ended } });
}

void
Workers::Advance()
{
  const Lock lock(this->mutex);
  const std::int64_t now = SteadyMs();
  this->StartCompleteGangs(now);
  for (const auto& worker : this->workers) {
    this->AdvanceOne(*worker, now);
  }
}

// The subtasks of a gang work from the moment when all of one run are present
// with the same checkpoint.
void
Workers::StartCompleteGangs(std::int64_t aNow)
{
  std::map<std::pair<std::string, std::uint64_t>, std::vector<Running*>> gangs;
  for (const auto& worker : this->workers) {
    for (auto& [key, running] : worker->runs) {
      if (running.gang > 0) {
        gangs[{ running.step, key.second }].push_back(&running);
      }
    }
  }
  for (auto& [key, members] : gangs) {
    const auto isSame = [&](const Running* aMember) {
      return aMember->workingSince < 0 &&
             this->seenRuns[aMember->seen].checkpoint ==
               this->seenRuns[members.front()->seen].checkpoint;
    };
    if (members.size() < members.front()->gang ||
        !std::all_of(members.begin(), members.end(), isSame)) {
      continue;
    }
    const bool resumes =
      !this->seenRuns[members.front()->seen].checkpoint.empty();
    for (Running* member : members) {
      member->workingSince = aNow + (resumes ? kRestoreMs : 0);
    }
    this->record.Add("gang " + key.first + " run " +
                     std::to_string(key.second) + " works");
  }
}

// A new value after each save_ms of work, and one at a stop.
void
Workers::Save(Running& aRun, std::int64_t aNow, bool aIsStop)
{
  if (aRun.saveMs == 0 || aRun.workingSince < 0 || aNow < aRun.workingSince) {
    return;
  }
  const std::int64_t worked = aNow - aRun.workingSince;
  if (!aIsStop && worked / aRun.saveMs <= aRun.savedSteps) {
    return;
  }
  aRun.savedSteps = worked / aRun.saveMs;
  const SeenRun& seen = this->seenRuns[aRun.seen];
  const std::int64_t total = aRun.doneBefore + worked;
  aRun.saved = "c" + seen.task.substr(seen.task.rfind('.') + 1) + "-" +
               std::to_string(seen.run) + "-" + std::to_string(total);
  this->workOfCheckpoint[aRun.saved] = total;
}

void
Workers::AdvanceOne(Worker& aWorker, std::int64_t aNow)
{
  std::vector<std::pair<std::pair<std::string, std::uint64_t>, std::string>>
    ends;
  const bool lapsed = ClockOf(aWorker) >= aWorker.lease;
  for (auto& [key, running] : aWorker.runs) {
    this->Save(running, aNow, false);
    const bool works = running.workingSince >= 0;
    const bool isOver =
      works &&
      running.doneBefore + aNow - running.workingSince >= running.workMs;
    if (running.stopsAt >= 0 && aNow >= running.stopsAt) {
      this->Save(running, aNow, true);
      ends.emplace_back(key, "stopped");
    } else if (lapsed) {
      ends.emplace_back(key, "lapsed");
    } else if (isOver) {
      ends.emplace_back(key, running.fails ? "failed" : "done");
    } else if (running.gang > 0 && !works &&
               aNow - running.waitsSince >= kGangTimeoutMs) {
      ends.emplace_back(key, "alone");
    }
  }
  for (const auto& [key, how] : ends) {
    this->Finish(aWorker, key, how, aNow);
  }
}

void
Workers::Finish(Worker& aWorker,
                const std::pair<std::string, std::uint64_t>& aKey,
                const std::string& aHow,
                std::int64_t aNow)
{
  const auto found = aWorker.runs.find(aKey);
  if (found == aWorker.runs.end()) {
    return; // ended together with its gang
  }
  const Running running = found->second;
  aWorker.runs.erase(found);
  std::uint64_t& highest = aWorker.highestEnded[aKey.first];
  highest = std::max(highest, aKey.second);
  SeenRun& seen = this->seenRuns[running.seen];
  seen.endedAt = this->record.Now();
  seen.how = aHow;
  aWorker.ends.push_back({ ++aWorker.lastEnd, running.seen, running.saved });
  this->record.Add(
    "end of " + this->Describe(seen) + ": " + aHow +
    (running.saved.empty() ? "" : ", checkpoint " + running.saved));
  this->changed.notify_all();
  if (running.gang == 0 || running.workingSince < 0) {
    return;
  }
  for (const auto& other : this->workers) {
    std::vector<std::pair<std::string, std::uint64_t>> members;
    for (const auto& [key, item] : other->runs) {
      if (item.step == running.step && key.second == aKey.second) {
        members.push_back(key);
      }
    }
    for (const auto& member : members) {
      this->Finish(*other, member, aHow == "done" ? "done" : "broken", aNow);
    }
  }
}

void
Workers::Report(Worker& aWorker)
{
  std::size_t next = 0;
  for (;;) {
    Json report;
    {
      const Lock lock(this->mutex);
      if (this->stopping) {
        return;
      }
      report = { { "service", aWorker.options.service },
                 { "address", aWorker.address },
                 { "zone", "zone-1" },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", aWorker.draining ? "draining" : "ready" },
                 { "cold_remaining_ms", 0 },
                 { "capacity",
                   { { "cpu", aWorker.options.cpu },
                     { "mem_mb", 65536 },
                     { "gpu", 0 } } },
                 { "labels", { "a", aWorker.rack } },
                 { "machine", aWorker.machine },
                 { "born", aWorker.born },
                 { "clock_ms", ClockOf(aWorker) },
                 { "sequence", ++aWorker.sequence } };
      if (aWorker.draining) {
        const std::int64_t drained = aWorker.drainConfirmedAt < 0
                                       ? 0
                                       : SteadyMs() - aWorker.drainConfirmedAt;
        report["remaining_ms"] = std::max<std::int64_t>(kDrainMs - drained, 0);
      }
    }
    const bool isDraining = report["state"] == "draining";
    const Reply reply =
      Send(this->controls[next % this->controls.size()],
           { "PUT", "/instances/" + aWorker.id, {}, report.dump() },
           kReportLimitMs);
    if (reply.status / 100 != 2) {
      ++next;
      if (!this->WaitUnlessStopping(100)) {
        return;
      }
      continue;
    }
    Lock lock(this->mutex);
    if (isDraining && aWorker.drainConfirmedAt < 0) {
      aWorker.drainConfirmedAt = SteadyMs();
      this->record.Add(aWorker.id + ": its drain is confirmed");
    }
    const std::int64_t leavesAt =
      aWorker.drainConfirmedAt + kDrainMs + kLingerMs;
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(kReportMs);
    this->changed.wait_until(lock, until, [&] {
      return this->stopping || isDraining != aWorker.draining ||
             (isDraining && SteadyMs() >= leavesAt);
    });
    if (isDraining && SteadyMs() >= leavesAt) {
      break;
    }
  }
  Send(this->controls[next % this->controls.size()],
       { "DELETE", "/instances/" + aWorker.id, {}, {} },
       kReportLimitMs);
  Lock lock(this->mutex);
  this->record.Add(aWorker.id + " leaves");
  aWorker.left = true;
  for (const auto& [key, running] : aWorker.runs) {
    this->seenRuns[running.seen].endedAt = this->record.Now();
    this->seenRuns[running.seen].how = "left";
  }
  aWorker.runs.clear();
  lock.unlock();
  aWorker.server.reset();
}

} // namespace review
