// The fault matrix injects every fault before every step of every session,
// alone and in seeded random pairs, in virtual time. Each combination is a
// cell, which checks the invariants on the observed behaviour.
#include "matrix/Sessions.h"
#include "support/TestTrace.h"

#include <cstdio>
#include <cstdlib>

using hyssoppaddle::Duration;
using hyssoppaddle::Random;
using hyssoppaddle::test::Activity;
using hyssoppaddle::test::AllFaults;
using hyssoppaddle::test::AllSessions;
using hyssoppaddle::test::Fault;
using hyssoppaddle::test::Fleet;
using hyssoppaddle::test::Session;

namespace {

constexpr Duration kStepTime = std::chrono::milliseconds(700);
constexpr Duration kFaultTime = std::chrono::seconds(6);
// Exceeds the time for which the permits of a killed entry instance are
// withheld (60.6 s) and the duration of a task lease with its margin.
constexpr Duration kSettleTime = std::chrono::seconds(100);

struct Injection
{
  const Fault* fault;
  std::size_t beforeStep;
};

std::string
NameOf(const Session& aSession, const std::vector<Injection>& aInjections)
{
  std::string name(aSession.name);
  for (const Injection& injection : aInjections) {
    name += " | " + std::string(injection.fault->name) + " before step " +
            std::to_string(injection.beforeStep + 1);
  }
  return name;
}

// Runs one cell and returns the violations.
std::vector<std::string>
RunCell(const Session& aSession,
        const std::vector<Injection>& aInjections,
        std::uint64_t aSeed,
        Activity& aActivity)
{
  Fleet fleet(aSeed);
  fleet.SetUp();
  for (std::size_t step = 0; step < aSession.steps.size(); ++step) {
    for (const Injection& injection : aInjections) {
      if (injection.beforeStep == step) {
        injection.fault->inject(fleet);
      }
    }
    aSession.steps[step].act(fleet);
    fleet.RunFor(kStepTime);
  }
  fleet.RunFor(kFaultTime);
  fleet.HealAll();
  fleet.RunFor(kSettleTime);
  fleet.Observed().CheckRequestsEnded();
  aActivity += fleet.Observed().Totals();
  std::vector<std::string> violations = fleet.Observed().Violations();
  const std::string unmet = aSession.unmetCondition(fleet);
  if (!unmet.empty()) {
    violations.push_back("not reached after healing: " + unmet);
  }
  return violations;
}

// Runs a group of cells. Prints each violation and a summary, and fails the
// test when there is any violation.
class CellRunner
{
public:
  void Run(const Session& aSession,
           const std::vector<Injection>& aInjections,
           std::uint64_t aSeed)
  {
    ++this->cellCount;
    for (const std::string& violation :
         RunCell(aSession, aInjections, aSeed, this->activity)) {
      ++this->violationCount;
      std::fprintf(stderr,
                   "%s, seed %llu: %s\n",
                   NameOf(aSession, aInjections).c_str(),
                   static_cast<unsigned long long>(aSeed),
                   violation.c_str());
    }
  }

  void Finish(const char* aGroup) const
  {
    std::fprintf(stderr,
                 "fault matrix, %s: %zu cells run, %zu violations\n",
                 aGroup,
                 this->cellCount,
                 this->violationCount);
    std::fprintf(stderr,
                 "  %zu requests, %zu answered, %zu refused, %zu executions, "
                 "%zu tasks, %zu planned stops, %zu reboots\n",
                 this->activity.requests,
                 this->activity.answered,
                 this->activity.refused,
                 this->activity.executions,
                 this->activity.tasks,
                 this->activity.plannedStops,
                 this->activity.reboots);
    cr_assert(this->violationCount == 0,
              "fault matrix, %s: expected 0 violations, actual %zu",
              aGroup,
              this->violationCount);
  }

private:
  Activity activity;
  std::size_t cellCount = 0;
  std::size_t violationCount = 0;
};

void
RunSession(std::string_view aName)
{
  CellRunner runner;
  for (const Session& session : AllSessions()) {
    if (session.name != aName) {
      continue;
    }
    for (const Fault& fault : AllFaults()) {
      for (std::size_t step = 0; step < session.steps.size(); ++step) {
        runner.Run(session, { { &fault, step } }, 1 + step);
      }
    }
  }
  runner.Finish(std::string(aName).c_str());
}

std::uint64_t
SeedFromEnvironment(std::uint64_t aDefault)
{
  const char* text = std::getenv("HYSSOPPADDLE_SEED");
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

// Each test guards against a single fault that violates one of the ten
// invariants at one step of its session.
Test(FaultMatrix, Bundle)
{
  RunSession("bundle");
}

Test(FaultMatrix, Join)
{
  RunSession("join");
}

Test(FaultMatrix, Key)
{
  RunSession("key");
}

Test(FaultMatrix, IdempotentRequest)
{
  RunSession("request-idempotent");
}

Test(FaultMatrix, NonIdempotentRequest)
{
  RunSession("request-once");
}

Test(FaultMatrix, Job)
{
  RunSession("job");
}

Test(FaultMatrix, Drain)
{
  RunSession("drain");
}

Test(FaultMatrix, Move)
{
  RunSession("move");
}

Test(FaultMatrix, Wave)
{
  RunSession("wave");
}

Test(FaultMatrix, Replacement)
{
  RunSession("replacement");
}

// Guards against pairs of faults that violate an invariant only in combination.
// The seed determines the schedule; set HYSSOPPADDLE_SEED and
// HYSSOPPADDLE_CELLS to run others manually.
Test(FaultMatrix, SeededPairs)
{
  const std::uint64_t seed = SeedFromEnvironment(2026);
  const char* count = std::getenv("HYSSOPPADDLE_CELLS");
  const int cells = count == nullptr ? 60 : std::atoi(count);
  Random random(seed);
  CellRunner runner;
  for (int cell = 0; cell < cells; ++cell) {
    const Session& session = AllSessions()[random.Below(AllSessions().size())];
    std::vector<Injection> injections;
    for (int fault = 0; fault < 2; ++fault) {
      injections.push_back({ &AllFaults()[random.Below(AllFaults().size())],
                             random.Below(session.steps.size()) });
    }
    runner.Run(session, injections, random.Next() % 1000000);
  }
  runner.Finish("seeded pairs");
}
