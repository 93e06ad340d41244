// Pairs of kinds that slow each other down: found among noise, and not found
// where there is nothing else.
#include "dispatch/Interference.h"

#include "FakeDeployment.h"
#include "base/Random.h"
#include "dispatch/Placement.h"

#include "support/TestTrace.h"

#include <cmath>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::Interference;
using dispatch::InterferenceChange;
using dispatch::milliseconds;
using dispatch::RunObservation;
using dispatch::seconds;

namespace {

const Time kStart{ seconds(1000) };
constexpr std::uint64_t kKinds = 6;
constexpr std::uint64_t kUpstreams = 40;

// A day of runs whose estimates are off by job and by task. 3% of the tasks
// take seven times as long.
class Day
{
public:
  explicit Day(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  // Adds aSteps steps of eight tasks each, and returns what became known or was
  // forgotten meanwhile.
  std::vector<InterferenceChange> Run(Interference& aLearned, int aSteps)
  {
    std::vector<InterferenceChange> changes;
    for (int i = 0; i < aSteps; ++i) {
      this->now += milliseconds(20);
      this->RunStep(aLearned);
      for (InterferenceChange& change : aLearned.Review(this->now)) {
        changes.push_back(std::move(change));
      }
    }
    return changes;
  }

  Time now = kStart;
  // Slowdown of kind-0 beside kind-1.
  double slowdown = 1.0;
  // The first upstream takes five times as long. Half of all tasks run there,
  // always beside kind-1, which is rare elsewhere.
  bool hasSlowUpstream = false;
  std::size_t runsOfFirstKind = 0;

private:
  void RunStep(Interference& aLearned)
  {
    ++this->steps;
    const std::uint64_t kind = this->random.Below(kKinds);
    const double ofJob = std::exp((this->random.Fraction() - 0.5) * 1.4);
    for (std::uint32_t i = 0; i < 8; ++i) {
      const bool isPinned =
        this->hasSlowUpstream && this->random.Fraction() < 0.5;
      const std::uint64_t upstream =
        isPinned ? 0 : this->random.Below(kUpstreams);
      const bool isSlow = this->hasSlowUpstream && upstream == 0;
      RunObservation observation;
      observation.kind = "kind-" + std::to_string(kind);
      observation.upstream = InstanceId("up-" + std::to_string(upstream));
      observation.task = {
        JobId("job-" + std::to_string(this->steps)), 0, 0, i
      };
      observation.declared = seconds(1);
      bool isDisturbed = false;
      for (std::uint64_t other = 0; other < kKinds; ++other) {
        const double chance = this->hasSlowUpstream && other == 1 ? 0.2 : 0.4;
        if (this->random.Fraction() < chance || (isSlow && other == 1)) {
          observation.neighbours.push_back("kind-" + std::to_string(other));
          isDisturbed = isDisturbed || other == 1;
        }
      }
      double factor = ofJob * (0.85 + 0.3 * this->random.Fraction());
      factor *= this->random.Fraction() < 0.03 ? 7.0 : 1.0;
      factor *= kind == 0 && isDisturbed ? this->slowdown : 1.0;
      factor *= isSlow ? 5.0 : 1.0;
      observation.elapsed = Duration(static_cast<std::int64_t>(1e6 * factor));
      this->runsOfFirstKind += kind == 0 ? 1 : 0;
      aLearned.Add(observation, this->now);
    }
  }

  Random random;
  std::uint64_t steps = 0;
};

} // namespace

// Load pattern: one kind makes another one take twice as long.
Test(Interference, APairIsFoundWithinAThousandRuns)
{
  TestTrace trace;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Interference learned;
    Day day(seed);
    day.slowdown = 2.0;
    std::vector<InterferenceChange> changes;
    while (day.runsOfFirstKind < 1000 && changes.empty()) {
      changes = day.Run(learned, 1);
    }
    EXPECT_EQUAL(trace, changes.size(), 1U);
    EXPECT_THAT(trace, learned.Slows("kind-1", "kind-0"));
    EXPECT_THAT(trace, !learned.Slows("kind-0", "kind-1"));
    EXPECT_THAT(trace, !learned.AreCompatible("kind-0", "kind-1"));
    EXPECT_THAT(trace, learned.AreCompatible("kind-0", "kind-2"));
  }
}

Test(Interference, NoiseWithLongTasksFindsNothing)
{
  TestTrace trace;
  std::size_t found = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Interference learned;
    found += Day(seed).Run(learned, 150).size();
  }
  EXPECT_EQUAL(trace, found, 0U);
}

// The neighbour is always there where the upstream is slow.
Test(Interference, ASlowUpstreamIsNotBlamedOnANeighbour)
{
  TestTrace trace;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Interference learned;
    Day day(seed);
    day.hasSlowUpstream = true;
    EXPECT_EQUAL(trace, day.Run(learned, 600).size(), 0U);
  }
}

Test(Interference, EvidenceAgesOut)
{
  TestTrace trace;
  Interference learned;
  Day day(1);
  day.slowdown = 2.0;
  EXPECT_EQUAL(trace, day.Run(learned, 800).size(), 1U);
  trace.Section("a pair that is not seen any more is forgotten", [&] {
    const auto changes =
      learned.Review(day.now + Interference::kRetention + seconds(1));
    EXPECT_EQUAL(trace, changes.size(), 1U);
    EXPECT_THAT(trace, !changes.empty() && !changes.front().isKnown);
    EXPECT_THAT(trace, learned.IsEmpty());
  });
}

Test(Interference, PlacementKeepsAPairApartOnlyWhereThereIsRoom)
{
  TestTrace trace;
  Interference learned;
  Day day(1);
  day.slowdown = 2.0;
  day.Run(learned, 800);
  dispatch::Sessions sessions;
  work::Upstream record;
  record.service = ServiceId("print");
  record.capacity = { 8000, 64000, 0 };
  for (const std::string name : { "up-1", "up-2" }) {
    dispatch::UpstreamSession session(
      record, dispatch::LeaseClock(kStart, seconds(6)), kStart);
    session.fenceConfirmed = true;
    sessions.emplace(InstanceId(name), session);
  }
  dispatch::UpstreamSession& shared = sessions.at(InstanceId("up-1"));
  dispatch::UpstreamSession& other = sessions.at(InstanceId("up-2"));
  dispatch::LiveRun neighbour;
  neighbour.kind = "kind-1";
  neighbour.size = { 2000, 100, 0 };
  shared.runs[{ { JobId("neighbour"), 0, 0, 0 }, 1 }] = neighbour;
  shared.used = neighbour.size;
  const auto candidates =
    dispatch::FindCandidates(sessions, record.service, kStart);
  const work::Step step = MakeStep(1, 2000, seconds(1));
  dispatch::PlacementQuery query;
  query.step = &step;
  query.task = { JobId("job"), 0, 0, 0 };
  query.kind = "kind-0";
  const auto choose = [&] {
    const auto* chosen = dispatch::ChooseUpstream(candidates, query);
    return chosen == nullptr ? std::string() : chosen->id->value;
  };
  trace.Section("the fullest upstream is chosen as long as nothing is known",
                [&] { EXPECT_EQUAL(trace, choose(), std::string("up-1")); });
  query.interference = &learned;
  trace.Section("a kind that is slowed goes to the other one",
                [&] { EXPECT_EQUAL(trace, choose(), std::string("up-2")); });
  trace.Section("a kind that is not slowed stays", [&] {
    query.kind = "kind-2";
    EXPECT_EQUAL(trace, choose(), std::string("up-1"));
    query.kind = "kind-0";
  });
  trace.Section("without room elsewhere it runs beside the neighbour", [&] {
    other.used = { 7000, 100, 0 };
    EXPECT_EQUAL(trace, choose(), std::string("up-1"));
  });
}
