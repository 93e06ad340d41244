// Measures the cost of the replicated state at 49, 490 and 6,100 workers in one
// run: time per command by kind, snapshot and restore, and resident memory.
// Rounds of the three sizes alternate, so that machine noise affects all of
// them.
#include "StateSubject.h"

#include <algorithm>
#include <functional>

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;
using namespace hyssoppaddle::bench;

namespace {

constexpr int kRounds = 7;
constexpr int kOperations = 2000;
constexpr int kBundleRounds = 5;

// One kind of commands. They are built before the time measurement starts.
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
  return NanosecondsSince(start) / count;
}

// The work of every replica for a committed entry.
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
  return NanosecondsSince(start) / static_cast<double>(entries.size());
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
  return NanosecondsSince(start) / 1e6;
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
    return NanosecondsSince(start) / 1e6;
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
