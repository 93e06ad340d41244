// Plays one scenario against running nodes: stands in for the workers, the
// clients and the operator, and judges what these have seen.
// Usage: standin SCENARIO TROUBLE NET WORKER_PORT CALLERS_PORT CONTROL_PORT
//   NODES RECORD
// Exits with 1 if the rule was broken, 0 if it held and 2 if the scenario could
// not be played.
#include "Worker.h"

#include <iostream>

namespace review {

struct Reply
{
  int status = 0;
  Json body;
};

struct Played
{
  bool isBroken = false;
  std::string verdict;
};

class CannotRun : public std::runtime_error
{
  using std::runtime_error::runtime_error;
};

struct TenantSpec
{
  std::string name;
  std::string key;
  std::int64_t maxCpu = 0;
};

class Scenario
{
public:
  Scenario(World& aWorld,
           bool aTrouble,
           std::string aNet,
           int aWorkerPort,
           std::vector<std::string> aFronts)
    : world(aWorld)
    , trouble(aTrouble)
    , net(std::move(aNet))
    , workerPort(aWorkerPort)
    , fronts(std::move(aFronts))
  {
  }

  Played Play(const std::string& aName)
  {
    const std::map<std::string, Played (Scenario::*)()> scenarios{
      { "quota", &Scenario::PlayQuota },
      { "shed", &Scenario::PlayShed },
      { "blocked", &Scenario::PlayBlocked },
      { "gang", &Scenario::PlayGang },
      { "pending", &Scenario::PlayPending },
    };
    return (this->*scenarios.at(aName))();
  }

private:
  static constexpr std::int64_t kConfigApplyMs = 2000;
  static constexpr std::int64_t kFinishMs = 14000;   // finish_s
  static constexpr std::int64_t kNothingRunsMs = 3000;
  static constexpr std::int64_t kVisibleMs = 3000 + 2000; // visible_ms + 2 s
  static constexpr std::int64_t kContactMs = 3000;

  void Note(const std::string& aLine) { this->world.record.Write(aLine); }

  void AddWorkers(const std::string& aService, int aCount, std::int64_t aCpu)
  {
    for (int i = 0; i < aCount; ++i) {
      const int number = ++this->lastWorker;
      const std::string address = this->net + "." + std::to_string(20 + number) +
                                  ":" + std::to_string(this->workerPort);
      auto worker = std::make_unique<Worker>(this->world,
                                             "i-" + std::to_string(number),
                                             aService,
                                             address,
                                             aCpu);
      const std::lock_guard lock(this->world.mutex);
      this->world.workers.push_back(std::move(worker));
    }
  }

  void PutConfig(std::int64_t aVersion,
                 const std::vector<std::string>& aServices,
                 const std::vector<TenantSpec>& aTenants)
  {
    Json routes = Json::array();
    Json services = Json::array();
    Json tenants = Json::array();
    for (const std::string& service : aServices) {
      routes.push_back({ { "name", "r-" + service },
                         { "host", "pay.example" },
                         { "path_prefix", "/" + service + "/" },
                         { "kind", "non_idempotent" },
                         { "timeout_ms", 3000 },
                         { "target_completion_ms", 600 },
                         { "priority", 0 },
                         { "service", service },
                         { "max_attempts", 3 },
                         { "stretch", 1.6 },
                         { "allow_anonymous", false } });
      services.push_back({ { "name", service },
                           { "health_path", "/healthz" },
                           { "max_connections", 64 },
                           { "protocol", "h1" },
                           { "tls", false },
                           { "enforces_capacity", true },
                           { "standby", false } });
    }
    for (const TenantSpec& tenant : aTenants) {
      tenants.push_back(
        { { "name", tenant.name },
          { "api_keys", { tenant.key } },
          { "priority", 1 },
          { "weight", 10 },
          { "max_count",
            { { "cpu", tenant.maxCpu }, { "mem_mb", 0 }, { "gpu", 0 } } } });
    }
    const Json config{ { "version", aVersion },
                       { "routes", routes },
                       { "services", services },
                       { "limits",
                         { { "max_header_bytes", 16384 },
                           { "max_body_bytes", 262144 },
                           { "header_timeout_ms", 3000 },
                           { "idle_timeout_ms", 15000 } } },
                       { "tenants", tenants } };
    const std::int64_t until = SteadyMs() + 20000;
    while (SteadyMs() < until) {
      const std::string& to =
        this->world.controls[this->next++ % this->world.controls.size()];
      const Message answer =
        CallFollowing(to, "PUT", "/config", config.dump(), {}, 1000);
      this->Note("operator sends configuration " + std::to_string(aVersion) +
                 " to " + to + ": " + std::to_string(answer.status));
      if (answer.status == 200) {
        return;
      }
      SleepMs(200);
    }
    throw CannotRun("no configuration was acknowledged");
  }

  Reply Ask(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aKey,
            const std::string& aBody = {})
  {
    const std::string& to = this->fronts[this->next++ % this->fronts.size()];
    const Message answer = CallOnce(to,
                                    aMethod,
                                    aTarget,
                                    aBody,
                                    { { "Host", "pay.example" },
                                      { "X-Api-Key", aKey },
                                      { "X-Deadline-Ms", "3000" } },
                                    3000);
    this->Note("client " + aMethod + " " + aTarget + " at " + to + ": " +
               std::to_string(answer.status) + " " + answer.body);
    return { answer.status, Json::parse(answer.body, nullptr, false) };
  }

  // Hands a job in and returns when it is accepted.
  std::int64_t Submit(const std::string& aService,
                      const std::string& aId,
                      const std::string& aKey,
                      const Json& aWork,
                      const Json& aStep)
  {
    const Json job{ { "spec", aWork.dump() }, { "steps", { aStep } } };
    for (int tries = 0; tries < 20; ++tries) {
      const Reply reply =
        this->Ask("POST", "/" + aService + "/" + aId, aKey, job.dump());
      if (reply.status == 200) {
        return SteadyMs();
      }
      SleepMs(300);
    }
    throw CannotRun("job " + aId + " was not accepted");
  }

  std::string StateOf(const std::string& aService,
                      const std::string& aId,
                      const std::string& aKey)
  {
    const Reply reply = this->Ask("GET", "/" + aService + "/" + aId, aKey);
    return reply.status == 200 && reply.body.is_object()
             ? reply.body.value("state", "")
             : std::to_string(reply.status);
  }

  // Waits until all workers are registered and each service has completed a
  // job, so that the following takes place in a steady state.
  void WaitUntilReady(const std::vector<std::string>& aServices,
                      const std::string& aKey)
  {
    const std::int64_t until = SteadyMs() + 20000;
    const auto isReady = [&] {
      const std::lock_guard lock(this->world.mutex);
      return std::all_of(this->world.workers.begin(),
                         this->world.workers.end(),
                         [](const auto& aItem) {
                           return aItem->IsRegistered();
                         });
    };
    while (!isReady()) {
      if (SteadyMs() > until) {
        throw CannotRun("workers were not acknowledged");
      }
      SleepMs(100);
    }
    for (std::size_t i = 0; i < aServices.size(); ++i) {
      const std::string id = "00000000000000a" + std::to_string(i);
      this->Submit(aServices[i],
                   id,
                   aKey,
                   { { "ms", 200 }, { "cpu", 500 } },
                   { { "count", 1 },
                     { "cpu", 500 },
                     { "mem_mb", 256 },
                     { "estimated_ms", 200 } });
      while (this->StateOf(aServices[i], id, aKey) != "completed") {
        if (SteadyMs() > until) {
          throw CannotRun("the first job did not complete");
        }
        SleepMs(300);
      }
    }
    SleepMs(kContactMs);
    this->Note("steady state");
  }

  std::int64_t FreeCpu(const std::string& aService)
  {
    const std::lock_guard lock(this->world.mutex);
    std::int64_t free = 0;
    for (const auto& worker : this->world.workers) {
      free +=
        worker->IsUp() && worker->Service() == aService ? worker->FreeCpu() : 0;
    }
    return free;
  }

  // Waits until the job has started or finish_s and 3 s have passed.
  Played ExpectStart(const std::string& aService,
                     const std::string& aId,
                     const std::string& aKey,
                     std::int64_t aAllSince)
  {
    const std::int64_t until = aAllSince + kFinishMs + kNothingRunsMs;
    std::string state;
    while (this->world.CountStarts(aId) == 0 && SteadyMs() < until) {
      state = this->StateOf(aService, aId, aKey);
      this->Note("free cpu in " + aService + ": " +
                 std::to_string(this->FreeCpu(aService)));
      SleepMs(1000);
    }
    if (this->world.CountStarts(aId) > 0) {
      return { false, "the job has started" };
    }
    return { true,
             "LOST: job " + aId + " is shown as " + state + " and nothing of "
             "it has started " + std::to_string(SteadyMs() - aAllSince) +
             " ms after nothing hindered it any more; free cpu in its pool: " +
             std::to_string(this->FreeCpu(aService)) };
  }

  // A tenant's limit is lowered. Its job in one pool waits for its job in
  // another pool, which ends.
  Played PlayQuota()
  {
    const std::vector<std::string> services{ "ast", "bur" };
    const TenantSpec other{ "t2", "key-two", 200000 };
    this->PutConfig(1, services, { { "t1", "key-one", 200000 }, other });
    this->AddWorkers("ast", 4, 32000);
    this->AddWorkers("bur", 4, 32000);
    this->WaitUntilReady(services, "key-two");
    if (this->trouble) {
      this->PutConfig(2, services, { { "t1", "key-one", 8000 }, other });
    }
    SleepMs(kConfigApplyMs + 500);
    const Json large{ { "ms", 5000 }, { "cpu", 1900 } };
    this->Submit("bur",
                 "00000000000000b1",
                 "key-one",
                 large,
                 { { "count", 4 },
                   { "cpu", 1900 },
                   { "mem_mb", 1024 },
                   { "estimated_ms", 5000 } });
    SleepMs(1000);
    const Json small{ { "ms", 800 }, { "cpu", 1900 } };
    this->Submit("ast",
                 "00000000000000b2",
                 "key-one",
                 small,
                 { { "count", 2 },
                   { "cpu", 1900 },
                   { "mem_mb", 1024 },
                   { "estimated_ms", 800 } });
    const std::int64_t until = SteadyMs() + 20000;
    while (this->StateOf("bur", "00000000000000b1", "key-one") !=
           "completed") {
      if (SteadyMs() > until) {
        throw CannotRun("the first job did not complete");
      }
      SleepMs(500);
    }
    return this->ExpectStart(
      "ast", "00000000000000b2", "key-one", SteadyMs());
  }

  static Json LastingStep(int aCount, std::int64_t aCpu, int aPerWorker)
  {
    Json step{ { "count", aCount },
               { "cpu", aCpu },
               { "mem_mb", 1024 },
               { "estimated_ms", 900 },
               { "long_running", true } };
    if (aPerWorker > 0) {
      step["anti_affinity"] = aPerWorker;
    }
    return step;
  }

  void SetUnhealthy(const std::vector<std::size_t>& aWorkers, bool aUnhealthy)
  {
    const std::lock_guard lock(this->world.mutex);
    for (const std::size_t index : aWorkers) {
      this->world.workers[index]->SetUnhealthy(aUnhealthy);
      this->Note("worker " + this->world.workers[index]->Id() +
                 (aUnhealthy ? " rejects all starts" : " is healthy again"));
    }
  }

  // 18 of 20 workers hold a subtask that lasts. The jobs that follow fit only
  // on the other two, which reject all starts for a while.
  std::int64_t OccupyAndSubmit(const std::vector<std::string>& aIds,
                               std::int64_t& aHealthyAt)
  {
    const TenantSpec tenant{ "t1", "key-one", 0 };
    this->PutConfig(1, { "leo" }, { tenant });
    this->AddWorkers("leo", 20, 16000);
    this->WaitUntilReady({ "leo" }, "key-one");
    const std::int64_t began = SteadyMs();
    aHealthyAt = began + kUnhealthyMs;
    if (this->trouble) {
      this->SetUnhealthy({ 18, 19 }, true);
    }
    this->Submit("leo",
                 "00000000000000c1",
                 "key-one",
                 { { "ms", 0 }, { "cpu", 5500 } },
                 LastingStep(18, 5500, 1));
    while (this->world.CountStarts("00000000000000c1") < 18) {
      if (SteadyMs() > began + 1000) {
        throw CannotRun("the lasting job did not start in time");
      }
      SleepMs(10);
    }
    std::int64_t accepted = 0;
    for (const std::string& id : aIds) {
      SleepMs(kBetweenJobsMs);
      accepted = this->Submit("leo",
                              id,
                              "key-one",
                              { { "ms", 3300 }, { "cpu", 11000 } },
                              { { "count", 1 },
                                { "cpu", 11000 },
                                { "mem_mb", 4096 },
                                { "estimated_ms", 3300 } });
    }
    return accepted;
  }

  Played PlayShed()
  {
    std::int64_t healthyAt = 0;
    this->OccupyAndSubmit({ "00000000000000c2" }, healthyAt);
    SleepMs(healthyAt - SteadyMs());
    if (this->trouble) {
      this->SetUnhealthy({ 18, 19 }, false);
    }
    return this->ExpectStart(
      "leo", "00000000000000c2", "key-one", healthyAt);
  }

  Played PlayPending()
  {
    const std::vector<std::string> ids{ "00000000000000d1",
                                        "00000000000000d2" };
    std::int64_t healthyAt = 0;
    const std::int64_t accepted = this->OccupyAndSubmit(ids, healthyAt);
    Played played{ false, "pending was right" };
    SleepMs(accepted + kVisibleMs + 100 - SteadyMs());
    while (SteadyMs() < healthyAt - 100) {
      const auto waiting = [&] {
        return std::count_if(
          ids.begin(), ids.end(), [&](const std::string& aId) {
            return this->world.CountStarts(aId) == 0;
          });
      };
      const Reply reply = this->Ask("GET", "/leo/", "key-one");
      const auto stillWaiting = waiting();
      const std::int64_t pending =
        reply.body.is_object() ? reply.body.value("pending", -1) : -1;
      if (reply.status == 200 && pending * 2 < stillWaiting) {
        played = { true,
                   "MIXED: pending is given as " + std::to_string(pending) +
                     " while " + std::to_string(stillWaiting) +
                     " jobs, accepted more than 5 s before, have not begun" };
      }
      SleepMs(200);
    }
    if (this->trouble) {
      this->SetUnhealthy({ 18, 19 }, false);
    }
    return played;
  }

  // A tenant's limit is lowered; it goes on handing in more than that. Another
  // tenant hands in one job.
  Played PlayBlocked()
  {
    const TenantSpec other{ "t2", "key-two", 200000 };
    this->PutConfig(1, { "ast" }, { { "t1", "key-one", 200000 }, other });
    this->AddWorkers("ast", 9, 32000);
    this->WaitUntilReady({ "ast" }, "key-two");
    if (this->trouble) {
      this->PutConfig(2, { "ast" }, { { "t1", "key-one", 6000 }, other });
    }
    SleepMs(kConfigApplyMs + 500);
    for (int i = 1; i <= 6; ++i) {
      this->Submit("ast",
                   "00000000000000e" + std::to_string(i),
                   "key-one",
                   { { "ms", 0 }, { "cpu", 2700 } },
                   LastingStep(8, 2700, 0));
    }
    const std::int64_t accepted =
      this->Submit("ast",
                   "00000000000000f1",
                   "key-two",
                   { { "ms", 800 }, { "cpu", 1800 } },
                   { { "count", 6 },
                     { "cpu", 1800 },
                     { "mem_mb", 1800 },
                     { "estimated_ms", 800 } });
    return this->ExpectStart("ast", "00000000000000f1", "key-two", accepted);
  }

  // A worker with one member of a gang crashes and comes back as a new one.
  Played PlayGang()
  {
    const std::string job = "00000000000000f7";
    this->PutConfig(1, { "can" }, { { "t1", "key-one", 0 } });
    this->AddWorkers("can", 8, 16000);
    this->WaitUntilReady({ "can" }, "key-one");
    const Json work{ { "ms", 12000 },
                     { "cpu", 11000 },
                     { "gang", 4 },
                     { "checkpoints", true } };
    this->Submit("can",
                 job,
                 "key-one",
                 work,
                 { { "count", 4 },
                   { "cpu", 11000 },
                   { "mem_mb", 4096 },
                   { "estimated_ms", 12000 },
                   { "gang", true },
                   { "checkpointing", true } });
    SleepMs(4300);
    std::int64_t calmFrom = SteadyMs();
    if (this->trouble) {
      Worker* victim = nullptr;
      {
        const std::lock_guard lock(this->world.mutex);
        for (const auto& worker : this->world.workers) {
          victim = victim == nullptr && worker->Runs(job) ? &*worker : victim;
        }
      }
      if (victim == nullptr) {
        throw CannotRun("the gang has not started");
      }
      victim->Crash();
      SleepMs(4500);
      this->AddWorkers("can", 1, 16000);
      calmFrom = SteadyMs() + kContactMs;
    }
    const std::int64_t until = calmFrom + 40000;
    while (SteadyMs() < until) {
      if (this->StateOf("can", job, "key-one") == "completed") {
        return { false, "the gang has completed" };
      }
      SleepMs(1000);
    }
    const std::lock_guard lock(this->world.mutex);
    const auto alone = std::count_if(
      this->world.ends.begin(),
      this->world.ends.end(),
      [&](const Observed& aEnd) {
        return aEnd.how == "alone" && aEnd.at > calmFrom + kContactMs;
      });
    return { alone > 0,
             (alone > 0 ? "GANG: " : "not completed; ") +
               std::to_string(alone) +
               " runs ended alone in calm time, and the job is not completed " +
               std::to_string(SteadyMs() - calmFrom) + " ms after the crash" };
  }

  static constexpr std::int64_t kUnhealthyMs = 6500; // srv_grey, for_s 6.5
  static constexpr std::int64_t kBetweenJobsMs = 300;

  World& world;
  bool trouble;
  std::string net;
  int workerPort;
  std::vector<std::string> fronts;
  int lastWorker = 0;
  std::size_t next = 0;
};

} // namespace review

int
main(int aCount, char** aArguments)
{
  using namespace review;
  if (aCount != 9) {
    std::cerr << "wrong number of arguments\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string net = aArguments[3];
  Record record(aArguments[8]);
  World world{ {}, record, {}, {}, {}, {}, {} };
  std::vector<std::string> fronts;
  for (int n = 1; n <= std::atoi(aArguments[7]); ++n) {
    const std::string host = net + "." + std::to_string(n) + ":";
    fronts.push_back(host + aArguments[5]);
    world.controls.push_back(host + aArguments[6]);
  }
  int code = 2;
  try {
    Scenario scenario(world,
                      std::string(aArguments[2]) != "0",
                      net,
                      std::atoi(aArguments[4]),
                      fronts);
    const Played played = scenario.Play(aArguments[1]);
    record.Write((played.isBroken ? "BROKEN " : "HELD ") + played.verdict);
    std::cout << (played.isBroken ? "BROKEN " : "HELD ") << played.verdict
              << std::endl;
    code = played.isBroken ? 1 : 0;
  } catch (const std::exception& error) {
    record.Write(std::string("CANNOT RUN ") + error.what());
    std::cout << "CANNOT RUN " << error.what() << std::endl;
  }
  std::_Exit(code); // the workers need no orderly end
}
