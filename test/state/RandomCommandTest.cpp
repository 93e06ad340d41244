// Applies random commands and checks the invariants of the state by scanning
// its public records.
#include "Fleet.h"
#include "RandomCommands.h"

#include <map>
#include <optional>
#include <set>

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;
using namespace hyssoppaddle::test;

namespace {

constexpr int kCommandsPerSeed = 6000;

std::map<TeamId, std::uint32_t>
ScanCommitted(const FleetState& aState)
{
  std::map<TeamId, std::uint32_t> sums{ { TeamId("red"), 0 },
                                        { TeamId("blue"), 0 } };
  for (const auto& [name, entry] : aState.Entries()) {
    for (const auto& [team, count] : entry.permits) {
      sums[team] += count;
    }
    for (const auto& [team, count] : entry.withheld) {
      sums[team] += count;
    }
  }
  for (const auto& [name, job] : aState.Jobs()) {
    if (job.task.has_value()) {
      sums[job.team] += job.slots;
    }
  }
  return sums;
}

std::map<InstanceId, PoolId>
ScanPools(const FleetState& aState)
{
  std::map<InstanceId, PoolId> pools;
  for (const auto& [name, record] : aState.Instances()) {
    pools[name] = record.pool;
  }
  return pools;
}

// The parts of the state that the checks compare with those after a command.
struct StateBefore
{
  explicit StateBefore(const FleetState& aState)
    : committed(ScanCommitted(aState))
    , pools(ScanPools(aState))
    , version(aState.ActiveBundle().version)
    , jobs(aState.Jobs())
  {
  }

  std::map<TeamId, std::uint32_t> committed;
  std::map<InstanceId, PoolId> pools;
  std::uint64_t version;
  std::map<JobId, JobRecord> jobs;
};

bool
ReportsNotRunOrCheckpointed(const Command& aCommand)
{
  const auto* reports = std::get_if<ReportTasks>(&aCommand.body);
  return reports != nullptr &&
         (reports->reports[0].state == TaskState::NotRun ||
          reports->reports[0].state == TaskState::Checkpointed);
}

class InvariantChecker
{
public:
  InvariantChecker(TestTrace& aTrace, const FleetState& aState)
    : trace(aTrace)
    , state(aState)
  {
  }

  void CheckAfter(const Command& aCommand,
                  const Outcome& aOutcome,
                  const StateBefore& aBefore)
  {
    this->CheckSlots(aBefore);
    this->CheckIndexes();
    this->CheckPools(aCommand, aBefore);
    this->CheckBudget(aCommand, aOutcome);
    this->CheckClaim(aCommand, aOutcome);
    this->CheckTasks(aCommand, aBefore);
    EXPECT_THAT(this->trace,
                this->state.ActiveBundle().version - aBefore.version <= 1);
  }

private:
  // If a bundle lowered the limit, running work may finish, but no slots may be
  // added.
  void CheckSlots(const StateBefore& aBefore)
  {
    for (const auto& [team, sum] : ScanCommitted(this->state)) {
      EXPECT_EQUAL(this->trace, this->state.CommittedSlots(team), sum);
      const TeamSpec* spec = this->state.FindTeam(team);
      const std::uint32_t limit = spec == nullptr ? 0 : spec->limit;
      const auto before = aBefore.committed.find(team);
      EXPECT_THAT(this->trace,
                  sum <= limit || (before != aBefore.committed.end() &&
                                   sum <= before->second));
    }
  }

  void CheckIndexes()
  {
    std::map<PoolId, std::set<InstanceId>> ofPool;
    std::map<PoolId, std::uint32_t> serving;
    for (const auto& [name, record] : this->state.Instances()) {
      ofPool[record.pool].insert(name);
      serving[record.pool] += record.phase == InstancePhase::Serving ? 1 : 0;
    }
    for (const char* name : { "p", "q", "s" }) {
      const PoolId pool(name);
      EXPECT_THAT(this->trace, this->state.InstancesOf(pool) == ofPool[pool]);
      EXPECT_EQUAL(this->trace, this->state.AvailableIn(pool), serving[pool]);
    }
    std::map<PoolId, std::set<std::pair<WallTime, JobId>>> waiting;
    std::map<InstanceId, std::set<JobId>> placed;
    for (const auto& [name, job] : this->state.Jobs()) {
      if (job.state == JobState::Waiting) {
        waiting[job.pool].emplace(job.submittedAt, name);
      } else if (job.state == JobState::Placed) {
        placed[job.task->instance].insert(name);
      }
    }
    for (const auto& [name, record] : this->state.Instances()) {
      EXPECT_THAT(this->trace, this->state.JobsOn(name) == placed[name]);
      EXPECT_THAT(this->trace,
                  this->state.WaitingJobs(record.pool) == waiting[record.pool]);
    }
    for (const auto& [name, record] : this->state.Upstreams()) {
      const ServiceId& service = record.announcement.service;
      EXPECT_THAT(this->trace, this->state.UpstreamsOf(service).contains(name));
      EXPECT_THAT(this->trace, this->state.Instances().contains(name));
    }
  }

  // Only MoveInstance may change the pool of an instance.
  void CheckPools(const Command& aCommand, const StateBefore& aBefore)
  {
    const auto* move = std::get_if<MoveInstance>(&aCommand.body);
    for (const auto& [name, pool] : ScanPools(this->state)) {
      const auto before = aBefore.pools.find(name);
      const bool changed =
        before != aBefore.pools.end() && before->second != pool;
      EXPECT_THAT(this->trace,
                  !changed || (move != nullptr && move->instance == name));
    }
  }

  void CheckBudget(const Command& aCommand, const Outcome& aOutcome)
  {
    const auto* step = std::get_if<SetInstancePhase>(&aCommand.body);
    if (step == nullptr || !aOutcome.Ok() || aOutcome.repeated ||
        step->from != InstancePhase::Serving ||
        !this->state.Instances().contains(step->instance)) {
      return;
    }
    const PoolId& pool = this->state.Instances().at(step->instance).pool;
    const PoolSpec* spec = this->state.FindPool(pool);
    EXPECT_THAT(this->trace,
                spec == nullptr ||
                  this->state.AvailableIn(pool) >= spec->minAvailable);
  }

  // A claim may be granted again only after its holder reported NotRun or after
  // the retention, when requests that old are refused anyway.
  void CheckClaim(const Command& aCommand, const Outcome& aOutcome)
  {
    if (const auto* finish = std::get_if<FinishClaim>(&aCommand.body)) {
      if (aOutcome.Ok() && finish->state == ClaimState::NotRun) {
        this->granted.erase({ finish->team, finish->idempotencyKey });
      }
      return;
    }
    const auto* claim = std::get_if<ClaimRequest>(&aCommand.body);
    if (claim == nullptr || !aOutcome.claim || !aOutcome.claim->granted) {
      return;
    }
    const ClaimKey key{ claim->team, claim->idempotencyKey };
    const auto before = this->granted.find(key);
    EXPECT_THAT(this->trace,
                before == this->granted.end() ||
                  before->second + 86400 * kSecond <= this->state.Now());
    this->granted[key] = this->state.Now();
  }

  // Epochs never decrease, and a non-idempotent job whose task may have run is
  // not placed again.
  void CheckTasks(const Command& aCommand, const StateBefore& aBefore)
  {
    for (const auto& [name, job] : this->state.Jobs()) {
      const auto before = aBefore.jobs.find(name);
      if (before == aBefore.jobs.end() ||
          before->second.submittedAt != job.submittedAt) {
        continue;
      }
      EXPECT_THAT(this->trace, job.epoch >= before->second.epoch);
      EXPECT_THAT(this->trace,
                  before->second.state != JobState::OutcomeUnknown ||
                    job.state == JobState::OutcomeUnknown);
      EXPECT_THAT(this->trace,
                  job.idempotent || job.state != JobState::Waiting ||
                    before->second.state != JobState::Placed ||
                    ReportsNotRunOrCheckpointed(aCommand));
    }
  }

  TestTrace& trace;
  const FleetState& state;
  std::map<ClaimKey, WallTime> granted;
};

void
RunSeed(TestTrace& aTrace,
        std::uint64_t aSeed,
        std::map<std::size_t, int>& aAccepted)
{
  FleetState state;
  FleetState copy;
  RandomCommands commands(aSeed, state);
  InvariantChecker checks(aTrace, state);
  for (int i = 0; i < kCommandsPerSeed; ++i) {
    const Command command = commands.Next();
    aTrace.Section("command " + std::to_string(i) + " of kind " +
                     std::to_string(command.body.index()),
                   [&] {
                     const StateBefore before(state);
                     const Outcome outcome = state.Apply(command);
                     aAccepted[command.body.index()] +=
                       outcome.Ok() && !outcome.repeated ? 1 : 0;
                     EXPECT_THAT(aTrace, copy.Apply(command) == outcome);
                     const std::string bytes = state.Snapshot();
                     EXPECT_THAT(aTrace, copy.Snapshot() == bytes);
                     EXPECT_THAT(aTrace, copy.Restore(bytes).has_value());
                     checks.CheckAfter(command, outcome, before);
                   });
  }
}

} // namespace

// Guards against replicas that diverge after a restore, and against violated
// limits, budgets, pools, claims and epochs after unusual command sequences.
Test(RandomCommands, KeepInvariantsAndMatchARestoredCopy)
{
  TestTrace trace;
  std::map<std::size_t, int> accepted;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    trace.Section("seed " + std::to_string(seed),
                  [&] { RunSeed(trace, seed, accepted); });
  }
  // The rules of a command kind are checked only if commands of it are
  // accepted.
  for (const auto& [kind, count] : accepted) {
    trace.Section("kind " + std::to_string(kind),
                  [&] { EXPECT_THAT(trace, count >= 10); });
  }
}
