// The order of events of each case, and the check of its rule.
#include "Cases.h"

#include "Callers.h"
#include "Workers.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

namespace review {

namespace {

constexpr int kStartLimitMs = 15000;
constexpr int kPutLimitMs = 10000;
// Bounds of the installation (SYSTEM.md, NCU-Sched).
constexpr int kContactMs = 3000;
constexpr int kConfigApplyMs = 2000;
constexpr int kRecoveryMs = 12000;

void
Sleep(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

std::int64_t
WallMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

std::string
JobId(int aNumber)
{
  std::string id = "5c0e7a21d94b0000";
  const std::string number = std::to_string(aNumber);
  return id.replace(id.size() - number.size(), number.size(), number);
}

// Starts all nodes for the first time and installs the first configuration.
bool
Begin(Fleet& aFleet, Operator& aOperator, const std::vector<Route>& aRoutes)
{
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    aFleet.Start(i, true);
  }
  if (!aFleet.WaitUntilReady(kStartLimitMs)) {
    return false;
  }
  Sleep(kContactMs);
  return aOperator.Put(1, aRoutes, kPutLimitMs) == 200;
}

std::vector<SeenRun>
RunsOf(Workers& aWorkers, const std::string& aJob)
{
  std::vector<SeenRun> runs = aWorkers.Seen();
  std::erase_if(runs, [&](const SeenRun& aRun) {
    return !aRun.task.starts_with(aJob + ".");
  });
  return runs;
}

// Waits until the job has one of the final states.
std::string
AwaitEnd(Client& aClient,
         const std::string& aRoute,
         const std::string& aId,
         int aLimitMs)
{
  const std::int64_t until = SteadyMs() + aLimitMs;
  std::string state;
  while (SteadyMs() < until) {
    state = aClient.StateOf(aRoute, aId);
    if (state == "completed" || state == "failed" || state == "cancelled") {
      break;
    }
    Sleep(500);
  }
  return state;
}

} // namespace

// All machines start for the first time, the first one a little earlier. The
// operator hands in the first configuration, and the machine that has
// acknowledged it loses its disk at once.
int
LoseFirstDisk(Record& aRecord, bool aTrouble)
{
  constexpr int kDownMs = 1000;
  Fleet fleet(aRecord, {});
  Operator theOperator(aRecord, fleet);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Start(i, true);
  }
  if (theOperator.Put(1, { { "puxa400", "huvo11a" } }, kPutLimitMs) != 200) {
    return kNotRun;
  }
  if (aTrouble) {
    const std::size_t acknowledger = theOperator.Leader();
    fleet.Kill(acknowledger);
    fleet.LoseDisk(acknowledger);
    Sleep(kDownMs);
    fleet.Start(acknowledger, false);
  }
  // Read back for contact_ms at the end, after the time for the recovery.
  Sleep(kRecoveryMs + kContactMs);
  std::size_t newest = 0;
  std::size_t reads = 0;
  const std::int64_t until = SteadyMs() + 2 * kContactMs;
  while (SteadyMs() < until) {
    for (std::size_t i = 0; i < fleet.Size(); ++i) {
      const auto version = theOperator.Read(i);
      ++reads;
      newest += version == 1U ? 1 : 0;
      aRecord.Add("operator reads the configuration at node " +
                  std::to_string(i + 1) + ": " +
                  (version ? "version " + std::to_string(*version)
                           : std::string("none")));
    }
    Sleep(500);
  }
  aRecord.Add(std::to_string(newest) + " of " + std::to_string(reads) +
              " reads gave the acknowledged version");
  return newest == 0 ? kBroken : kHeld;
}

// A job whose subtask fails each time. While its last attempt runs, a version
// without its route is in force; a later one has the route again.
int
DropRouteDuringLastAttempt(Record& aRecord, bool aTrouble)
{
  constexpr int kMaxAttempts = 2;
  constexpr int kWorkMs = 5000;
  const Route route{ "puxa400", "huvo11a", kMaxAttempts };
  const Route other{ "cufi501", "kafi81c", kMaxAttempts };
  Fleet fleet(aRecord, {});
  Operator theOperator(aRecord, fleet);
  if (!Begin(fleet, theOperator, { route, other })) {
    return kNotRun;
  }
  Workers workers(
    aRecord, fleet, { { "huvo11a" }, { "huvo11a" }, { "kafi81c" } });
  Client client(aRecord, fleet);
  Sleep(kContactMs);
  // One job in 20 can never be done.
  constexpr int kSoundJobs = 19;
  const std::string sound =
    R"({"spec":"{\"cpu\":100,\"work_ms\":200}","steps":[{"count":1,)"
    R"("cpu":100,"mem_mb":16,"estimated_ms":200}]})";
  for (int i = 0; i < kSoundJobs; ++i) {
    if (client.Submit(route.name, JobId(100 + i), sound) != 200) {
      return kNotRun;
    }
  }
  Sleep(kContactMs);
  const std::string body =
    R"({"spec":"{\"cpu\":1000,\"fails\":true,\"work_ms\":)" +
    std::to_string(kWorkMs) +
    R"(}","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":5000}]})";
  if (client.Submit(route.name, JobId(1), body) != 200) {
    return kNotRun;
  }
  const auto awaitStarts = [&](std::size_t aCount, int aLimitMs) {
    const std::int64_t until = SteadyMs() + aLimitMs;
    while (RunsOf(workers, JobId(1)).size() < aCount && SteadyMs() < until) {
      Sleep(20);
    }
    return RunsOf(workers, JobId(1)).size() >= aCount;
  };
  if (!awaitStarts(kMaxAttempts, 2 * kWorkMs + kContactMs)) {
    return kNotRun;
  }
  if (aTrouble && theOperator.Put(2, { other }, kPutLimitMs) != 200) {
    return kNotRun;
  }
  Sleep(kWorkMs + kConfigApplyMs);
  if (aTrouble && theOperator.Put(3, { route, other }, kPutLimitMs) != 200) {
    return kNotRun;
  }
  const std::string state = AwaitEnd(client, route.name, JobId(1), 3 * kWorkMs);
  const std::vector<SeenRun> seen = RunsOf(workers, JobId(1));
  std::int64_t notedAt = -1; // when the last attempt was taken note of
  int failures = 0;
  bool isBroken = false;
  for (const SeenRun& run : seen) {
    if (failures >= kMaxAttempts && run.startedAt > notedAt) {
      aRecord.Add(
        "rule BUDGET broken: run " + std::to_string(run.run) + " of " +
        run.task + " started at " + std::to_string(run.startedAt) + ", after " +
        std::to_string(failures) + " failed runs, the last taken note of at " +
        std::to_string(notedAt));
      isBroken = true;
    }
    if (run.how == "failed" && run.notedAt >= 0) {
      ++failures;
      notedAt = std::max(notedAt, run.notedAt);
    }
  }
  aRecord.Add("last state " + state + ", starts " +
              std::to_string(seen.size()));
  return isBroken ? kBroken : kHeld;
}

// While the first step of a job runs, a version renames its route: host, prefix
// and service stay.
int
RenameRoute(Record& aRecord, bool aTrouble)
{
  constexpr int kWorkMs = 3000;
  constexpr int kFinishMs = 14000;
  const Route route{ "puxa400", "huvo11a" };
  Route renamed = route;
  renamed.name = "r-2f41c";
  renamed.prefix = route.name;
  Fleet fleet(aRecord, {});
  Operator theOperator(aRecord, fleet);
  if (!Begin(fleet, theOperator, { route })) {
    return kNotRun;
  }
  Workers workers(aRecord, fleet, { { "huvo11a" }, { "huvo11a" } });
  Client client(aRecord, fleet);
  Sleep(kContactMs);
  const std::string body =
    R"({"spec":"{\"cpu\":1000,\"work_ms\":)" + std::to_string(kWorkMs) +
    R"(}","steps":[{"count":2,"cpu":1000,"mem_mb":256,"estimated_ms":3000},)"
    R"({"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":3000,"after":[0]}]})";
  if (client.Submit(route.name, JobId(1), body) != 200) {
    return kNotRun;
  }
  Sleep(kWorkMs / 3);
  if (RunsOf(workers, JobId(1)).size() != 2 ||
      (aTrouble && theOperator.Put(2, { renamed }, kPutLimitMs) != 200)) {
    return kNotRun;
  }
  Sleep(kConfigApplyMs);
  // A job that is handed in afterwards, at the same address.
  if (client.Submit(route.name, JobId(2), body) != 200) {
    return kNotRun;
  }
  const std::string later =
    AwaitEnd(client, route.name, JobId(2), 2 * kWorkMs + kFinishMs);
  Sleep(kFinishMs);
  const std::string state = client.StateOf(route.name, JobId(1));
  std::int64_t lastEnd = 0;
  for (const SeenRun& run : RunsOf(workers, JobId(1))) {
    lastEnd = std::max(lastEnd, run.endedAt);
  }
  const std::int64_t idleMs = aRecord.Now() - lastEnd;
  aRecord.Add("the first job is " + state +
              " and has had nothing running for " + std::to_string(idleMs) +
              " ms; the later job is " + later);
  return state != "completed" && later == "completed" && idleMs > kFinishMs
           ? kBroken
           : kHeld;
}

// Two large jobs wait for room that does not become free. Then a small subtask
// that lasts ends, while a scheduled job runs as before.
int
RestartLastingBesideLargeJobs(Record& aRecord, bool aTrouble)
{
  constexpr std::size_t kWorkers = 4;
  constexpr int kLastingMs = 10000; // until the small subtask ends
  // Large jobs come this long before it.
  constexpr int kLargeBeforeMs = 1500;
  // A subtask that lasts has to be restarted within 6 s, or for 3 s more there
  // must be no room for it.
  constexpr int kRestartMs = 6000 + 3000;
  constexpr int kWatchMs = kRestartMs + 6000;
  const Route preview{ "puxa400", "huvo11a", 3, {}, 0, 2500, 2.2 };
  const Route printRun{ "tije37", "huvo11a", 3, {}, 0, 2500, 2.2 };
  const Route archive{ "cufi501", "huvo11a", 3, {}, 1, 2500, 2.2 };
  Fleet fleet(aRecord, {});
  Operator theOperator(aRecord, fleet);
  if (!Begin(fleet, theOperator, { preview, printRun, archive })) {
    return kNotRun;
  }
  Workers workers(
    aRecord, fleet, std::vector<WorkerOptions>(kWorkers, { "huvo11a" }));
  Client client(aRecord, fleet);
  Sleep(kContactMs);
  // 22 of the 32 cores of each worker, for the whole case.
  const std::string wide =
    R"({"spec":"{\"cpu\":22000,\"work_ms\":600000}","steps":[{"count":4,)"
    R"("cpu":22000,"mem_mb":4096,"estimated_ms":1000,"long_running":true,)"
    R"("anti_affinity":1}]})";
  const std::string lasting =
    R"({"spec":"{\"cpu\":3000,\"fails\":true,\"work_ms\":)" +
    std::to_string(kLastingMs) +
    R"(}","steps":[{"count":1,"cpu":3000,"mem_mb":1024,"estimated_ms":1000,)"
    R"("long_running":true}]})";
  const std::string large =
    R"({"spec":"{\"cpu\":11000,\"work_ms\":7000}","steps":[{"count":24,)"
    R"("cpu":11000,"mem_mb":1024,"estimated_ms":7000}]})";
  // Every 300 ms a subtask of a tenth of a core.
  const std::string scheduled =
    R"({"spec":"{\"cpu\":100,\"work_ms\":100}","steps":[{"count":1,)"
    R"("cpu":100,"mem_mb":16,"estimated_ms":100}],"repeat_count":200,)"
    R"("interval_ms":300,"start_at_ms":)" +
    std::to_string(WallMs()) + "}";
  if (client.Submit(archive.name, JobId(1), wide) != 200 ||
      client.Submit(archive.name, JobId(2), lasting) != 200 ||
      client.Submit(preview.name, JobId(5), scheduled) != 200) {
    return kNotRun;
  }
  Sleep(kLastingMs - kLargeBeforeMs);
  if (RunsOf(workers, JobId(1)).size() != kWorkers ||
      RunsOf(workers, JobId(2)).size() != 1) {
    return kNotRun;
  }
  if (aTrouble && (client.Submit(printRun.name, JobId(3), large) != 200 ||
                   client.Submit(printRun.name, JobId(4), large) != 200)) {
    return kNotRun;
  }
  Sleep(kLargeBeforeMs + kWatchMs);
  const std::vector<SeenRun> runs = RunsOf(workers, JobId(2));
  const std::int64_t endedAt = runs.front().endedAt;
  if (endedAt < 0) {
    return kNotRun;
  }
  std::size_t served = 0;
  for (const SeenRun& run : RunsOf(workers, JobId(5))) {
    served += run.how == "done" && run.startedAt > endedAt ? 1 : 0;
  }
  const std::int64_t restartedAt = runs.size() > 1 ? runs[1].startedAt : -1;
  aRecord.Add("the subtask that lasts ended at " + std::to_string(endedAt) +
              " and was started again at " + std::to_string(restartedAt) +
              " (-1: not within " + std::to_string(kWatchMs) + " ms); " +
              std::to_string(served) +
              " subtasks of the scheduled job were done meanwhile");
  const bool isBroken = restartedAt < 0 || restartedAt > endedAt + kRestartMs;
  return isBroken ? kBroken : kHeld;
}

// The leader stands still. A third of the clients leave before their job has an
// answer and cancel it at another machine, which acknowledges.
int
CancelAfterLeaving(Record& aRecord, bool aTrouble)
{
  constexpr int kFreezeMs = 3000;
  constexpr int kLeavesAfterMs = 500;
  constexpr int kCancelMs = 3000;
  constexpr int kStepMs = 8000; // the second step starts in calm
  constexpr int kLeaving = 8;   // at two machines in turn
  constexpr int kStaying = 16;
  const Route route{ "puxa400", "huvo11a" };
  Fleet fleet(aRecord, {});
  Operator theOperator(aRecord, fleet);
  if (!Begin(fleet, theOperator, { route })) {
    return kNotRun;
  }
  Workers workers(aRecord, fleet, { { "huvo11a" }, { "huvo11a" } });
  Sleep(kContactMs);
  const std::string body =
    R"({"spec":"{\"cpu\":1000,\"work_ms\":)" + std::to_string(kStepMs) +
    R"(}","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":8000},)"
    R"({"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":8000,"after":[0]}]})";
  const std::size_t leader = theOperator.Leader();
  const std::string leaderName = "node " + std::to_string(leader + 1);
  if (aTrouble) {
    aRecord.Add(leaderName + " stands still");
    fleet.Signal(leader, SIGSTOP);
  }
  struct Outcome
  {
    std::string job;
    int submitted = 0;
    int cancelled = 0;
    std::int64_t cancelledAt = 0;
  };
  std::vector<Outcome> outcomes(kLeaving);
  std::vector<std::thread> clients;
  for (int i = 0; i < kLeaving; ++i) {
    clients.emplace_back([&, i] {
      const std::size_t first = (leader + 1 + i % 2) % fleet.Size();
      const std::size_t second = (leader + 2 - i % 2) % fleet.Size();
      Client client(aRecord, fleet);
      Outcome& outcome = outcomes[i];
      outcome.job = JobId(1 + i);
      outcome.submitted =
        client.SubmitOnce(route.name, outcome.job, body, first, kLeavesAfterMs);
      outcome.cancelled = client.Cancel(route.name, outcome.job, second);
      outcome.cancelledAt = aRecord.Now();
    });
  }
  const std::string small =
    R"({"spec":"{\"cpu\":100,\"work_ms\":200}","steps":[{"count":1,)"
    R"("cpu":100,"mem_mb":16,"estimated_ms":200}]})";
  for (int i = 0; i < kStaying; ++i) {
    clients.emplace_back([&, i] {
      Client(aRecord, fleet).Submit(route.name, JobId(100 + i), small);
    });
  }
  std::thread thaw([&] {
    Sleep(kFreezeMs);
    if (aTrouble) {
      fleet.Signal(leader, SIGCONT);
      aRecord.Add(leaderName + " goes on");
    }
  });
  for (std::thread& client : clients) {
    client.join();
  }
  thaw.join();
  const std::int64_t calmFrom = aRecord.Now() + kContactMs;
  Sleep(2 * kStepMs);
  int acknowledged = 0;
  int broken = 0;
  for (const Outcome& outcome : outcomes) {
    const bool isAcknowledged =
      outcome.cancelled / 100 == 2 || outcome.cancelled == 410;
    acknowledged += isAcknowledged ? 1 : 0;
    for (const SeenRun& run : RunsOf(workers, outcome.job)) {
      if (isAcknowledged && run.startedAt > calmFrom &&
          run.startedAt > outcome.cancelledAt + kCancelMs) {
        ++broken;
        aRecord.Add("rule UNASKED broken: " + run.task + " started at " +
                    std::to_string(run.startedAt) +
                    ", its cancelling was acknowledged with " +
                    std::to_string(outcome.cancelled) + " at " +
                    std::to_string(outcome.cancelledAt));
      }
    }
  }
  aRecord.Add(
    std::to_string(acknowledged) + " of " + std::to_string(outcomes.size()) +
    " cancels were acknowledged; calm from " + std::to_string(calmFrom) +
    "; starts after that: " + std::to_string(broken));
  return acknowledged == 0 ? kNotRun : broken > 0 ? kBroken : kHeld;
}

} // namespace review
