// Shares: nearness while full, recovery of lent share, under-declared sizes.
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

// Keeps work of each team waiting and adds up the processor time that the
// upstreams really gave to each team.
class Competition
{
public:
  explicit Competition(FleetDriver& aFleet)
    : fleet(aFleet)
  {
  }

  void Offer(std::size_t aTeam,
             std::size_t aCount,
             std::int64_t aDeclared,
             std::int64_t aTrue,
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
      JobTruth truth;
      truth.runTime = aRunTime;
      truth.usage = { aTrue, 10, 0 };
      this->fleet.SubmitJob(job, truth);
    }
  }

  // True processors used now by the team.
  [[nodiscard]] std::int64_t Using(std::size_t aTeam) const
  {
    std::int64_t sum = 0;
    for (const auto& [instance, upstream] : this->fleet.upstreams) {
      for (const auto& [job, task] : upstream.tasks) {
        if (this->fleet.state.Jobs().at(job).team == TeamName(aTeam)) {
          sum += this->fleet.truths.at(job).usage.milliCpus;
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

// Guards against a window that forgets or double counts use.
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
    EXPECT_THAT(trace, ledger.Key(TeamName(0)) < ledger.Key(TeamName(1)));
    EXPECT_THAT(trace, std::abs(ledger.Used(TeamName(0)) - 0.25) < 0.02);
    trace.Section("a minute after its end the use is forgotten", [&] {
      ledger.Charge(TeamName(1), { 0, -500, 0 });
      ledger.Advance(start + 95 * kSecond);
      EXPECT_THAT(trace, ledger.Used(TeamName(1)) < 0.001);
      EXPECT_THAT(trace, ledger.Used(TeamName(0)) > 0.45);
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

// Guards against lent share that stays with the borrower.
Test(Shares, LentShareIsRecoveredWithinTenSeconds)
{
  TestTrace trace;
  FleetDriver fleet(SharedPoolBundle());
  Competition competition(fleet);
  fleet.Run(kSecond);
  trace.Section("the small team fills the pool with long jobs", [&] {
    competition.Offer(1, 100, 4000, 4000, 10 * kMinute);
    fleet.Run(20 * kSecond);
    EXPECT_EQUAL(trace, competition.Using(1), 72 * 4000);
    trace.Section("10 s after the large one asks, it has its share", [&] {
      competition.Offer(0, 100, 4000, 4000, 10 * kMinute);
      fleet.Run(10 * kSecond);
      EXPECT_THAT(trace, competition.Using(0) >= 52 * 4000);
    });
    trace.Section("and nothing was killed", [&] {
      for (const auto& [job, record] : fleet.state.Jobs()) {
        EXPECT_THAT(trace,
                    record.state == state::JobState::Placed ||
                      record.state == state::JobState::Waiting);
      }
    });
  });
}

// Guards against a team that gains by declaring a quarter of what it uses.
Test(Shares, UnderDeclaredSizesBringNoGain)
{
  TestTrace trace;
  FleetDriver fleet(SharedPoolBundle());
  Competition competition(fleet);
  fleet.Run(kSecond);
  trace.Section("the team with share 10 declares 1 core and uses 4", [&] {
    std::array<std::int64_t, 2> used{};
    for (int second = 0; second < 300; ++second) {
      competition.Offer(0, 40, 4000, 4000, 8 * kSecond);
      competition.Offer(1, 40, 1000, 4000, 8 * kSecond);
      fleet.Run(kSecond);
      if (second >= 120) {
        used[0] += competition.Using(0);
        used[1] += competition.Using(1);
      }
    }
    const double part =
      static_cast<double>(used[1]) / static_cast<double>(used[0] + used[1]);
    EXPECT_THAT(trace, part < 0.27);
    EXPECT_THAT(trace, part > 0.23);
  });
}
