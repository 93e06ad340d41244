// Plays one scenario: starts the nodes, stands in for the workers, the clients
// and the operator, and judges what these have seen.
// Usage: standin SCENARIO TROUBLE NET PORT NODES RECORD PROGRAM FOLDER
// The listeners of the nodes are at PORT and above, as play.sh sets them.
// Exits with 1 if the rule was broken, 0 if it held and 2 if the scenario could
// not be played.
#include "Nodes.h"

#include <iostream>
#include <random>

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
           Nodes& aNodes,
           bool aTrouble,
           std::string aNet,
           int aPort,
           int aCount)
    : world(aWorld)
    , nodes(aNodes)
    , trouble(aTrouble)
    , net(std::move(aNet))
    , port(aPort)
    , count(aCount)
  {
    for (int n = 1; n <= this->count; ++n) {
      this->fronts.push_back(this->AddressOf(n, 0));
      this->world.controls.push_back(this->AddressOf(n, kControlPort));
    }
  }

  Played Play(const std::string& aName)
  {
    const std::map<std::string, Played (Scenario::*)()> scenarios{
      { "quota", &Scenario::PlayQuota },
      { "shed", &Scenario::PlayShed },
      { "blocked", &Scenario::PlayBlocked },
      { "gang", &Scenario::PlayGang },
      { "pending", &Scenario::PlayPending },
      { "foreign", &Scenario::PlayForeign },
    };
    return (this->*scenarios.at(aName))();
  }

private:
  static constexpr std::int64_t kConfigApplyMs = 2000;
  static constexpr std::int64_t kFinishMs = 14000; // finish_s
  static constexpr std::int64_t kNothingRunsMs = 3000;
  static constexpr std::int64_t kVisibleMs = 3000 + 2000; // visible_ms + 2 s
  static constexpr std::int64_t kContactMs = 3000;

  // Offsets from the first port, as in play.sh.
  static constexpr int kReadyPort = 3;
  static constexpr int kControlPort = 5;
  static constexpr int kMetricsPort = 11;
  static constexpr int kWorkerPort = 20;

  [[nodiscard]] std::string AddressOf(int aHost, int aPort) const
  {
    return this->net + "." + std::to_string(aHost) + ":" +
           std::to_string(this->port + aPort);
  }

  void Note(const std::string& aLine) { this->world.record.Write(aLine); }

  void AddWorkers(const std::string& aService, int aCount, std::int64_t aCpu)
  {
    for (int i = 0; i < aCount; ++i) {
      const int number = ++this->lastWorker;
      const std::string address = this->AddressOf(20 + number, kWorkerPort);
      auto worker = std::make_unique<Worker>(
        this->world, "i-" + std::to_string(number), aService, address, aCpu);
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
      return std::all_of(
        this->world.workers.begin(),
        this->world.workers.end(),
        [](const auto& aItem) { return aItem->IsRegistered(); });
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
    return {
      true,
      "LOST: job " + aId + " is shown as " + state +
        " and nothing of "
        "it has started " +
        std::to_string(SteadyMs() - aAllSince) +
        " ms after nothing hindered it any more; free cpu in its pool: " +
        std::to_string(this->FreeCpu(aService))
    };
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
    while (this->StateOf("bur", "00000000000000b1", "key-one") != "completed") {
      if (SteadyMs() > until) {
        throw CannotRun("the first job did not complete");
      }
      SleepMs(500);
    }
    return this->ExpectStart("ast", "00000000000000b2", "key-one", SteadyMs());
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

  // The two workers that run nothing reject all starts.
  void RejectStartsWhereFree()
  {
    const std::lock_guard lock(this->world.mutex);
    for (const auto& worker : this->world.workers) {
      if (worker->CountRuns() == 0) {
        worker->SetUnhealthy(true);
        this->Note("worker " + worker->Id() + " rejects all starts");
      }
    }
  }

  void AcceptStarts()
  {
    const std::lock_guard lock(this->world.mutex);
    for (const auto& worker : this->world.workers) {
      worker->SetUnhealthy(false);
    }
    this->Note("all workers accept starts");
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
    this->Submit("leo",
                 "00000000000000c1",
                 "key-one",
                 { { "ms", 0 }, { "cpu", 5500 } },
                 LastingStep(18, 5500, 1));
    const std::int64_t until = SteadyMs() + 10000;
    while (this->world.CountStarts("00000000000000c1") < 18) {
      if (SteadyMs() > until) {
        throw CannotRun("the lasting job did not start in time");
      }
      SleepMs(10);
    }
    SleepMs(kContactMs);
    aHealthyAt = SteadyMs() + kUnhealthyMs;
    if (this->trouble) {
      this->RejectStartsWhereFree();
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
      this->AcceptStarts();
    }
    return this->ExpectStart("leo", "00000000000000c2", "key-one", healthyAt);
  }

  Played PlayPending()
  {
    const std::vector<std::string> ids{ "00000000000000d1",
                                        "00000000000000d2" };
    std::int64_t healthyAt = 0;
    const std::int64_t accepted = this->OccupyAndSubmit(ids, healthyAt);
    Played played{ false, "pending was right" };
    SleepMs(accepted + kVisibleMs + 100 - SteadyMs());
    if (SteadyMs() > healthyAt - 300) {
      throw CannotRun("the jobs were accepted too late");
    }
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
      if (reply.status == 200 && pending >= 0 && pending * 2 < stillWaiting) {
        played = { true,
                   "MIXED: pending is given as " + std::to_string(pending) +
                     " while " + std::to_string(stillWaiting) +
                     " jobs, accepted more than 5 s before, have not begun" };
      }
      SleepMs(200);
    }
    if (this->trouble) {
      this->AcceptStarts();
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
    const Json work{
      { "ms", 12000 }, { "cpu", 11000 }, { "gang", 4 }, { "checkpoints", true }
    };
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
    const auto alone = std::count_if(this->world.ends.begin(),
                                     this->world.ends.end(),
                                     [&](const Observed& aEnd) {
                                       return aEnd.how == "alone" &&
                                              aEnd.at > calmFrom + kContactMs;
                                     });
    return { alone > 0,
             (alone > 0 ? "GANG: " : "not completed; ") +
               std::to_string(alone) +
               " runs ended alone in calm time, and the job is not completed " +
               std::to_string(SteadyMs() - calmFrom) + " ms after the crash" };
  }

  // The number of the node that leads now, by its metrics; 0: none.
  int Leader()
  {
    for (int n = 1; n <= this->count; ++n) {
      const Message answer = CallOnce(
        this->AddressOf(n, kMetricsPort), "GET", "/metrics", {}, {}, 500);
      if (answer.body.find("\nhyssoppaddle_is_leader 1") != std::string::npos) {
        return n;
      }
    }
    return 0;
  }

  static constexpr const char* kNoState = "not for this key";
  struct Asked
  {
    std::string job;
    std::string state; // that is right at all times
  };

  // Asks for the state of one job again and again on one node. With a key that
  // no configuration holds, every answer with success is wrong.
  void AskAlways(int aNode, const Asked& aAsked)
  {
    const std::string key = aAsked.state == kNoState ? "key-none" : "key-one";
    while (!this->finished) {
      const Message answer =
        this->CallNode(aNode, "GET", "/can/" + aAsked.job, {}, key);
      const Json body = Json::parse(answer.body, nullptr, false);
      const std::string state =
        body.is_object() ? body.value("state", std::string()) : "";
      const std::string line = "GET " + aAsked.job + " with " + key +
                               " at node " + std::to_string(aNode) + ": " +
                               std::to_string(answer.status) + " " +
                               answer.body + ", and the job is " + aAsked.state;
      if (answer.status == 200 && aAsked.state == kNoState) {
        ++this->unknownKey;
        this->Note("ROUTE: " + line);
      } else if (answer.status == 200 && aAsked.state == "running" &&
                 state != "running") {
        ++this->wrong;
        this->Note("MIXED: " + line);
      } else if (answer.status == 200 && state != aAsked.state) {
        ++this->foreign;
        this->Note("FOREIGN: " + line);
      } else if (answer.status == 401 && aAsked.state != kNoState) {
        ++this->foreign;
        this->Note("FOREIGN: " + line);
      }
      const bool isAnswered = answer.status == 200 || answer.status == 401;
      SleepMs(isAnswered ? 100 : 30);
    }
  }

  // Hands in one small job after another on one node.
  void SubmitAlways(int aNode, int aClient)
  {
    for (int i = 0; !this->finished; ++i) {
      char id[17];
      std::snprintf(id, sizeof(id), "%08x%08x", aClient + 1, i + 1);
      const Json job{ { "spec", Json{ { "ms", 100 }, { "cpu", 100 } }.dump() },
                      { "steps",
                        { { { "count", 1 },
                            { "cpu", 100 },
                            { "mem_mb", 64 },
                            { "estimated_ms", 100 } } } } };
      const Message answer = this->CallNode(
        aNode, "POST", std::string("/can/") + id, job.dump(), "key-one");
      if (answer.status == 200 &&
          answer.body.find("state") != std::string::npos) {
        ++this->foreign;
        this->Note(std::string("FOREIGN: POST ") + id + " at node " +
                   std::to_string(aNode) + ": 200 " + answer.body);
      }
      if (answer.status == 401) {
        const std::lock_guard lock(this->world.mutex);
        this->rejected.push_back(id);
        this->Note(std::string("POST ") + id + " at node " +
                   std::to_string(aNode) + " is rejected: 401");
      }
      SleepMs(answer.status == 200 ? 200 : 30);
    }
  }

  // Jobs whose only attempt was rejected and of which a subtask started.
  std::size_t CountRejectedAndStarted()
  {
    std::size_t count = 0;
    for (const std::string& id : this->rejected) {
      if (this->world.CountStarts(id) > 0) {
        ++count;
        this->Note("REFUSED: job " + id + " was rejected and has started");
      }
    }
    return count;
  }

  Message CallNode(int aNode,
                   const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aBody,
                   const std::string& aKey)
  {
    ++this->asked;
    const Message answer = CallOnce(this->AddressOf(aNode, 0),
                                    aMethod,
                                    aTarget,
                                    aBody,
                                    { { "Host", "pay.example" },
                                      { "X-Api-Key", aKey },
                                      { "X-Deadline-Ms", "3000" } },
                                    3000);
    this->Note("client " + aMethod + " " + aTarget + " with " + aKey +
               " at node " + std::to_string(aNode) + ": " +
               std::to_string(answer.status) + " " + answer.body);
    return answer;
  }

  // A node without a disk that has just started is killed and started again
  // while the leader stands still for less than its followers wait.
  Played PlayForeign()
  {
    constexpr int kClients = 12; // for jobs that last, and for completed ones
    constexpr int kUnknown = 6;  // clients with an unknown key
    constexpr int kSubmitters = 5;
    constexpr int kFront = 1;
    this->PutConfig(1, { "can" }, { { "t1", "key-one", 0 } });
    this->AddWorkers("can", 4, 32000);
    this->WaitUntilReady({ "can" }, "key-one");
    std::vector<Asked> asks;
    for (int i = 0; i < 2 * kClients; ++i) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x500 + i);
      const bool lasts = i % 2 == 0;
      const Json short_step{ { "count", 1 },
                             { "cpu", 500 },
                             { "mem_mb", 256 },
                             { "estimated_ms", 300 } };
      this->Submit("can",
                   id,
                   "key-one",
                   { { "ms", lasts ? 0 : 300 }, { "cpu", 500 } },
                   lasts ? LastingStep(1, 500, 0) : short_step);
      asks.push_back({ id, lasts ? "running" : "completed" });
    }
    for (const Asked& ask : asks) {
      const std::int64_t until = SteadyMs() + 10000;
      while (this->StateOf("can", ask.job, "key-one") != ask.state) {
        if (SteadyMs() > until) {
          throw CannotRun("job " + ask.job + " is not " + ask.state);
        }
        SleepMs(100);
      }
    }
    for (int i = 0; i < kUnknown; ++i) {
      asks.insert(asks.begin() + 4 * i, { asks[0].job, kNoState });
    }
    std::vector<std::thread> clients;
    for (const Asked& ask : asks) {
      clients.emplace_back([this, ask] { this->AskAlways(kFront, ask); });
    }
    for (int i = 0; i < kSubmitters; ++i) {
      clients.emplace_back([this, i] { this->SubmitAlways(kFront, i); });
    }
    const std::int64_t until = SteadyMs() + 85000;
    const auto seed = static_cast<unsigned>(std::time(nullptr));
    this->Note("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    const auto between = [&](int aLeast, int aMost) {
      return std::uniform_int_distribution<int>(aLeast, aMost)(random);
    };
    int rounds = 0;
    while (SteadyMs() < until) {
      ++rounds;
      if (this->trouble) {
        this->nodes.Kill(kFront);
        SleepMs(100);
        this->nodes.Restart(kFront);
        SleepMs(between(100, 400));
        const int leader = this->Leader();
        if (leader == 0) {
          continue;
        }
        this->nodes.Stop(leader);
        SleepMs(between(100, 300));
        this->nodes.Kill(kFront);
        SleepMs(100);
        this->nodes.Restart(kFront);
        SleepMs(between(100, 300));
        this->nodes.Continue(leader);
      }
      SleepMs(1000);
    }
    this->finished = true;
    for (std::thread& client : clients) {
      client.join();
    }
    const std::size_t refused = this->CountRejectedAndStarted();
    return {
      this->wrong > 0 || this->unknownKey > 0 || refused > 0,
      "of " + std::to_string(this->asked) + " calls in " +
        std::to_string(rounds) + " rounds: " + std::to_string(this->wrong) +
        " jobs that last were shown as completed or without a state "
        "(MIXED), " +
        std::to_string(this->unknownKey) +
        " calls with an unknown key got 200 (ROUTE), " +
        std::to_string(refused) + " jobs ran that were rejected (REFUSED), " +
        std::to_string(this->foreign) + " others got the answer of another call"
    };
  }

  std::atomic<int> unknownKey{ 0 };
  std::vector<std::string> rejected; // guarded by the world's mutex
  std::atomic<int> foreign{ 0 };
  std::atomic<bool> finished{ false };
  std::atomic<int> asked{ 0 };
  std::atomic<int> wrong{ 0 };

  static constexpr std::int64_t kUnhealthyMs = 6500; // srv_grey, for_s 6.5
  static constexpr std::int64_t kBetweenJobsMs = 300;

  World& world;
  Nodes& nodes;
  bool trouble;
  std::string net;
  int port;
  int count;
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
  const std::vector<std::string> words(aArguments, aArguments + aCount);
  Record record(words[6]);
  World world{ {}, record, {}, {}, {}, {}, {} };
  const int count = std::stoi(words[5]);
  Nodes nodes(words[7], words[8], count, record);
  int code = 2;
  try {
    Scenario scenario(
      world, nodes, words[2] != "0", words[3], std::stoi(words[4]), count);
    const Played played = scenario.Play(words[1]);
    record.Write((played.isBroken ? "BROKEN " : "HELD ") + played.verdict);
    std::cout << (played.isBroken ? "BROKEN " : "HELD ") << played.verdict
              << std::endl;
    code = played.isBroken ? 1 : 0;
  } catch (const std::exception& error) {
    record.Write(std::string("CANNOT RUN ") + error.what());
    std::cout << "CANNOT RUN " << error.what() << std::endl;
  }
  nodes.KillAll();
  std::_Exit(code); // the workers need no orderly end
}
