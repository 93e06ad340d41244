// Compares the policy of the planner with three baselines for both deployments:
// never move, always follow demand, and shares by slot count alone.
// docs/measures.md defines the measures. Usage: PolicyBench [seed [minutes]]
#include "../test/planner/FleetDriver.h"
#include "../test/planner/Fleets.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

constexpr Duration kPeakLength = 8 * kSecond;
constexpr double kMeanLoad = 0.5; // of a pool's slots
constexpr double kMeanRunTimeSeconds = 5.0;
constexpr Duration kSampleInterval = 200 * kMillisecond;
constexpr Duration kWindow = kMinute;
constexpr std::uint32_t kSlots = 8;

enum class Strategy
{
  Planner,
  NeverMove,
  FollowDemand,
  SlotShares,
};

const char*
NameOf(Strategy aStrategy)
{
  constexpr std::array kNames{
    "planner", "never move", "always follow demand", "shares by slot count"
  };
  return kNames.at(static_cast<std::size_t>(aStrategy));
}

struct Result
{
  double bufferHours = 0;   // idle instance-hours
  double capacityHours = 0; // instance-hours held
  std::size_t moves = 0;
  double waitP99 = 0;          // seconds
  double shortfall = 0;        // largest, relative
  double idleWhileWaiting = 0; // slot-seconds
};

class PolicyRun
{
public:
  PolicyRun(const state::Bundle& aBundle,
            Strategy aStrategy,
            std::uint64_t aSeed,
            bool aKeepsQueuesFull)
    : bundle(aBundle)
    , strategy(aStrategy)
    , random(aSeed)
    , keepsQueuesFull(aKeepsQueuesFull)
    , fleet(aBundle)
  {
    // The mean load is derived from these sizes, so that extra instances are
    // slack.
    for (std::size_t pool = 0; pool < aBundle.pools.size(); ++pool) {
      this->baseSizes.push_back(aBundle.pools[pool].instances.size());
    }
    for (std::size_t team = 0; team < aBundle.teams.size(); ++team) {
      constexpr double kErrors[]{ 0.25, 0.5, 1.0, 2.0, 4.0, 1.0 };
      this->errors.push_back(kErrors[(team + aSeed) % 6]);
    }
    this->fleet.onStart = [this](const JobId& aJob, const InstanceId&) {
      const auto job = this->fleet.state.Jobs().find(aJob);
      if (job != this->fleet.state.Jobs().end() && job->second.epoch == 1) {
        this->waits.push_back(
          static_cast<double>(
            (this->fleet.Wall() - job->second.submittedAt).count()) /
          1e6);
      }
    };
    this->fleet.observer = [this](const state::CommandBody& aBody,
                                  const state::Outcome& aOutcome) {
      const bool isMove = std::holds_alternative<state::MoveInstance>(aBody);
      this->result.moves += isMove && aOutcome.Ok() ? 1 : 0;
    };
  }

  // Sets the pool sizes that the load is computed from.
  void SetBaseSizes(std::vector<std::size_t> aSizes)
  {
    this->baseSizes = std::move(aSizes);
  }

  Result Run(Duration aLength)
  {
    this->fleet.Run(5 * kSecond);
    this->ScheduleFaults(aLength);
    const Time end = this->fleet.now + aLength;
    while (this->fleet.now < end) {
      if (this->keepsQueuesFull) {
        this->KeepQueuesFull();
      } else {
        this->SubmitRotatingPeaks();
      }
      if (this->strategy == Strategy::FollowDemand) {
        this->MoveToDemand();
      }
      this->fleet.Run(kSampleInterval);
      this->Sample();
    }
    std::sort(this->waits.begin(), this->waits.end());
    if (!this->waits.empty()) {
      this->result.waitP99 = this->waits[this->waits.size() * 99 / 100];
    }
    return this->result;
  }

private:
  // A rack is lost after a quarter of the run and returns after half; a second
  // instance is lost right after the repair.
  void ScheduleFaults(Duration aLength)
  {
    const RackId rack = this->bundle.pools[0].instances[2].rack;
    std::vector<InstanceId> lost;
    for (const state::PoolSpec& pool : this->bundle.pools) {
      for (const state::InstanceSpec& instance : pool.instances) {
        if (instance.rack == rack) {
          lost.push_back(instance.name);
        }
      }
    }
    this->fleet.After(aLength / 4, [this, lost]() {
      for (const InstanceId& instance : lost) {
        this->fleet.Kill(instance);
      }
    });
    this->fleet.After(aLength / 2, [this, lost]() {
      for (const InstanceId& instance : lost) {
        if (!this->fleet.upstreams[instance].up) {
          this->fleet.Boot(instance);
        }
      }
    });
    this->fleet.After(aLength / 2 + 20 * kSecond,
                      [this, lost]() { this->fleet.Kill(lost.back()); });
    this->fleet.After(aLength * 3 / 4, [this, lost]() {
      if (!this->fleet.upstreams[lost.back()].up) {
        this->fleet.Boot(lost.back());
      }
    });
  }

  void Submit(std::size_t aTeam, std::size_t aPool)
  {
    const state::Resources& shape = this->bundle.pools[0].instances[0].capacity;
    const std::int64_t perSlot = shape.milliCpus / kSlots;
    state::SubmitJob job;
    job.job = JobId("job" + std::to_string(++this->serial));
    job.team = TeamName(aTeam);
    job.service = ServiceName(aPool);
    // The true size differs from the declared one by the team's error.
    const double factor = 0.25 + 0.5 * this->random.Fraction();
    const double used = static_cast<double>(perSlot) * factor;
    job.size = { static_cast<std::int64_t>(used / this->errors[aTeam]), 64, 0 };
    JobBehaviour truth;
    truth.usage = { static_cast<std::int64_t>(used), 64, 0 };
    if (this->strategy == Strategy::SlotShares) {
      job.size = { perSlot / 2, 64, 0 };
    }
    truth.runTime = Duration(static_cast<Duration::rep>(
      kMeanRunTimeSeconds * 1e6 * (0.25 + 1.5 * this->random.Fraction())));
    this->actualMilliCpus[job.job] = truth.usage.milliCpus;
    if (this->strategy == Strategy::SlotShares) {
      truth.usage = job.size;
    }
    this->fleet.SubmitJob(job, truth);
  }

  // One queue at a time receives five times its mean load, the others 1/20.
  void SubmitRotatingPeaks()
  {
    const std::size_t pools = this->bundle.pools.size();
    const auto turn = static_cast<std::size_t>(
      this->fleet.now.time_since_epoch() / kPeakLength % pools);
    const double seconds = static_cast<double>(kSampleInterval.count()) / 1e6;
    for (std::size_t pool = 0; pool < pools; ++pool) {
      const double mean = static_cast<double>(this->baseSizes[pool]) * kSlots *
                          kMeanLoad / kMeanRunTimeSeconds;
      double expected = mean * seconds * (pool == turn ? 5.0 : 0.05);
      for (; expected > this->random.Fraction(); expected -= 1.0) {
        this->Submit(this->random.Below(this->bundle.teams.size()), pool);
      }
    }
  }

  // Keeps jobs of every team waiting in every pool.
  void KeepQueuesFull()
  {
    std::map<std::pair<TeamId, PoolId>, int> waiting;
    for (const state::PoolSpec& pool : this->bundle.pools) {
      for (const auto& [at, job] : this->fleet.state.WaitingJobs(pool.name)) {
        ++waiting[{ this->fleet.state.Jobs().at(job).team, pool.name }];
      }
    }
    for (std::size_t team = 0; team < this->bundle.teams.size(); ++team) {
      for (std::size_t pool = 0; pool < this->bundle.pools.size(); ++pool) {
        int& count = waiting[{ TeamName(team), PoolId(PoolName(pool)) }];
        for (; count < 12; ++count) {
          this->Submit(team, pool);
        }
      }
    }
  }

  // Baseline: once per peak, requests that an instance of the pool with the
  // least demand per instance moves to the pool with the most.
  void MoveToDemand()
  {
    if (this->fleet.now < this->nextMoveAt) {
      return;
    }
    this->nextMoveAt = this->fleet.now + kPeakLength;
    std::optional<std::pair<double, std::size_t>> most;
    std::optional<std::pair<double, std::size_t>> least;
    for (std::size_t pool = 0; pool < this->bundle.pools.size(); ++pool) {
      const PoolId id(PoolName(pool));
      const auto& instances = this->fleet.state.InstancesOf(id);
      double demand =
        static_cast<double>(this->fleet.state.WaitingJobs(id).size());
      for (const InstanceId& instance : instances) {
        demand +=
          static_cast<double>(this->fleet.state.JobsOn(instance).size());
      }
      const std::pair level(demand / static_cast<double>(instances.size() + 1),
                            pool);
      most = most ? std::max(*most, level) : level;
      least = least ? std::min(*least, level) : level;
    }
    const PoolId from(PoolName(least->second));
    for (const InstanceId& instance : this->fleet.state.InstancesOf(from)) {
      const state::InstanceRecord& record = this->fleet.Instance(instance);
      if (record.phase == state::InstancePhase::Serving && !record.requested) {
        this->fleet.ApplyNow(
          state::RequestInstanceAction{ instance,
                                        state::InstanceAction::Move,
                                        PoolId(PoolName(most->second)) });
        return;
      }
    }
  }

  void Sample()
  {
    const double seconds = static_cast<double>(kSampleInterval.count()) / 1e6;
    std::map<PoolId, std::uint64_t> idle;
    double idleInstances = 0;
    double held = 0;
    std::vector<double> use(this->bundle.teams.size(), 0.0);
    for (const auto& [instance, upstream] : this->fleet.upstreams) {
      held += 1;
      if (!upstream.up) {
        continue;
      }
      const std::size_t busy =
        std::min<std::size_t>(kSlots, upstream.tasks.size());
      idleInstances += static_cast<double>(kSlots - busy) / kSlots;
      const state::InstanceRecord& record = this->fleet.Instance(instance);
      if (record.phase == state::InstancePhase::Serving) {
        idle[record.pool] += kSlots - busy;
      }
      for (const auto& [job, task] : upstream.tasks) {
        const auto team = this->fleet.state.Jobs().find(job);
        if (team != this->fleet.state.Jobs().end()) {
          use[static_cast<std::size_t>(
            std::atoi(team->second.team.value.c_str() + 4))] +=
            static_cast<double>(this->actualMilliCpus[job]) * seconds;
        }
      }
    }
    this->result.bufferHours += idleInstances * seconds / 3600;
    this->result.capacityHours += held * seconds / 3600;
    this->SampleIdle(idle, seconds);
    if (this->keepsQueuesFull) {
      this->SampleShares(std::move(use));
    }
  }

  // Counts idle slots of serving instances while jobs that have waited for more
  // than a second would fit there by their declared size and the existing
  // reservations.
  void SampleIdle(const std::map<PoolId, std::uint64_t>& aIdle, double aSeconds)
  {
    for (const auto& [pool, slots] : aIdle) {
      std::uint64_t late = 0;
      for (const auto& [at, job] : this->fleet.state.WaitingJobs(pool)) {
        if (late == slots || this->fleet.Wall() - at <= kSecond) {
          break;
        }
        if (!this->FitsSomewhere(this->fleet.state.Jobs().at(job))) {
          break;
        }
        ++late;
      }
      this->result.idleWhileWaiting += static_cast<double>(late) * aSeconds;
    }
  }

  [[nodiscard]] bool FitsSomewhere(const state::JobRecord& aJob) const
  {
    for (const InstanceId& instance :
         this->fleet.state.InstancesOf(aJob.pool)) {
      const state::InstanceRecord& record = this->fleet.Instance(instance);
      if (record.phase != state::InstancePhase::Serving) {
        continue;
      }
      std::uint32_t slots = aJob.slots;
      state::Resources sum = aJob.size;
      for (const JobId& other : this->fleet.state.JobsOn(instance)) {
        const state::JobRecord& placed = this->fleet.state.Jobs().at(other);
        slots += placed.slots;
        sum.milliCpus += std::max(placed.task->charged.milliCpus,
                                  placed.task->usage.milliCpus);
        sum.memoryMb +=
          std::max(placed.task->charged.memoryMb, placed.task->usage.memoryMb);
      }
      if (slots <= kSlots && sum.FitsInto(record.capacity)) {
        return true;
      }
    }
    return false;
  }

  // Records the largest relative shortfall of any team over each full minute.
  // The first two minutes are excluded, because job sizes are learned in them.
  void SampleShares(std::vector<double> aUse)
  {
    this->window.push_back(std::move(aUse));
    if (this->window.size() >
        static_cast<std::size_t>(kWindow / kSampleInterval)) {
      this->window.pop_front();
    }
    ++this->samples;
    const auto warmUpSamples =
      static_cast<std::size_t>(3 * kMinute / kSampleInterval);
    if (this->samples < warmUpSamples) {
      return;
    }
    std::vector<double> sums(this->bundle.teams.size(), 0.0);
    double all = 0;
    double shares = 0;
    for (const std::vector<double>& use : this->window) {
      for (std::size_t team = 0; team < use.size(); ++team) {
        sums[team] += use[team];
        all += use[team];
      }
    }
    for (const state::TeamSpec& team : this->bundle.teams) {
      shares += team.share;
    }
    for (std::size_t team = 0; team < sums.size(); ++team) {
      const double fairUse = all * this->bundle.teams[team].share / shares;
      this->result.shortfall =
        std::max(this->result.shortfall, 1.0 - sums[team] / fairUse);
    }
  }

  state::Bundle bundle;
  Strategy strategy;
  Random random;
  bool keepsQueuesFull;
  FleetDriver fleet;
  std::vector<std::size_t> baseSizes;
  std::vector<double> errors;
  std::map<JobId, std::int64_t> actualMilliCpus;
  std::vector<double> waits;
  std::deque<std::vector<double>> window;
  std::size_t samples = 0;
  std::uint64_t serial = 0;
  Time nextMoveAt{};
  Result result;
};

state::Bundle
BundleFor(FleetShape aShape, Strategy aStrategy, std::uint32_t aExtra)
{
  aShape.limit = 4000;
  for (std::uint32_t& size : aShape.poolSizes) {
    size += aExtra;
  }
  aShape.slack += aExtra;
  state::Bundle bundle = MakeBundle(aShape);
  // The maintenance wave is due at once and runs during the whole measurement.
  bundle.policy.maintenanceInterval = 24 * 60 * kMinute;
  const bool keepsPools =
    aStrategy == Strategy::NeverMove || aStrategy == Strategy::FollowDemand;
  for (state::PoolSpec& pool : bundle.pools) {
    pool.spare = pool.spare && !keepsPools;
  }
  return bundle;
}

Result
RunOne(const FleetShape& aShape,
       Strategy aStrategy,
       std::uint32_t aExtra,
       std::uint64_t aSeed,
       Duration aLength,
       bool aKeepsQueuesFull)
{
  PolicyRun run(
    BundleFor(aShape, aStrategy, aExtra), aStrategy, aSeed, aKeepsQueuesFull);
  run.SetBaseSizes({ aShape.poolSizes.begin(), aShape.poolSizes.end() });
  return run.Run(aLength);
}

void
Print(const char* aFleet,
      const char* aName,
      std::uint32_t aExtra,
      const Result& aResult)
{
  std::printf("%-16s %-22s +%u/pool  buffer %7.2f of %7.2f inst-h  moves %4zu  "
              "p99 wait %6.2f s  shortfall %6.3f  idle while waiting %7.1f "
              "slot-s\n",
              aFleet,
              aName,
              aExtra,
              aResult.bufferHours,
              aResult.capacityHours,
              aResult.moves,
              aResult.waitP99,
              aResult.shortfall,
              aResult.idleWhileWaiting);
  std::fflush(stdout);
}

void
MeasureRotatingPeaks(const char* aFleet,
                     const FleetShape& aShape,
                     std::uint64_t aSeed,
                     Duration aLength)
{
  const Result own =
    RunOne(aShape, Strategy::Planner, 0, aSeed, aLength, false);
  Print(aFleet, NameOf(Strategy::Planner), 0, own);
  for (std::uint32_t extra = 0; extra <= 6; ++extra) {
    const Result never =
      RunOne(aShape, Strategy::NeverMove, extra, aSeed, aLength, false);
    Print(aFleet, NameOf(Strategy::NeverMove), extra, never);
    if (never.waitP99 <= own.waitP99) {
      break;
    }
  }
  Print(aFleet,
        NameOf(Strategy::FollowDemand),
        0,
        RunOne(aShape, Strategy::FollowDemand, 0, aSeed, aLength, false));
}

void
MeasureShares(const char* aFleet,
              const FleetShape& aShape,
              std::uint64_t aSeed,
              Duration aLength)
{
  for (const Strategy strategy : { Strategy::Planner, Strategy::SlotShares }) {
    Print(aFleet,
          NameOf(strategy),
          0,
          RunOne(aShape, strategy, 0, aSeed, aLength, true));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  const Duration length =
    (aCount > 2 ? std::atoi(aArguments[2]) : 40) * kMinute;
  std::printf("seed %llu, %lld min of virtual time\n",
              static_cast<unsigned long long>(seed),
              static_cast<long long>(length / kMinute));
  std::printf("demand by turns, a rack lost, a second loss, a wave:\n");
  MeasureRotatingPeaks("co-operative", CooperativeShape(), seed, length);
  MeasureRotatingPeaks("payroll printer", PayrollShape(), seed, length);
  std::printf("full, sizes wrong by up to 4:\n");
  MeasureShares("payroll printer", PayrollShape(), seed, length / 4);
  MeasureShares("co-operative", CooperativeShape(), seed, length / 4);
  return 0;
}
