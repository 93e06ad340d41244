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
constexpr int kRetryMs = 100;
constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::int64_t kStopMs = 100;

std::int64_t
WallMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
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

std::vector<SeenRun>
Workers::Seen()
{
  const Lock lock(this->mutex);
  return this->seenRuns;
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
  const auto refuse = [&](const char* aReason) {
    this->record.Add("start of " + task + " run " + std::to_string(run) +
                     " refused by " + aWorker.id + ": " + aReason);
    return Answer(409,
                  { { "clock_ms", ClockOf(aWorker) }, { "reason", aReason } });
  };
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
  running.seen = this->seenRuns.size();
  running.workMs = spec.value("work_ms", std::int64_t{ 1000 });
  running.fails = spec.value("fails", false);
  running.beganAt = SteadyMs();
  this->seenRuns.push_back(
    { task, run, aWorker.id, this->record.Now(), -1, "", -1 });
  this->record.Add("start of " + this->Describe(this->seenRuns.back()));
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
    const std::int64_t worked = now - item.beganAt;
    running.push_back({ key.first,
                        key.second,
                        "",
                        std::min<std::int64_t>(99, worked * 100 / item.workMs),
                        item.cpu });
  }
  Json ended = Json::array();
  for (const End& item : aWorker.ends) {
    const SeenRun& seenRun = this->seenRuns[item.seen];
    ended.push_back(
      { item.number, seenRun.task, seenRun.run, seenRun.how, "" });
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
  for (const auto& worker : this->workers) {
    this->AdvanceOne(*worker, now);
  }
}

void
Workers::AdvanceOne(Worker& aWorker, std::int64_t aNow)
{
  std::vector<std::pair<RunKey, std::string>> ends;
  const bool lapsed = ClockOf(aWorker) >= aWorker.lease;
  for (const auto& [key, running] : aWorker.runs) {
    if (running.stopsAt >= 0 && aNow >= running.stopsAt) {
      ends.emplace_back(key, "stopped");
    } else if (lapsed) {
      ends.emplace_back(key, "lapsed");
    } else if (aNow - running.beganAt >= running.workMs) {
      ends.emplace_back(key, running.fails ? "failed" : "done");
    }
  }
  for (const auto& [key, how] : ends) {
    this->Finish(aWorker, key, how);
  }
}

void
Workers::Finish(Worker& aWorker, const RunKey& aKey, const std::string& aHow)
{
  const std::size_t index = aWorker.runs.at(aKey).seen;
  aWorker.runs.erase(aKey);
  std::uint64_t& highest = aWorker.highestEnded[aKey.first];
  highest = std::max(highest, aKey.second);
  SeenRun& seen = this->seenRuns[index];
  seen.endedAt = this->record.Now();
  seen.how = aHow;
  aWorker.ends.push_back({ ++aWorker.lastEnd, index });
  this->record.Add("end of " + this->Describe(seen) + ": " + aHow);
  this->changed.notify_all();
}

void
Workers::Report(Worker& aWorker)
{
  std::size_t next = 0;
  for (;;) {
    Json report;
    {
      const Lock lock(this->mutex);
      report = { { "service", aWorker.options.service },
                 { "address", aWorker.address },
                 { "zone", "zone-1" },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", "ready" },
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
    }
    const Reply reply =
      Send(this->controls[next % this->controls.size()],
           { "PUT", "/instances/" + aWorker.id, {}, report.dump() },
           kReportLimitMs);
    const bool isAcknowledged = reply.status / 100 == 2;
    next += isAcknowledged ? 0 : 1;
    if (!this->WaitUnlessStopping(isAcknowledged ? kReportMs : kRetryMs)) {
      return;
    }
  }
}

} // namespace review
