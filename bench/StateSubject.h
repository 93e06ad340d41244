// The fleet that StateBench measures: a bundle of a given size, its upstreams,
// and tasks, jobs and claims per worker.
#ifndef hyssoppaddle_bench_StateSubject_h
#define hyssoppaddle_bench_StateSubject_h

#include "base/Random.h"
#include "state/FleetState.h"
#include "wire/Codec.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace hyssoppaddle::bench {

using namespace state;

inline constexpr std::uint64_t kSeed = 42;
inline constexpr int kSlots = 8;
inline constexpr int kEntries = 11;

struct Size
{
  int workers;
  int pools;
  int teams;
};

inline constexpr Size kSizes[] = { { 49, 5, 11 },
                                   { 490, 12, 20 },
                                   { 6100, 122, 44 } };

inline double
NanosecondsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::nano>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

inline double
ResidentMb()
{
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1048576.0;
}

inline Bundle
MakeBundle(const Size& aSize, std::uint64_t aVersion)
{
  Bundle bundle;
  bundle.version = aVersion;
  bundle.base = aVersion - 1;
  for (int i = 0; i < 15; ++i) {
    bundle.dataCentres.push_back(
      { DataCentreId("dc-" + std::to_string(i)), "region" });
  }
  bundle.workspaces.push_back({ WorkspaceId("w"), MemberId("m") });
  bundle.policy.soakTime = Duration(0);
  for (int i = 0; i < aSize.pools; ++i) {
    PoolSpec pool;
    pool.name = PoolId("pool-" + std::to_string(i));
    bundle.pools.push_back(pool);
    ServiceSpec service;
    service.name = ServiceId("service-" + std::to_string(i));
    service.pool = pool.name;
    service.workspace = WorkspaceId("w");
    bundle.services.push_back(service);
  }
  for (int i = 0; i < aSize.workers; ++i) {
    InstanceSpec instance;
    instance.name = InstanceId("worker-" + std::to_string(i));
    instance.dataCentre = bundle.dataCentres[i % 15].name;
    instance.rack = RackId("rack-" + std::to_string(i / 4));
    instance.capacity = { 32000, 65536, 0 };
    bundle.pools[i % aSize.pools].instances.push_back(instance);
  }
  for (int i = 0; i < aSize.teams; ++i) {
    bundle.teams.push_back(
      { TeamId("team-" + std::to_string(i)),
        WorkspaceId("w"),
        1,
        static_cast<std::uint32_t>(aSize.workers) * kSlots });
  }
  return bundle;
}

// A fleet with running and waiting work, and builders for the measured
// commands.
class Subject
{
public:
  explicit Subject(const Size& aSize)
    : size(aSize)
    , random(kSeed)
  {
    const double before = ResidentMb();
    this->Apply(ProposeMember{ MemberId("m") });
    this->AcceptBundle(false);
    for (int i = 0; i < aSize.workers; ++i) {
      this->Apply(UpdateUpstream{ this->MakeAnnouncement(i) });
    }
    for (int i = 0; i < kEntries; ++i) {
      this->Apply(RegisterEntry{ Entry(i), "boot" });
    }
    this->FillWithWork();
    this->residentMb = ResidentMb() - before;
  }

  void Apply(CommandBody aBody)
  {
    Command command;
    this->now += Duration(1);
    command.at = this->now;
    command.body = std::move(aBody);
    const Outcome outcome = this->state.Apply(command);
    if (!outcome.Ok()) {
      std::printf("refused: kind %zu: %s\n",
                  command.body.index(),
                  outcome.error->message.c_str());
      std::exit(1);
    }
  }

  double AcceptBundle(bool aChangePools)
  {
    const std::uint64_t version = this->state.ActiveBundle().version + 1;
    const std::string content(
      110 * static_cast<std::size_t>(this->size.workers), ' ');
    ProposeBundle propose{
      content, "d", "op", MakeBundle(this->size, version)
    };
    if (aChangePools) {
      propose.bundle.pools[0].minAvailable =
        static_cast<std::uint32_t>(version);
    } else if (version > 1) {
      propose.bundle.pools = this->state.ActiveBundle().pools;
    }
    Command command;
    command.body = propose;
    this->proposalBytes = wire::EncodeCommand(command).size();
    this->Apply(std::move(propose));
    const auto start = std::chrono::steady_clock::now();
    this->Apply(ApproveBundle{ version, "d", MemberId("m") });
    return NanosecondsSince(start);
  }

  Announcement MakeAnnouncement(int aWorker)
  {
    Announcement announcement;
    announcement.instance = Worker(aWorker);
    announcement.boot = "boot";
    announcement.sequence = ++this->sequence;
    announcement.service =
      ServiceId("service-" + std::to_string(aWorker % this->size.pools));
    announcement.address = "127.0.0.1:9000";
    announcement.slots = kSlots;
    announcement.capacity = { 32000, 65536, 0 };
    return announcement;
  }

  SubmitJob MakeJob()
  {
    SubmitJob job;
    job.job = JobId("job-" + std::to_string(++this->jobs));
    job.team = this->PickTeam();
    job.service =
      ServiceId("service-" + std::to_string(this->random.Below(this->Pools())));
    job.size = { 1000, 512, 0 };
    job.payload = std::string(200, 'p');
    return job;
  }

  // Per worker: one running task, two waiting jobs, five claims.
  void FillWithWork()
  {
    for (int i = 0; i < this->size.workers; ++i) {
      SubmitJob running = this->MakeJob();
      running.service =
        ServiceId("service-" + std::to_string(i % this->size.pools));
      this->Apply(running);
      this->Apply(
        PlaceTask{ running.job, Worker(i), 1, Duration(3600LL * 1000000), {} });
      this->Apply(this->MakeJob());
      this->Apply(this->MakeJob());
      for (int j = 0; j < 5; ++j) {
        this->Apply(this->MakeClaim());
      }
    }
  }

  ClaimRequest MakeClaim()
  {
    return { TeamId("team-0"),
             "claim-" + std::to_string(++this->claims),
             std::string(32, 'd'),
             Entry(0),
             this->now };
  }

  static InstanceId Worker(int aIndex)
  {
    return InstanceId("worker-" + std::to_string(aIndex));
  }
  static InstanceId Entry(int aIndex)
  {
    return InstanceId("entry-" + std::to_string(aIndex));
  }
  int PickWorker()
  {
    return static_cast<int>(
      this->random.Below(static_cast<std::uint64_t>(this->size.workers)));
  }
  TeamId PickTeam()
  {
    return TeamId("team-" + std::to_string(this->random.Below(
                              static_cast<std::uint64_t>(this->size.teams))));
  }
  [[nodiscard]] std::uint64_t Pools() const
  {
    return static_cast<std::uint64_t>(this->size.pools);
  }

  Size size;
  Random random;
  FleetState state;
  WallTime now{ Duration(1000000000000) };
  std::uint64_t sequence = 0;
  std::uint64_t jobs = 0;
  std::uint64_t claims = 0;
  std::uint64_t keys = 0;
  std::uint64_t returns = 0;
  std::size_t proposalBytes = 0;
  double residentMb = 0;
};

} // namespace hyssoppaddle::bench

#endif
