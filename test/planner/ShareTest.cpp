// Tests of shares: closeness to the share while pools are full, recovery of
// lent share, and sizes that are declared too small.
#include "planner/FleetDriver.h"
#include "planner/Fleets.h"
#include "planner/ShareCaps.h"
#include "planner/ShareLedger.h"
#include "support/TestTrace.h"

#include <array>
#include <string>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

// Keeps jobs of each team waiting and sums the processors that the upstreams
// really give to each team.
class Competition
{
public:
  explicit Competition(FleetDriver& aFleet)
    : fleet(aFleet)
  {
  }

  void KeepWaiting(std::size_t aTeam,
                   std::size_t aCount,
                   std::int64_t aDeclared,
                   std::int64_t aActual,
                   Duration aRunTime)
  {
    std::size_t waiting = 0;
    for (const auto& [job, record] : this->fleet.state.Jobs()) {
      waiting += record.team == TeamName(aTeam) &&
                     record.state == state::JobState::Waiting
                   ? 1
                   : 0;
    }
    for (; waiting < aCount; ++waiting) {
      state::SubmitJob job;
      job.job = JobId("job" + std::to_string(++this->serial));
      job.team = TeamName(aTeam);
      job.service = ServiceName(0);
      job.size = { aDeclared, 10, 0 };
      JobBehaviour behaviour;
      behaviour.runTime = aRunTime;
      behaviour.usage = { aActual, 10, 0 };
      this->fleet.SubmitJob(job, behaviour);
    }
  }

  // Actual use of processors by the team now.
  [[nodiscard]] std::int64_t UsedMilliCpus(std::size_t aTeam) const
  {
    std::int64_t sum = 0;
    for (const auto& [instance, upstream] : this->fleet.upstreams) {
      for (const auto& [job, task] : upstream.tasks) {
        if (this->fleet.state.Jobs().at(job).team == TeamName(aTeam)) {
          sum += this->fleet.behaviours.at(job).usage.milliCpus;
        }
      }
    }
    return sum;
  }

private:
  FleetDriver& fleet;
  std::uint64_t serial = 0;
};

state::Bundle
SharedPoolBundle()
{
  FleetShape shape = PayrollShape();
  shape.shares = { 30, 10 };
  shape.limit = 400;
  return MakeBundle(shape);
}

} // namespace

// Guards against a window that loses use or counts it twice.
Test(Shares, LedgerOrdersTeamsByUseOverTheWindow)
{
  TestTrace trace;
  planner::ShareLedger ledger;
  const Time start{ kMinute };
  ledger.Reset(start);
  ledger.SetWindow(kMinute);
  ledger.SetCapacity({ 1000, 1000, 0 });
  ledger.SetShare(TeamName(0), 3);
  ledger.SetShare(TeamName(1), 1);
  trace.Section("both hold half of the fleet for 30 s", [&] {
    ledger.Charge(TeamName(0), { 500, 0, 0 });
    ledger.Charge(TeamName(1), { 0, 500, 0 });
    ledger.Advance(start + 30 * kSecond);
    EXPECT_THAT(
      trace, ledger.PriorityKey(TeamName(0)) < ledger.PriorityKey(TeamName(1)));
    EXPECT_THAT(trace,
                std::abs(ledger.UsedFraction(TeamName(0)) - 0.25) < 0.02);
    trace.Section("a minute after its end the use no longer counts", [&] {
      ledger.Charge(TeamName(1), { 0, -500, 0 });
      ledger.Advance(start + 95 * kSecond);
      EXPECT_THAT(trace, ledger.UsedFraction(TeamName(1)) < 0.001);
      EXPECT_THAT(trace, ledger.UsedFraction(TeamName(0)) > 0.45);
    });
  });
}

// Guards against a split that wastes slots or ignores shares.
Test(Shares, FillByShareLendsWhatIsNotAskedFor)
{
  TestTrace trace;
  std::vector<planner::Claimant> claimants(3);
  claimants[0] = { 50, 100, 0, false };
  claimants[1] = { 30, 10, 0, false };
  claimants[2] = { 20, 100, 0, false };
  trace.Section("100 slots, one team asks for less than its share", [&] {
    planner::FillByShare(100, claimants);
    EXPECT_EQUAL(trace, claimants[1].slots, 10.0);
    EXPECT_THAT(trace, std::abs(claimants[0].slots - 90.0 * 5 / 7) < 1e-9);
    EXPECT_THAT(trace, std::abs(claimants[2].slots - 90.0 * 2 / 7) < 1e-9);
    EXPECT_THAT(trace, !claimants[1].capped && claimants[0].capped);
  });
}

// Guards against lent share that is not returned.
Test(Shares, LentShareIsRecoveredWithinTenSeconds)
{
  TestTrace trace;
  FleetDriver fleet(SharedPoolBundle());
  Competition competition(fleet);
  fleet.Run(kSecond);
  trace.Section("the small team fills the pool with long jobs", [&] {
    competition.KeepWaiting(1, 100, 4000, 4000, 10 * kMinute);
    fleet.Run(20 * kSecond);
    EXPECT_EQUAL(trace, competition.UsedMilliCpus(1), 72 * 4000);
    trace.Section("the large team has its share 10 s after its demand", [&] {
      competition.KeepWaiting(0, 100, 4000, 4000, 10 * kMinute);
      fleet.Run(10 * kSecond);
      EXPECT_THAT(trace, competition.UsedMilliCpus(0) >= 52 * 4000);
    });
    trace.Section("no task was killed", [&] {
      for (const auto& [job, record] : fleet.state.Jobs()) {
        EXPECT_THAT(trace,
                    record.state == state::JobState::Placed ||
                      record.state == state::JobState::Waiting);
      }
    });
  });
}

// Guards against a team that gains an advantage by declaring a quarter of what
// it uses.
Test(Shares, UnderDeclaredSizesGiveNoAdvantage)
{
  TestTrace trace;
  FleetDriver fleet(SharedPoolBundle());
  Competition competition(fleet);
  fleet.Run(kSecond);
  trace.Section("the team with share 10 declares 1 core and uses 4", [&] {
    std::array<std::int64_t, 2> used{};
    for (int second = 0; second < 300; ++second) {
      competition.KeepWaiting(0, 40, 4000, 4000, 8 * kSecond);
      competition.KeepWaiting(1, 40, 1000, 4000, 8 * kSecond);
      fleet.Run(kSecond);
      if (second >= 120) {
        used[0] += competition.UsedMilliCpus(0);
        used[1] += competition.UsedMilliCpus(1);
      }
    }
    const double part =
      static_cast<double>(used[1]) / static_cast<double>(used[0] + used[1]);
    EXPECT_THAT(trace, part < 0.27);
    EXPECT_THAT(trace, part > 0.23);
  });
}
