// Compares the policies of the request path with baseline policies, as ratios
// within one run. Usage: RequestBench [seed]
#include "RequestSim.h"

#include "request/FairQueue.h"
#include "request/RetryBudget.h"

#include <cstdio>
#include <cstdlib>

using namespace hyssoppaddle;
using namespace hyssoppaddle::bench;

namespace {

SimOptions
Payroll()
{
  SimOptions options;
  options.name = "payroll printer, 49 upstreams";
  options.services = { 9, 9, 11, 12, 8 };
  return options;
}

SimOptions
Cooperative()
{
  SimOptions options;
  options.name = "co-operative, 48 upstreams";
  options.services = { 8, 9, 11, 12, 8 };
  options.dataCentres = 4;
  return options;
}

void
PrintRouting(const char* aName, const SimResult& aResult)
{
  std::printf("  %-22s wait p50 %6.1f p99 %7.1f ms  answer p99 %7.1f ms"
              "  imbalance %.2f  done %llu  refused %llu  rejected %llu\n",
              aName,
              aResult.Wait(0.5),
              aResult.Wait(0.99),
              aResult.Answer(0.99),
              aResult.imbalance,
              static_cast<unsigned long long>(aResult.done),
              static_cast<unsigned long long>(aResult.refused),
              static_cast<unsigned long long>(aResult.rejected));
}

void
MeasureRouting(SimOptions aOptions, double aLoad, std::uint64_t aSeed)
{
  aOptions.load = aLoad;
  aOptions.seed = aSeed;
  std::printf("routing, %s, two slow by 4x, peaks at %.2f of the capacity\n",
              aOptions.name.c_str(),
              aLoad * aOptions.peak);
  const auto run = [&](const char* aName, Policy aPolicy) {
    aOptions.policy = aPolicy;
    const SimResult result = Sim(aOptions).Run();
    PrintRouting(aName, result);
    return result;
  };
  const SimResult product = run("least of three", Policy::Reducer);
  const SimResult fixed = run("fixed concurrency", Policy::ReducerFixed);
  const SimResult random = run("random", Policy::RandomChoice);
  const SimResult roundRobin = run("round robin", Policy::RoundRobin);
  std::printf(
    "  p99 of the product over random %.3f, over round robin %.3f, over fixed "
    "concurrency %.3f\n",
    product.Wait(0.99) / random.Wait(0.99),
    product.Wait(0.99) / roundRobin.Wait(0.99),
    product.Wait(0.99) / fixed.Wait(0.99));
}

// Simulates a full outage in which every attempt fails to connect after
// 1 ms.
void
MeasureRetries(std::uint64_t aSeed)
{
  constexpr double kRequestsPerSecond = 500; // first attempts per second
  constexpr double kOutageSeconds = 30;
  constexpr double kDeadlineSeconds = 10;
  Random random(aSeed);
  RetryBudget budget;
  std::multimap<Time, std::pair<std::uint32_t, Time>> due; // attempts, deadline
  std::uint64_t limited = 0;
  std::uint64_t unlimited = 0;
  std::uint64_t first = 0;
  for (const bool bounded : { true, false }) {
    due.clear();
    Time now{ FromSeconds(1000) };
    const Time end = now + FromSeconds(kOutageSeconds);
    first = 0;
    std::uint64_t& attempts = bounded ? limited : unlimited;
    Time next = now;
    while (now < end) {
      std::uint32_t attempt = 0;
      Time deadline;
      if (due.empty() || next <= due.begin()->first) {
        now = next;
        next = now + FromSeconds(1 / kRequestsPerSecond);
        deadline = now + FromSeconds(kDeadlineSeconds);
        ++first;
        budget.OnFirstAttempt(now);
      } else {
        now = due.begin()->first;
        std::tie(attempt, deadline) = due.begin()->second;
        due.erase(due.begin());
      }
      ++attempt;
      ++attempts;
      const Time again = now + RetryBudget::Delay(attempt, random);
      const bool mayRetry = !bounded || (attempt < RetryBudget::kMaxAttempts &&
                                         budget.TryRetry(now));
      if (mayRetry && again < deadline) {
        due.emplace(again, std::pair(attempt, deadline));
      }
    }
  }
  const auto firsts = static_cast<double>(first);
  std::printf("retries in a full outage of %.0f s at %.0f requests a second\n",
              kOutageSeconds,
              kRequestsPerSecond);
  std::printf("  load amplification: with budget %.3f, unlimited %.3f\n",
              static_cast<double>(limited) / firsts,
              static_cast<double>(unlimited) / firsts);
}

// Six teams with shares 1 to 6 always have requests waiting for 64 slots. Run
// times differ by up to 4x between teams.
void
MeasureShares(std::uint64_t aSeed)
{
  constexpr int kTeams = 6;
  constexpr int kSlots = 64;
  constexpr double kWindowSeconds = 60;
  Random random(aSeed);
  FairQueue queue;
  Time now{ FromSeconds(1000) };
  std::uint64_t number = 0;
  std::map<TeamId, double> used;
  struct End
  {
    Time at;
    TeamId team;
    Duration charged;
    Duration run;
    bool operator<(const End& aOther) const { return aOther.at < this->at; }
  };
  std::priority_queue<End> running;
  double worst = 0;
  const auto teamOf = [](int aTeam) { return TeamId(std::to_string(aTeam)); };
  for (int window = 0; window < 4; ++window) {
    const Time end = now + FromSeconds(kWindowSeconds);
    used.clear();
    while (now < end) {
      for (int team = 1; team <= kTeams; ++team) {
        while (queue.SizeOf(teamOf(team)) < 8) {
          queue.Push({ ++number, teamOf(team), now + FromSeconds(30) },
                     static_cast<std::uint32_t>(team),
                     now);
        }
      }
      while (running.size() < kSlots) {
        const auto next = queue.Pop([](const TeamId&) { return true; }, now);
        const int team = std::stoi(next->team.value);
        const double mean = 0.05 * (1 + team % 4);
        const Duration run = FromSeconds(mean * (0.5 + random.Fraction()));
        running.push(
          { now + run, next->team, queue.Estimate(next->team), run });
      }
      const End next = running.top();
      running.pop();
      now = next.at;
      used[next.team] += static_cast<double>(next.run.count());
      queue.OnEnded(next.team, next.charged, next.run);
    }
    double sum = 0;
    for (const auto& [team, time] : used) {
      sum += time;
    }
    double shortfall = 0;
    for (int team = 1; team <= kTeams; ++team) {
      const double fair = sum * team / 21;
      shortfall = std::max(shortfall, 1 - used[teamOf(team)] / fair);
    }
    // The first window is excluded, because run times are learned in it.
    worst = window == 0 ? worst : std::max(worst, shortfall);
    std::printf("shares, window %d of 60 s: largest relative shortfall %.4f\n",
                window,
                shortfall);
  }
  std::printf("  worst after the first window: %.4f\n", worst);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  for (const double load : { 0.16, 0.3 }) {
    MeasureRouting(Payroll(), load, seed);
    MeasureRouting(Cooperative(), load, seed);
  }
  MeasureRetries(seed);
  MeasureShares(seed);
  return 0;
}
