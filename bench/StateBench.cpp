// Cost of the replicated state at 49, 490 and 6,100 workers in one run: time
// per command by kind, snapshot and restore, resident memory. The rounds of the
// three sizes alternate, so that noise of the machine hits all of them.
#include "base/Random.h"
#include "state/FleetState.h"
#include "wire/Codec.h"
#include "wire/FrameReader.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <unistd.h>

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;

namespace {

constexpr std::uint64_t kSeed = 42;
constexpr int kRounds = 7;
constexpr int kOperations = 2000;
constexpr int kSlots = 8;
constexpr int kEntries = 11;
constexpr int kBundleRounds = 5;

struct Size
{
  int workers;
  int pools;
  int teams;
};

constexpr Size kSizes[] = { { 49, 5, 11 }, { 490, 12, 20 }, { 6100, 122, 44 } };

double
Since(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::nano>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

double
ResidentMb()
{
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1048576.0;
}

Bundle
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

// One fleet with work in it, and the commands that are measured on it.
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
    return Since(start);
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

// The commands of one kind, built before the clock starts.
struct Kind
{
  const char* name;
  std::function<std::vector<CommandBody>(Subject&)> make;
};

void
AddPhase(std::vector<CommandBody>& aBodies,
         const InstanceId& aWorker,
         InstancePhase aFrom,
         InstancePhase aTo)
{
  aBodies.push_back(
    SetInstancePhase{ aWorker, aFrom, aTo, StopPurpose::Maintenance, "bench" });
}

std::vector<CommandBody>
Announcements(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations; ++i) {
    bodies.push_back(
      UpdateUpstream{ aSubject.MakeAnnouncement(aSubject.PickWorker()) });
  }
  return bodies;
}

std::vector<CommandBody>
Silences(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations / 3; ++i) {
    const int worker = aSubject.PickWorker();
    bodies.push_back(MarkUpstreamSilent{
      Subject::Worker(worker), "boot", ++aSubject.sequence });
    bodies.push_back(UpdateUpstream{ aSubject.MakeAnnouncement(worker) });
    AddPhase(bodies,
             Subject::Worker(worker),
             InstancePhase::Soaking,
             InstancePhase::Serving);
  }
  return bodies;
}

std::vector<CommandBody>
Phases(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations / 2; ++i) {
    const InstanceId worker = Subject::Worker(aSubject.PickWorker());
    AddPhase(bodies, worker, InstancePhase::Serving, InstancePhase::Draining);
    AddPhase(bodies, worker, InstancePhase::Draining, InstancePhase::Serving);
  }
  return bodies;
}

std::vector<CommandBody>
Jobs(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations / 2; ++i) {
    const SubmitJob job = aSubject.MakeJob();
    bodies.push_back(job);
    bodies.push_back(CancelJobs{ job.team, { job.job } });
  }
  return bodies;
}

std::vector<CommandBody>
Tasks(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations / 2; ++i) {
    const std::string worker = std::to_string(aSubject.PickWorker());
    const JobId job("job-" + worker + "-" + std::to_string(++aSubject.jobs));
    const InstanceId instance("worker-" + worker);
    SubmitJob submit = aSubject.MakeJob();
    submit.job = job;
    submit.service = ServiceId(
      "service-" +
      std::to_string(std::stoi(worker) % static_cast<int>(aSubject.Pools())));
    aSubject.Apply(submit);
    bodies.push_back(
      PlaceTask{ job, instance, 1, Duration(30000000), { 1000, 512, 0 } });
    bodies.push_back(
      ReportTasks{ instance, "boot", { { job, 1, TaskState::Done, {}, "" } } });
  }
  return bodies;
}

std::vector<CommandBody>
Claims(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations / 2; ++i) {
    const ClaimRequest claim = aSubject.MakeClaim();
    bodies.push_back(claim);
    bodies.push_back(
      FinishClaim{ claim.team, claim.idempotencyKey, ClaimState::Done, 200 });
  }
  return bodies;
}

std::vector<CommandBody>
Permits(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations / 2; ++i) {
    const InstanceId entry = Subject::Entry(i % kEntries);
    const TeamId team = aSubject.PickTeam();
    bodies.push_back(GrantPermits{ entry, "boot", team, 4 });
    bodies.push_back(
      ReturnPermits{ entry, "boot", team, 4, ++aSubject.returns });
  }
  return bodies;
}

std::vector<CommandBody>
Keys(Subject& aSubject)
{
  std::vector<CommandBody> bodies;
  for (int i = 0; i < kOperations / 2; ++i) {
    const KeyId key("key-" + std::to_string(++aSubject.keys));
    bodies.push_back(
      GrantKey{ key, KeyRole::Team, "team-0", std::string(32, 'd') });
    bodies.push_back(WithdrawKey{ key, Duration(0) });
  }
  return bodies;
}

const Kind kKinds[] = {
  { "announcement", Announcements },
  { "silence, return, soak end", Silences },
  { "instance phase", Phases },
  { "job submit, cancel", Jobs },
  { "task place, done", Tasks },
  { "claim, finish", Claims },
  { "permit grant, return", Permits },
  { "key grant, withdraw", Keys },
};

double
Median(std::vector<double> aValues)
{
  std::ranges::sort(aValues);
  return aValues[aValues.size() / 2];
}

void
PrintRow(const char* aName, const char* aUnit, const std::vector<double>& aRow)
{
  std::printf("%-28s %-4s", aName, aUnit);
  for (const double value : aRow) {
    std::printf(" %12.1f", value);
  }
  for (std::size_t i = 1; i < aRow.size(); ++i) {
    std::printf(" %8.2f", aRow[i] / aRow[0]);
  }
  std::printf("\n");
}

double
MeasureApply(const Kind& aKind, Subject& aSubject)
{
  std::vector<CommandBody> bodies = aKind.make(aSubject);
  const auto count = static_cast<double>(bodies.size());
  const auto start = std::chrono::steady_clock::now();
  for (CommandBody& body : bodies) {
    aSubject.Apply(std::move(body));
  }
  return Since(start) / count;
}

// What every replica does with a committed entry.
double
MeasureDecodeAndApply(const Kind& aKind, Subject& aSubject)
{
  std::vector<std::string> entries;
  for (CommandBody& body : aKind.make(aSubject)) {
    Command command;
    command.at = aSubject.now;
    command.body = std::move(body);
    entries.push_back(wire::EncodeCommand(command));
  }
  const auto start = std::chrono::steady_clock::now();
  for (const std::string& entry : entries) {
    const auto command = wire::DecodeCommand(entry);
    if (!command.has_value() || !aSubject.state.Apply(*command).Ok()) {
      std::exit(1);
    }
  }
  return Since(start) / static_cast<double>(entries.size());
}

using Measure = std::function<double(Subject&)>;

void
MeasureRow(const char* aName,
           const char* aUnit,
           int aRounds,
           std::vector<Subject>& aSubjects,
           const Measure& aMeasure)
{
  std::vector<std::vector<double>> values(aSubjects.size());
  for (int round = 0; round < aRounds; ++round) {
    for (std::size_t i = 0; i < aSubjects.size(); ++i) {
      values[i].push_back(aMeasure(aSubjects[i]));
    }
  }
  std::vector<double> row;
  row.reserve(values.size());
  for (std::vector<double>& measured : values) {
    row.push_back(Median(std::move(measured)));
  }
  PrintRow(aName, aUnit, row);
}

double
MeasureRestore(Subject& aSubject)
{
  const std::string bytes = aSubject.state.Snapshot();
  FleetState copy;
  const auto start = std::chrono::steady_clock::now();
  if (!copy.Restore(bytes).has_value()) {
    std::exit(1);
  }
  return Since(start) / 1e6;
}

} // namespace

int
main()
{
  std::vector<Subject> subjects;
  for (const Size& size : kSizes) {
    subjects.emplace_back(size);
  }
  std::printf("seed %llu, median of %d rounds; columns: 49, 490 and 6100 "
              "workers, then ratios to 49\n",
              static_cast<unsigned long long>(kSeed),
              kRounds);
  const auto print = [&](const char* aName,
                         const char* aUnit,
                         int aRounds,
                         const Measure& aMeasure) {
    MeasureRow(aName, aUnit, aRounds, subjects, aMeasure);
  };
  print("state, resident", "MB", 1, [](Subject& aSubject) {
    return aSubject.residentMb;
  });
  print("snapshot", "KiB", 1, [](Subject& aSubject) {
    return static_cast<double>(aSubject.state.Snapshot().size()) / 1024;
  });
  print("bundle proposal", "KiB", 1, [](Subject& aSubject) {
    return static_cast<double>(aSubject.proposalBytes) / 1024;
  });
  for (const Kind& kind : kKinds) {
    print(kind.name, "ns", kRounds, [&](Subject& aSubject) {
      return MeasureApply(kind, aSubject);
    });
  }
  std::printf("decoded and applied, as every replica does with an entry:\n");
  for (const Kind& kind : kKinds) {
    print(kind.name, "ns", kRounds, [&](Subject& aSubject) {
      return MeasureDecodeAndApply(kind, aSubject);
    });
  }
  print("bundle, pools unchanged", "us", kBundleRounds, [](Subject& aSubject) {
    return aSubject.AcceptBundle(false) / 1000;
  });
  print("bundle, a pool changed", "us", kBundleRounds, [](Subject& aSubject) {
    return aSubject.AcceptBundle(true) / 1000;
  });
  print("snapshot", "ms", kRounds, [](Subject& aSubject) {
    const auto start = std::chrono::steady_clock::now();
    static_cast<void>(aSubject.state.Snapshot());
    return Since(start) / 1e6;
  });
  print("restore", "ms", kRounds, MeasureRestore);
  print("restored, with 11 bundles", "MB", 1, [](Subject& aSubject) {
    const std::string bytes = aSubject.state.Snapshot();
    const double before = ResidentMb();
    FleetState copy;
    static_cast<void>(copy.Restore(bytes));
    return ResidentMb() - before;
  });
  return 0;
}
