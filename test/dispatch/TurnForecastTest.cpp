// Queues that peak in turn: when the next peak is expected, and instances that
// move ahead of it.
#include "dispatch/TurnForecast.h"

#include "FakeDeployment.h"
#include "dispatch/PoolBalance.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;
using dispatch::TurnForecast;

namespace {

constexpr Duration kStep = milliseconds(100);
constexpr Duration kAhead = milliseconds(1800);
constexpr double kPeakCores = 500;

// Demand by turns, observed as the dispatcher does.
class Rhythm
{
public:
  explicit Rhythm(std::vector<std::string> aServices)
    : services(std::move(aServices))
  {
  }

  // aService has nearly all of the demand for aLength.
  void Turn(std::string_view aService, Duration aLength)
  {
    for (Duration passed{ 0 }; passed < aLength; passed += kStep) {
      std::vector<dispatch::ServiceDemand> demands;
      for (const std::string& service : this->services) {
        const bool isPeak = service == aService;
        demands.push_back({ ServiceId(service),
                            isPeak ? 100.0 : 1.0,
                            isPeak ? kPeakCores : 10.0 });
      }
      this->forecast.Observe(demands, this->now);
      this->now += kStep;
    }
  }
  [[nodiscard]] double Expected(std::string_view aService) const
  {
    return this->forecast.ExpectedCores(
      ServiceId(std::string(aService)), kAhead, this->now);
  }
  [[nodiscard]] double ExpectedOfAll() const
  {
    double all = 0;
    for (const std::string& service : this->services) {
      all += this->Expected(service);
    }
    return all;
  }

private:
  std::vector<std::string> services;
  TurnForecast forecast;
  Time now{ seconds(1000) };
};

} // namespace

Test(TurnForecast, LearnsLengthAndOrderOfTheTurns)
{
  TestTrace trace;
  Rhythm rhythm({ "a", "b", "c" });
  trace.Section("the first turns teach their length", [&] {
    rhythm.Turn("a", seconds(4));
    EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), 0.0);
    rhythm.Turn("b", seconds(1));
    EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), 0.0);
  });
  trace.Section("only one service has had none, so it is the next", [&] {
    rhythm.Turn("b", seconds(2));
    EXPECT_EQUAL(trace, rhythm.Expected("c"), kPeakCores);
    EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), kPeakCores);
  });
  trace.Section("then the order repeats", [&] {
    rhythm.Turn("b", seconds(1));
    rhythm.Turn("c", seconds(3));
    EXPECT_EQUAL(trace, rhythm.Expected("a"), kPeakCores);
    rhythm.Turn("c", seconds(1));
    rhythm.Turn("a", seconds(3));
    EXPECT_EQUAL(trace, rhythm.Expected("b"), kPeakCores);
    EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), kPeakCores);
  });
  trace.Section("a peak that does not come is given up", [&] {
    rhythm.Turn("a", seconds(3));
    EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), 0.0);
  });
}

// Guards against moves for demand without a rhythm.
Test(TurnForecast, ExpectsNothingFromIrregularDemand)
{
  TestTrace trace;
  trace.Section("turns of different lengths", [&] {
    Rhythm rhythm({ "a", "b", "c" });
    constexpr std::array<int, 8> kSeconds{ 2, 7, 3, 12, 2, 5, 9, 3 };
    constexpr std::array<std::string_view, 3> kNames{ "a", "b", "c" };
    for (std::size_t i = 0; i < kSeconds.size(); ++i) {
      rhythm.Turn(kNames[i % kNames.size()], seconds(kSeconds[i]));
      EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), 0.0);
    }
  });
  trace.Section("a single large job is no turn", [&] {
    Rhythm rhythm({ "a", "b", "c" });
    for (int i = 0; i < 8; ++i) {
      rhythm.Turn("a", seconds(2));
      rhythm.Turn("b", kStep);
      EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), 0.0);
    }
  });
  trace.Section("one service has all of the demand", [&] {
    Rhythm rhythm({ "a", "b" });
    rhythm.Turn("a", seconds(60));
    EXPECT_EQUAL(trace, rhythm.ExpectedOfAll(), 0.0);
  });
}

// Guards against a pool that is prepared at the expense of one that has work.
Test(PoolBalance, PreparesAPeakWithWhatNoOtherPoolNeeds)
{
  TestTrace trace;
  const auto pool = [](const char* aName, std::size_t aIdle) {
    dispatch::PoolLoad load;
    load.service = ServiceId(aName);
    load.present = aIdle;
    load.coresPerUpstream = 10;
    for (std::size_t i = 0; i < aIdle; ++i) {
      load.idle.push_back(std::string(aName) + "-" + std::to_string(i));
    }
    return load;
  };
  const auto movesTo = [](const std::vector<dispatch::PoolMove>& aMoves,
                          const char* aPool) {
    return std::count_if(
      aMoves.begin(), aMoves.end(), [&](const dispatch::PoolMove& aMove) {
        return aMove.to == ServiceId(aPool);
      });
  };
  dispatch::PoolLoad standby = pool("standby", 10);
  standby.standby = true;
  dispatch::PoolLoad next = pool("next", 3);
  next.peakCores = 80; // for 8 upstreams and the reserve of 3
  trace.Section("nobody else needs the instances", [&] {
    dispatch::PoolBalance balance;
    const auto moves = balance.PlanMoves({ next, standby }, Time(seconds(9)));
    EXPECT_EQUAL(trace, movesTo(moves, "next"), 8);
  });
  trace.Section("another pool has work waiting", [&] {
    dispatch::PoolBalance balance;
    dispatch::PoolLoad busy = pool("busy", 0);
    busy.waitingCores = 50;
    const auto moves =
      balance.PlanMoves({ next, busy, standby }, Time(seconds(9)));
    EXPECT_EQUAL(trace, movesTo(moves, "busy"), 8);
    EXPECT_EQUAL(trace, movesTo(moves, "next"), 2);
  });
  trace.Section("a prepared pool keeps its idle instances", [&] {
    dispatch::PoolBalance balance;
    dispatch::PoolLoad prepared = pool("prepared", 11);
    prepared.peakCores = 80;
    dispatch::PoolLoad busy = pool("busy", 0);
    busy.waitingCores = 50;
    EXPECT_EQUAL(trace,
                 balance.PlanMoves({ prepared, busy }, Time(seconds(9))).size(),
                 0U);
  });
}

// Replays three queues that peak in turn for 4 s each, with more work than
// their own pools hold. From the second round on, the instances must be there
// when a peak begins.
Test(TurnForecast, PreparesPoolsInAReplay)
{
  TestTrace trace;
  FakeDeployment deployment;
  const std::array<std::string, 3> queues{ "first", "second", "third" };
  for (const std::string& queue : queues) {
    deployment.AddService(queue);
    for (int i = 0; i < 6; ++i) {
      deployment.AddUpstream(queue);
    }
  }
  deployment.AddService("spare", true);
  for (int i = 0; i < 16; ++i) {
    deployment.AddStandby("spare-" + std::to_string(i), "spare");
  }
  deployment.ElectLeader();
  deployment.Run(milliseconds(500));
  int job = 0;
  const auto peak = [&](const std::string& aQueue) {
    for (int i = 0; i < 40; ++i) {
      // 6 jobs of 12 cores start each second and run for 1 s.
      if (i % 10 < 6) {
        deployment.Submit("job-" + std::to_string(job++),
                          aQueue,
                          { MakeStep(12, 1000, seconds(1)) });
      }
      deployment.Run(milliseconds(100));
    }
  };
  for (const std::string& queue : queues) {
    peak(queue);
  }
  for (const std::string& queue : queues) {
    trace.Section("the pool of the next peak is large enough", [&] {
      // 72 cores on upstreams of 8 cores.
      EXPECT_THAT(trace, deployment.UpstreamsOf(queue) >= 9U);
    });
    peak(queue);
  }
  EXPECT_THAT(trace, deployment.violations.empty());
}
