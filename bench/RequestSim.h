// Discrete-event simulation of a deployment for measurements of the request
// path: callers whose demand peaks rotate between services, entry instances,
// and upstreams with slots and a local queue. Entry instances run the product's
// reducer or, as baselines, send at once to an upstream chosen at random or
// round robin.
#ifndef hyssoppaddle_bench_RequestSim_h
#define hyssoppaddle_bench_RequestSim_h

#include "base/Random.h"
#include "request/RequestReducer.h"
#include "state/FleetState.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace hyssoppaddle::bench {

using namespace request;

constexpr Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

enum class Policy
{
  Reducer,
  ReducerFixed, // without adaptive concurrency
  RandomChoice,
  RoundRobin,
};

struct SimOptions
{
  std::string name;
  std::vector<std::uint32_t> services; // upstreams of each
  std::uint32_t dataCentres = 3;
  std::uint32_t entries = 11;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  double meanRun = 0.05;  // seconds per request
  double slowFactor = 4;  // of the slow upstreams
  std::uint32_t slow = 2; // number of slow upstreams
  double load = 0.3;      // mean demand as a fraction of the capacity
  double peak = 5;        // times the mean; one service at a time
  double turn = 4;        // seconds until the peak moves to the next service
  double duration = 60;   // seconds
  double deadline = 10;   // seconds
  std::uint64_t seed = 1;
  Policy policy = Policy::Reducer;
};

struct SimResult
{
  std::vector<double> waits;   // arrival to start at the upstream, ms, sorted
  std::vector<double> answers; // arrival to end, ms, sorted
  std::uint64_t done = 0;
  std::uint64_t refused = 0;
  std::uint64_t rejected = 0; // attempts above the connections of an upstream
  double imbalance = 0;       // highest use of a healthy upstream over the mean

  static double At(const std::vector<double>& aSorted, double aQuantile)
  {
    if (aSorted.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(aSorted.size() - 1);
    return aSorted[static_cast<std::size_t>(aQuantile * last)];
  }
  [[nodiscard]] double Wait(double aQuantile) const
  {
    return At(this->waits, aQuantile);
  }
  [[nodiscard]] double Answer(double aQuantile) const
  {
    return At(this->answers, aQuantile);
  }
};

class Sim
{
public:
  explicit Sim(SimOptions aOptions);
  SimResult Run();

private:
  struct Job
  {
    std::uint32_t entry = 0;
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    Time arrived;
    Time sent;
  };

  struct Server
  {
    std::uint32_t service = 0;
    std::uint32_t dataCentre = 0;
    double factor = 1;
    std::uint32_t busy = 0;
    double used = 0; // slot seconds
    std::deque<Job> queue;
  };

  struct ScheduledAction
  {
    Time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const ScheduledAction& aOther) const
    {
      return std::tie(aOther.at, aOther.order) <
             std::tie(this->at, this->order);
    }
  };

  void BuildFleet();
  void Apply(state::CommandBody aBody);
  void At(Time aTime, std::function<void()> aAction);
  void NextArrival(std::uint32_t aService);
  [[nodiscard]] double RateOf(std::uint32_t aService) const;
  void Arrive(std::uint32_t aService);
  void Step(std::uint32_t aEntry, const Event& aEvent);
  void Submit(std::uint32_t aServer, const Job& aJob);
  void StartJob(std::uint32_t aServer, const Job& aJob);
  void FinishJob(std::uint32_t aServer, const Job& aJob);
  void Heartbeat();
  [[nodiscard]] state::Announcement AnnouncementOf(std::uint32_t aServer) const;
  [[nodiscard]] bool IsBaseline() const
  {
    return this->options.policy == Policy::RandomChoice ||
           this->options.policy == Policy::RoundRobin;
  }

  SimOptions options;
  Random random;
  Time now{ FromSeconds(1000) };
  Time end;
  state::FleetState state;
  std::vector<std::unique_ptr<RequestReducer>> entries;
  std::vector<Server> servers;
  std::vector<std::vector<std::uint32_t>> serversOf;
  std::vector<std::uint32_t> turns; // round robin, per entry and service
  std::map<RequestNumber, Time> arrivals;
  std::priority_queue<ScheduledAction> queue;
  std::uint64_t nextOrder = 0;
  RequestNumber nextRequest = 1;
  SimResult result;
};

inline Sim::Sim(SimOptions aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
{
  this->end = this->now + FromSeconds(this->options.duration);
  std::uint32_t slowLeft = this->options.slow;
  this->serversOf.resize(this->options.services.size());
  for (std::uint32_t service = 0; service < this->options.services.size();
       ++service) {
    for (std::uint32_t n = 0; n < this->options.services[service]; ++n) {
      Server server;
      server.service = service;
      server.dataCentre = n % this->options.dataCentres;
      if (n == 0 && service % 2 == 0 && slowLeft > 0) {
        server.factor = this->options.slowFactor;
        --slowLeft;
      }
      this->serversOf[service].push_back(
        static_cast<std::uint32_t>(this->servers.size()));
      this->servers.push_back(std::move(server));
    }
  }
  this->turns.resize(this->options.entries * this->options.services.size());
  this->BuildFleet();
}

inline void
Sim::Apply(state::CommandBody aBody)
{
  state::Command command;
  command.at = WallTime(FromSeconds(1700000000));
  command.body = std::move(aBody);
  this->state.Apply(command);
}

inline state::Announcement
Sim::AnnouncementOf(std::uint32_t aServer) const
{
  const Server& server = this->servers[aServer];
  state::Announcement announcement;
  announcement.instance = InstanceId("u" + std::to_string(aServer));
  announcement.boot = "b";
  announcement.sequence = 1;
  announcement.service = ServiceId("s" + std::to_string(server.service));
  announcement.pool = PoolId("p");
  announcement.dataCentre =
    DataCentreId("dc" + std::to_string(server.dataCentre));
  announcement.address = std::to_string(aServer);
  announcement.slots = this->options.slots;
  announcement.connections = this->options.connections;
  return announcement;
}

inline void
Sim::BuildFleet()
{
  state::Bundle bundle;
  bundle.version = 1;
  bundle.workspaces = { { WorkspaceId("w"), MemberId("m") } };
  bundle.teams = { { TeamId("t"), WorkspaceId("w"), 1, 1000000 } };
  state::PoolSpec pool;
  pool.name = PoolId("p");
  for (std::uint32_t n = 0; n < this->servers.size(); ++n) {
    pool.instances.push_back(
      { InstanceId("u" + std::to_string(n)), {}, {}, {} });
  }
  bundle.pools = { pool };
  for (std::uint32_t n = 0; n < this->options.services.size(); ++n) {
    state::ServiceSpec service;
    service.name = ServiceId("s" + std::to_string(n));
    service.pool = PoolId("p");
    service.workspace = WorkspaceId("w");
    service.open = true;
    service.openTeam = TeamId("t");
    service.queueLimit = 100000;
    bundle.services.push_back(service);
  }
  this->Apply(state::ProposeMember{ MemberId("m") });
  this->Apply(state::ProposeBundle{ "{}", "d", "o", bundle });
  this->Apply(state::ApproveBundle{ 1, "d", MemberId("m") });
  for (std::uint32_t n = 0; n < this->servers.size(); ++n) {
    this->Apply(state::UpdateUpstream{ this->AnnouncementOf(n) });
  }
  for (std::uint32_t n = 0; n < this->options.entries; ++n) {
    RequestOptions entry;
    entry.self = InstanceId("e" + std::to_string(n));
    entry.dataCentre =
      DataCentreId("dc" + std::to_string(n % this->options.dataCentres));
    entry.boot = "b";
    entry.seed = this->random.Next();
    entry.adaptiveConcurrency = this->options.policy == Policy::Reducer;
    this->Apply(state::RegisterEntry{ entry.self, entry.boot });
    this->Apply(
      state::GrantPermits{ entry.self, entry.boot, TeamId("t"), 50000 });
    this->entries.push_back(
      std::make_unique<RequestReducer>(entry, this->state));
  }
}

inline void
Sim::At(Time aTime, std::function<void()> aAction)
{
  this->queue.push({ aTime, this->nextOrder++, std::move(aAction) });
}

// Requests per second. The services peak one after another.
inline double
Sim::RateOf(std::uint32_t aService) const
{
  const auto count = static_cast<double>(this->options.services.size());
  const double second =
    static_cast<double>(this->now.time_since_epoch().count()) / 1e6 - 1000;
  const double turn = std::fmod(second / this->options.turn, count);
  const double mean = this->options.services[aService] * this->options.slots /
                      this->options.meanRun * this->options.load;
  const bool peaks = static_cast<std::uint32_t>(turn) == aService;
  return mean * (peaks ? this->options.peak : 0.05);
}

inline void
Sim::NextArrival(std::uint32_t aService)
{
  // Steps are at most 50 ms long, so that the arrivals follow a change of the
  // rate.
  const double gap =
    -std::log(1 - this->random.Fraction()) / this->RateOf(aService);
  if (gap > 0.05) {
    this->At(this->now + FromSeconds(0.05),
             [=, this] { this->NextArrival(aService); });
    return;
  }
  this->At(this->now + FromSeconds(gap), [=, this] {
    this->Arrive(aService);
    this->NextArrival(aService);
  });
}

inline void
Sim::Arrive(std::uint32_t aService)
{
  const auto entry =
    static_cast<std::uint32_t>(this->random.Below(this->options.entries));
  const RequestNumber number = this->nextRequest++;
  if (this->IsBaseline()) {
    const auto& all = this->serversOf[aService];
    std::uint32_t& turn =
      this->turns[entry * this->options.services.size() + aService];
    const std::size_t index = this->options.policy == Policy::RoundRobin
                                ? turn++ % all.size()
                                : this->random.Below(all.size());
    this->Submit(all[index], { entry, number, 1, this->now, this->now });
    return;
  }
  this->arrivals[number] = this->now;
  RequestArrived request;
  request.request = number;
  request.service = ServiceId("s" + std::to_string(aService));
  request.deadline = FromSeconds(this->options.deadline);
  this->Step(entry, request);
}

inline void
Sim::Step(std::uint32_t aEntry, const Event& aEvent)
{
  const Effects effects = this->entries[aEntry]->Step(
    aEvent,
    this->now,
    WallTime(FromSeconds(1700000000) + this->now.time_since_epoch()));
  for (const Effect& effect : effects) {
    if (const auto* start = std::get_if<StartAttempt>(&effect)) {
      const auto server =
        static_cast<std::uint32_t>(std::stoul(start->address));
      this->Submit(server,
                   { aEntry,
                     start->request,
                     start->attempt,
                     this->arrivals[start->request],
                     this->now });
    } else if (const auto* refuse = std::get_if<Refuse>(&effect)) {
      ++this->result.refused;
      this->arrivals.erase(refuse->request);
    }
  }
}

inline void
Sim::Submit(std::uint32_t aServer, const Job& aJob)
{
  Server& server = this->servers[aServer];
  if (server.busy < this->options.slots) {
    this->StartJob(aServer, aJob);
  } else if (server.busy + server.queue.size() < this->options.connections) {
    server.queue.push_back(aJob);
  } else {
    ++this->result.rejected;
    if (!this->IsBaseline()) {
      this->At(this->now + FromSeconds(0.001), [=, this] {
        this->Step(aJob.entry, AttemptRefused{ aJob.request, aJob.attempt });
      });
    }
  }
}

inline void
Sim::StartJob(std::uint32_t aServer, const Job& aJob)
{
  Server& server = this->servers[aServer];
  ++server.busy;
  this->result.waits.push_back(
    static_cast<double>((this->now - aJob.arrived).count()) / 1000);
  const double run =
    (0.5 + this->random.Fraction()) * this->options.meanRun * server.factor;
  server.used += run;
  this->At(this->now + FromSeconds(run),
           [=, this] { this->FinishJob(aServer, aJob); });
}

inline void
Sim::FinishJob(std::uint32_t aServer, const Job& aJob)
{
  Server& server = this->servers[aServer];
  --server.busy;
  ++this->result.done;
  this->result.answers.push_back(
    static_cast<double>((this->now - aJob.arrived).count()) / 1000);
  if (!server.queue.empty()) {
    const Job next = server.queue.front();
    server.queue.pop_front();
    this->StartJob(aServer, next);
  }
  if (!this->IsBaseline()) {
    this->arrivals.erase(aJob.request);
    this->Step(aJob.entry,
               AttemptFinished{
                 aJob.request, aJob.attempt, 200, this->now - aJob.sent });
  }
}

inline void
Sim::Heartbeat()
{
  for (std::uint32_t entry = 0; entry < this->entries.size(); ++entry) {
    this->Step(entry, LeasesRenewed{ this->now, {} });
  }
  this->At(this->now + FromSeconds(0.5), [this] { this->Heartbeat(); });
}

inline SimResult
Sim::Run()
{
  if (!this->IsBaseline()) {
    this->Heartbeat();
  }
  for (std::uint32_t n = 0; n < this->options.services.size(); ++n) {
    this->NextArrival(n);
  }
  while (!this->queue.empty() && this->queue.top().at < this->end) {
    const ScheduledAction next = this->queue.top();
    this->queue.pop();
    this->now = next.at;
    next.action();
  }
  for (const auto& all : this->serversOf) {
    double sum = 0;
    double most = 0;
    std::uint32_t healthy = 0;
    for (const std::uint32_t n : all) {
      if (this->servers[n].factor == 1) {
        sum += this->servers[n].used;
        most = std::max(most, this->servers[n].used);
        ++healthy;
      }
    }
    this->result.imbalance =
      std::max(this->result.imbalance, most * healthy / std::max(sum, 1e-9));
  }
  std::ranges::sort(this->result.waits);
  std::ranges::sort(this->result.answers);
  return this->result;
}

} // namespace hyssoppaddle::bench

#endif
