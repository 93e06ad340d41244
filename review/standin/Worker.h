// A worker of the platform, as PROTOCOL.md describes it: it carries out orders
// under leases and fences, keeps its ends until they are taken note of, and
// reports about itself.
#ifndef review_standin_Worker_h
#define review_standin_Worker_h

#include "Net.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <optional>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Lines of record.txt, with milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
    , startedAt(SteadyMs())
  {
  }
  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(this->mutex);
    this->file << SteadyMs() - this->startedAt << ' ' << aLine << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
  std::int64_t startedAt;
};

// Bounds of the installation, from its sheet.
inline constexpr std::int64_t kMaxHoldMs = 6000;
inline constexpr std::int64_t kStopMs = 100; // stop_timeout_ms is 400
inline constexpr std::int64_t kGangTimeoutMs = 3000;
inline constexpr std::int64_t kCheckpointMs = 1000;
inline constexpr std::int64_t kRestoreMs = 250;
inline constexpr std::int64_t kHeartbeatMs = 1500;

// What a subtask does, read from the `spec` of its job.
struct Work
{
  std::int64_t ms = 0; // 0: until it is stopped
  std::int64_t cpu = 0;
  std::int64_t memMb = 0;
  std::size_t gang = 0; // members; 0: none
  bool checkpoints = false;
};

struct Run
{
  std::string task;
  std::uint64_t number = 0;
  Work work;
  std::string carried; // checkpoint of the start
  std::int64_t arrivedAt = 0;
  std::optional<std::int64_t> workingSince;
  std::optional<std::int64_t> stopAt;

  // Progress of earlier runs, from the checkpoint.
  [[nodiscard]] std::int64_t Before() const
  {
    return this->carried.empty()
             ? 0
             : std::strtoll(this->carried.substr(0, 8).c_str(), nullptr, 16);
  }
  [[nodiscard]] std::int64_t Progress() const
  {
    if (!this->workingSince) {
      return this->Before();
    }
    const std::int64_t restore = this->carried.empty() ? 0 : kRestoreMs;
    return this->Before() + std::max<std::int64_t>(
                              0, SteadyMs() - *this->workingSince - restore);
  }
  [[nodiscard]] std::string Checkpoint(std::int64_t aProgress) const
  {
    if (!this->work.checkpoints || aProgress == 0) {
      return this->carried;
    }
    char text[32];
    std::snprintf(
      text, sizeof(text), "%08llx", static_cast<unsigned long long>(aProgress));
    return text + this->task.substr(8, 8);
  }
  // The value of the last full checkpoint interval of this run.
  [[nodiscard]] std::string Saved() const
  {
    const std::int64_t worked = this->Progress() - this->Before();
    return worked < kCheckpointMs
             ? this->carried
             : this->Checkpoint(this->Before() +
                                worked / kCheckpointMs * kCheckpointMs);
  }
  [[nodiscard]] bool IsDone() const
  {
    return this->work.ms > 0 && this->workingSince &&
           this->Progress() >= this->work.ms;
  }
  [[nodiscard]] int Percent() const
  {
    if (this->work.ms == 0) {
      return 100;
    }
    return static_cast<int>(
      std::min<std::int64_t>(100, 100 * this->Progress() / this->work.ms));
  }
  // ID.K.STEP, which the members of a gang share.
  [[nodiscard]] std::string Step() const
  {
    return this->task.substr(0, this->task.rfind('.'));
  }
};

struct Observed
{
  std::int64_t at = 0;
  std::string worker;
  std::string task;
  std::uint64_t run = 0;
  std::string how; // of an end
  std::string checkpoint;
};

class Worker;

// All workers and what they have seen; guarded by one mutex.
struct World
{
  std::mutex mutex;
  Record& record;
  std::vector<std::string> controls;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Observed> starts;
  std::vector<Observed> ends;
  std::vector<Observed> refusals;

  void Advance();
  [[nodiscard]] std::size_t CountStarts(const std::string& aJob)
  {
    const std::lock_guard lock(this->mutex);
    return static_cast<std::size_t>(std::count_if(
      this->starts.begin(), this->starts.end(), [&](const Observed& aItem) {
        return aItem.task.rfind(aJob + ".", 0) == 0;
      }));
  }
};

class Worker
{
public:
  Worker(World& aWorld,
         std::string aId,
         std::string aService,
         std::string aAddress,
         std::int64_t aCpu)
    : world(aWorld)
    , id(std::move(aId))
    , service(std::move(aService))
    , address(std::move(aAddress))
    , cpu(aCpu)
    , bootedAt(SteadyMs())
    , born(WallMs())
  {
    this->server = std::make_unique<Server>(
      this->address, [this](const Message& aRequest, Message& aAnswer) {
        return this->Handle(aRequest, aAnswer);
      });
    this->reporter = std::thread([this] { this->ReportLoop(); });
  }
  ~Worker() { this->Crash(); }

  // Ends the boot; nothing of it is told to anyone. Takes the world's mutex.
  void Crash()
  {
    {
      const std::lock_guard lock(this->world.mutex);
      if (this->ended) {
        return;
      }
      this->ended = true;
      for (const auto& [key, run] : this->runs) {
        this->world.record.Write("worker " + this->id + " crashed with " +
                                 run.task + " run " +
                                 std::to_string(run.number));
        this->BreakGang(run);
      }
      this->runs.clear();
    }
    this->server.reset();
    this->reporter.join();
  }

  // The caller holds the world's mutex, here and below.
  void SetUnhealthy(bool aUnhealthy) { this->unhealthy = aUnhealthy; }
  [[nodiscard]] std::size_t CountRuns() const { return this->runs.size(); }
  [[nodiscard]] bool Runs(const std::string& aJob) const
  {
    return std::any_of(
      this->runs.begin(), this->runs.end(), [&](const auto& aItem) {
        return aItem.second.task.rfind(aJob + ".", 0) == 0;
      });
  }
  [[nodiscard]] std::int64_t FreeCpu() const
  {
    std::int64_t free = this->cpu;
    for (const auto& [key, run] : this->runs) {
      free -= run.work.cpu;
    }
    return free;
  }
  [[nodiscard]] const std::string& Id() const { return this->id; }
  [[nodiscard]] const std::string& Service() const { return this->service; }
  [[nodiscard]] bool IsUp() const { return !this->ended; }
  [[nodiscard]] bool IsRegistered() const { return this->registered; }

  // Ends what is due by time.
  void Advance()
  {
    if (this->ended) {
      return;
    }
    const std::int64_t now = SteadyMs();
    const bool lapsed = this->lease <= this->ClockMs();
    std::vector<std::pair<Run, std::string>> over;
    for (const auto& [key, run] : this->runs) {
      const bool alone = run.work.gang > 0 && !run.workingSince &&
                         now - run.arrivedAt >= kGangTimeoutMs;
      if (lapsed) {
        over.emplace_back(run, "lapsed");
      } else if (run.IsDone()) {
        over.emplace_back(run, "done");
      } else if (run.stopAt && now >= *run.stopAt) {
        over.emplace_back(run, "stopped");
      } else if (alone) {
        over.emplace_back(run, "alone");
      }
    }
    for (const auto& [run, how] : over) {
      if (this->runs.contains({ run.task, run.number })) {
        this->End(run, how);
      }
    }
  }

  // A gang works from the moment when all its members are present. They can
  // resume together only from one checkpoint.
  void BeginWork()
  {
    for (auto& [key, run] : this->runs) {
      if (run.workingSince) {
        continue;
      }
      if (run.work.gang == 0) {
        run.workingSince = SteadyMs();
        continue;
      }
      std::vector<Run*> members;
      for (const auto& other : this->world.workers) {
        for (auto& [otherKey, item] : other->runs) {
          if (!other->ended && item.Step() == run.Step() &&
              item.number == run.number && !item.stopAt &&
              item.carried == run.carried) {
            members.push_back(&item);
          }
        }
      }
      if (members.size() == run.work.gang) {
        for (Run* member : members) {
          member->workingSince = SteadyMs();
        }
        this->world.record.Write("gang " + run.Step() + " run " +
                                 std::to_string(run.number) + " works");
      }
    }
  }

private:
  struct Ended
  {
    std::uint64_t number = 0;
    Run run;
    std::string how;
    std::string saved;
  };

  std::int64_t ClockMs() const { return SteadyMs() - this->bootedAt + 1000; }

  void End(const Run& aRun, const std::string& aHow)
  {
    const std::string saved = aHow == "stopped" && aRun.workingSince
                                ? aRun.Checkpoint(aRun.Progress())
                                : aRun.Saved();
    this->ends.push_back({ ++this->lastEnd, aRun, aHow, saved });
    std::uint64_t& highest = this->highestEnded[aRun.task];
    highest = std::max(highest, aRun.number);
    this->world.ends.push_back(
      { SteadyMs(), this->id, aRun.task, aRun.number, aHow, saved });
    this->world.record.Write("worker " + this->id + " ended " + aRun.task +
                             " run " + std::to_string(aRun.number) + " " +
                             aHow + " saved \"" + saved + "\"");
    const Run run = aRun;
    this->runs.erase({ run.task, run.number });
    if (aHow != "done" && aHow != "alone" && aHow != "broken") {
      this->BreakGang(run);
    }
  }

  void BreakGang(const Run& aRun)
  {
    if (aRun.work.gang == 0) {
      return;
    }
    for (const auto& other : this->world.workers) {
      std::vector<Run> broken;
      for (const auto& [key, run] : other->runs) {
        if (!other->ended && run.Step() == aRun.Step() &&
            run.number == aRun.number && run.task != aRun.task) {
          broken.push_back(run);
        }
      }
      for (const Run& run : broken) {
        other->End(run, "broken");
      }
    }
  }

  bool Handle(const Message& aRequest, Message& aAnswer)
  {
    std::unique_lock lock(this->world.mutex);
    if (this->ended) {
      return false;
    }
    this->world.Advance();
    Json body = Json::object();
    aAnswer.status = this->Execute(aRequest, body);
    if (aRequest.target == "/hold" && aAnswer.status == 200) {
      const Json asked = Json::parse(aRequest.body, nullptr, false);
      const std::int64_t until =
        SteadyMs() +
        std::min<std::int64_t>(2000, asked.value("wait_ms", std::int64_t{ 0 }));
      while (this->ends.empty() && SteadyMs() < until && !this->ended) {
        lock.unlock();
        SleepMs(5);
        lock.lock();
        this->world.Advance();
      }
      if (this->ended) {
        return false;
      }
      this->List(body);
    }
    body["clock_ms"] = this->ClockMs();
    body["born"] = this->born;
    aAnswer.body = body.dump();
    return true;
  }

  int Execute(const Message& aRequest, Json& aBody)
  {
    if (aRequest.method == "GET") {
      return 200; // the health check is good
    }
    const auto expected = aRequest.headers.find("x-expected-instance");
    if (expected != aRequest.headers.end() && expected->second != this->id) {
      return 421;
    }
    const Json asked = Json::parse(aRequest.body, nullptr, false);
    if (!asked.is_object()) {
      return 400;
    }
    if (aRequest.target == "/run-start" && this->unhealthy) {
      this->world.refusals.push_back(
        { SteadyMs(), this->id, asked.value("task", ""), 0, "503", "" });
      this->world.record.Write("worker " + this->id + " refuses " +
                               asked.value("task", "") + " with 503");
      return 503;
    }
    const auto fence = asked.value("fencing_token", std::uint64_t{ 0 });
    if (fence < this->fence) {
      aBody["reason"] = "fence";
      return 409;
    }
    this->fence = fence;
    if (aRequest.target == "/run-start") {
      return this->Start(asked, aBody);
    }
    if (aRequest.target == "/run-stop") {
      return this->Stop(asked);
    }
    if (aRequest.target == "/hold") {
      this->Renew(asked);
      const auto seen = asked.value("last_seen", std::uint64_t{ 0 });
      std::erase_if(this->ends,
                    [&](const Ended& aEnd) { return aEnd.number <= seen; });
    }
    return 200;
  }

  void Renew(const Json& aAsked)
  {
    this->lease =
      std::max(this->lease,
               std::min(aAsked.value("deadline_ms", std::int64_t{ 0 }),
                        this->ClockMs() + kMaxHoldMs));
  }

  int Start(const Json& aAsked, Json& aBody)
  {
    Run run;
    run.task = aAsked.value("task", "");
    run.number = aAsked.value("run", std::uint64_t{ 0 });
    run.carried = aAsked.value("checkpoint", "");
    run.arrivedAt = SteadyMs();
    const Json spec = Json::parse(aAsked.value("spec", ""), nullptr, false);
    if (run.task.empty() || !spec.is_object()) {
      return 400;
    }
    run.work.ms = spec.value("ms", std::int64_t{ 0 });
    run.work.cpu = spec.value("cpu", std::int64_t{ 0 });
    run.work.gang = spec.value("gang", std::size_t{ 0 });
    run.work.checkpoints = spec.value("checkpoints", false);
    const auto refuse = [&](const char* aReason) {
      aBody["reason"] = aReason;
      this->world.refusals.push_back(
        { SteadyMs(), this->id, run.task, run.number, aReason, "" });
      this->world.record.Write("worker " + this->id + " refuses " + run.task +
                               " run " + std::to_string(run.number) + " " +
                               aReason);
      return 409;
    };
    if (aAsked.value("deadline_ms", std::int64_t{ 0 }) <= this->ClockMs()) {
      return refuse("late");
    }
    this->Renew(aAsked);
    if (this->runs.contains({ run.task, run.number })) {
      return 200;
    }
    const auto ended = this->highestEnded.find(run.task);
    if (ended != this->highestEnded.end() && run.number <= ended->second) {
      return refuse("old");
    }
    if (run.work.cpu > this->FreeCpu()) {
      return refuse("room");
    }
    this->world.starts.push_back(
      { run.arrivedAt, this->id, run.task, run.number, "", run.carried });
    this->world.record.Write("worker " + this->id + " starts " + run.task +
                             " run " + std::to_string(run.number) +
                             " checkpoint \"" + run.carried + "\"");
    this->runs[{ run.task, run.number }] = run;
    this->BeginWork();
    return 200;
  }

  int Stop(const Json& aAsked)
  {
    const std::string task = aAsked.value("task", "");
    const auto number = aAsked.value("run", std::uint64_t{ 0 });
    const auto found = this->runs.find({ task, number });
    if (found == this->runs.end()) {
      std::uint64_t& highest = this->highestEnded[task];
      highest = std::max(highest, number);
    } else if (!found->second.stopAt) {
      found->second.stopAt = SteadyMs() + kStopMs;
    }
    return 200;
  }

  void List(Json& aBody)
  {
    Json running = Json::array();
    for (const auto& [key, run] : this->runs) {
      running.push_back({ run.task,
                          run.number,
                          run.Saved(),
                          run.workingSince ? run.Percent() : 0,
                          run.work.cpu });
    }
    Json ended = Json::array();
    for (const Ended& end : this->ends) {
      ended.push_back(
        { end.number, end.run.task, end.run.number, end.how, end.saved });
    }
    aBody["running"] = running;
    aBody["ended"] = ended;
  }

  void ReportLoop()
  {
    std::size_t next = 0;
    std::string control;
    while (true) {
      Json report;
      {
        const std::lock_guard lock(this->world.mutex);
        if (this->ended) {
          return;
        }
        report = {
          { "service", this->service },
          { "address", this->address },
          { "zone", "dc-0" },
          { "version", "v1" },
          { "slots", 8 },
          { "state", "ready" },
          { "cold_remaining_ms", 0 },
          { "capacity",
            { { "cpu", this->cpu }, { "mem_mb", 65536 }, { "gpu", 0 } } },
          { "labels", { "a", "r1-1" } },
          { "machine", "m-" + this->address },
          { "clock_ms", this->ClockMs() },
          { "born", this->born },
          { "sequence", ++this->sequence }
        };
      }
      const std::string to =
        control.empty()
          ? this->world.controls[next++ % this->world.controls.size()]
          : control;
      const Message answer = CallFollowing(
        to, "PUT", "/instances/" + this->id, report.dump(), {}, 1000);
      if (answer.status < 200 || answer.status >= 300) {
        control.clear();
        SleepMs(100);
        continue;
      }
      this->registered = true;
      const Json said = Json::parse(answer.body, nullptr, false);
      control = said.is_object() ? said.value("heartbeat_address", "") : "";
      for (std::int64_t t = 0; t < kHeartbeatMs && !this->ended; t += 50) {
        SleepMs(50);
      }
    }
  }

  World& world;
  std::string id;
  std::string service;
  std::string address;
  std::int64_t cpu;
  std::int64_t bootedAt;
  std::int64_t born;
  std::atomic<bool> ended{ false };
  std::atomic<bool> registered{ false };
  bool unhealthy = false;
  std::uint64_t fence = 0;
  std::uint64_t sequence = 0;
  std::uint64_t lastEnd = 0;
  std::int64_t lease = 0; // set by the first order
  std::map<std::pair<std::string, std::uint64_t>, Run> runs;
  std::vector<Ended> ends;
  std::map<std::string, std::uint64_t> highestEnded;
  std::unique_ptr<Server> server;
  std::thread reporter;
};

inline void
World::Advance()
{
  for (const auto& worker : this->workers) {
    worker->BeginWork();
  }
  for (const auto& worker : this->workers) {
    worker->Advance();
  }
}

} // namespace review

#endif
