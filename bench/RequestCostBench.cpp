// Measures the cost of one event of the request path for fleets of 49, 490 and
// 6,100 upstreams, as ratios within one run. Each round measures all sizes, and
// the median round is reported, so that other load on the machine cancels out.
// Usage: RequestCostBench [seed]
#include "base/Random.h"
#include "request/RequestReducer.h"
#include "state/FleetState.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::request;

namespace {

constexpr std::uint32_t kUpstreamsPerService = 50;

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

double
ProcessorMicroseconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

// A fleet of aUpstreams with about 50 upstreams per service and four per rack.
class Subject
{
public:
  Subject(std::uint32_t aUpstreams, std::uint64_t aSeed)
    : upstreams(aUpstreams)
    , services(std::max(aUpstreams / kUpstreamsPerService, 1U))
    , random(aSeed)
  {
    this->Build(aSeed);
  }

  double Requests(std::uint32_t aCount);
  double Announcements(std::uint32_t aCount);
  double SilentRack();
  double Cancellations(std::uint32_t aCount);

private:
  void Build(std::uint64_t aSeed);
  void Apply(state::CommandBody aBody);
  Effects Step(const Event& aEvent);
  state::Announcement AnnouncementOf(std::uint32_t aNumber);
  RequestArrived NextRequest();

  std::uint32_t upstreams;
  std::uint32_t services;
  Random random;
  state::FleetState state;
  std::unique_ptr<RequestReducer> reducer;
  Time now{ FromSeconds(1000) };
  WallTime wall{ FromSeconds(1700000000) };
  RequestNumber next = 1;
  std::uint64_t sequence = 1;
  std::uint32_t rack = 0;
};

void
Subject::Apply(state::CommandBody aBody)
{
  state::Command command;
  command.at = this->wall;
  command.body = std::move(aBody);
  this->state.Apply(command);
}

Effects
Subject::Step(const Event& aEvent)
{
  return this->reducer->Step(aEvent, this->now, this->wall);
}

state::Announcement
Subject::AnnouncementOf(std::uint32_t aNumber)
{
  state::Announcement announcement;
  announcement.instance = InstanceId("upstream-" + std::to_string(aNumber));
  announcement.boot = "b";
  announcement.sequence = this->sequence++;
  announcement.service =
    ServiceId("service-" + std::to_string(aNumber % this->services));
  announcement.pool = PoolId("p");
  announcement.dataCentre = DataCentreId("dc" + std::to_string(aNumber % 3));
  announcement.address = "127.0.0.2:9000";
  announcement.slots = 8;
  announcement.connections = 64;
  return announcement;
}

void
Subject::Build(std::uint64_t aSeed)
{
  state::Bundle bundle;
  bundle.version = 1;
  bundle.workspaces = { { WorkspaceId("w"), MemberId("m") } };
  bundle.teams = { { TeamId("t"), WorkspaceId("w"), 1, 1000000 } };
  state::PoolSpec pool;
  pool.name = PoolId("p");
  for (std::uint32_t n = 0; n < this->upstreams; ++n) {
    pool.instances.push_back(
      { InstanceId("upstream-" + std::to_string(n)), {}, {}, {} });
  }
  bundle.pools = { pool };
  for (std::uint32_t n = 0; n < this->services; ++n) {
    state::ServiceSpec service;
    service.name = ServiceId("service-" + std::to_string(n));
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
  for (std::uint32_t n = 0; n < this->upstreams; ++n) {
    this->Apply(state::UpdateUpstream{ this->AnnouncementOf(n) });
  }
  RequestOptions options;
  options.self = InstanceId("e");
  options.dataCentre = DataCentreId("dc0");
  options.boot = "b";
  options.seed = aSeed;
  this->Apply(state::RegisterEntry{ options.self, options.boot });
  this->Apply(
    state::GrantPermits{ options.self, options.boot, TeamId("t"), 900000 });
  this->reducer = std::make_unique<RequestReducer>(options, this->state);
  this->now += FromSeconds(60);
  this->wall += FromSeconds(60);
  this->Step(LeasesRenewed{ this->now, {} });
}

RequestArrived
Subject::NextRequest()
{
  RequestArrived request;
  request.request = this->next++;
  request.service =
    ServiceId("service-" + std::to_string(this->random.Below(this->services)));
  request.deadline = FromSeconds(30);
  return request;
}

// A complete request: arrival, start, two phases, end.
double
Subject::Requests(std::uint32_t aCount)
{
  this->Step(LeasesRenewed{ this->now, {} });
  const double begin = ProcessorMicroseconds();
  for (std::uint32_t n = 0; n < aCount; ++n) {
    const RequestArrived request = this->NextRequest();
    this->Step(request);
    this->Step(AttemptAdvanced{ request.request, 1, AttemptPhase::Sending });
    this->Step(AttemptAdvanced{ request.request, 1, AttemptPhase::Relaying });
    this->Step(AttemptFinished{ request.request, 1, 200, FromSeconds(0.05) });
    this->now += Duration(10);
  }
  return (ProcessorMicroseconds() - begin) / aCount;
}

// Every upstream repeats an unchanged announcement once a second. The first
// pass is a warm-up and is not measured.
double
Subject::Announcements(std::uint32_t aCount)
{
  const auto pass = [&](std::uint32_t aTotal) {
    std::vector<UpstreamAnnounced> events;
    for (std::uint32_t n = 0; n < aTotal; ++n) {
      events.push_back({ this->AnnouncementOf(n % this->upstreams) });
    }
    const double begin = ProcessorMicroseconds();
    for (const UpstreamAnnounced& event : events) {
      this->now += FromSeconds(1.0 / this->upstreams);
      this->Step(event);
    }
    return (ProcessorMicroseconds() - begin) / aTotal;
  };
  pass(this->upstreams);
  return pass(std::max(aCount, this->upstreams));
}

// The four upstreams of a rack become silent in one change. They announce
// themselves again after the measurement.
double
Subject::SilentRack()
{
  state::Changes changes;
  for (std::uint32_t n = 0; n < 4; ++n) {
    const state::Announcement heard =
      this->AnnouncementOf((this->rack * 4 + n) % this->upstreams);
    state::Command command;
    command.at = this->wall;
    command.body =
      state::MarkUpstreamSilent{ heard.instance, "b", heard.sequence };
    this->state.Apply(command, &changes);
  }
  const double begin = ProcessorMicroseconds();
  this->Step(ViewChanged{ changes });
  const double cost = (ProcessorMicroseconds() - begin) / 4;
  for (std::uint32_t n = 0; n < 4; ++n) {
    this->Apply(state::UpdateUpstream{
      this->AnnouncementOf((this->rack * 4 + n) % this->upstreams) });
  }
  ++this->rack;
  this->Step(ViewChanged{ changes });
  return cost;
}

// A burst of callers that disconnect while their requests run.
double
Subject::Cancellations(std::uint32_t aCount)
{
  this->Step(LeasesRenewed{ this->now, {} });
  const RequestNumber first = this->next;
  for (std::uint32_t n = 0; n < aCount; ++n) {
    this->Step(this->NextRequest());
  }
  const double begin = ProcessorMicroseconds();
  for (RequestNumber number = first; number < this->next; ++number) {
    this->Step(CallerDisconnected{ number });
  }
  const double cost = (ProcessorMicroseconds() - begin) / aCount;
  this->now += FromSeconds(31);
  this->wall += FromSeconds(31);
  this->Step(LeasesRenewed{ this->now, {} });
  return cost;
}

double
Median(std::vector<double> aValues)
{
  std::ranges::sort(aValues);
  return aValues[aValues.size() / 2];
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  constexpr int kRounds = 41;
  const std::vector<std::uint32_t> sizes{ 49, 490, 6100 };
  std::vector<std::unique_ptr<Subject>> subjects;
  for (const std::uint32_t size : sizes) {
    subjects.push_back(std::make_unique<Subject>(size, seed));
  }
  const char* const names[] = { "request (4 events)",
                                "announcement",
                                "silent upstream of a rack",
                                "caller that leaves" };
  std::vector<std::vector<std::vector<double>>> cost(
    4, std::vector<std::vector<double>>(sizes.size()));
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t n = 0; n < sizes.size(); ++n) {
      Subject& subject = *subjects[n];
      cost[0][n].push_back(subject.Requests(2000));
      cost[1][n].push_back(subject.Announcements(2000));
      cost[2][n].push_back(subject.SilentRack());
      cost[3][n].push_back(subject.Cancellations(300));
    }
  }
  std::printf("seed %llu, median of %d rounds, us of processor time\n",
              static_cast<unsigned long long>(seed),
              kRounds);
  for (std::size_t kind = 0; kind < 4; ++kind) {
    const double small = Median(cost[kind][0]);
    const double middle = Median(cost[kind][1]);
    const double large = Median(cost[kind][2]);
    std::printf("%-26s 49: %6.2f  490: %6.2f (%.2fx)  6100: %6.2f (%.2fx)\n",
                names[kind],
                small,
                middle,
                middle / small,
                large,
                large / small);
  }
  return 0;
}
