// What a workspace is owed by its weight, and the load that it answers: one
// workspace sends many times its weight to a full pool.
#include "dispatch/WorkspaceShares.h"
#include "FakeDeployment.h"

#include "support/TestTrace.h"

#include <cmath>
#include <limits>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::OwedRate;
using dispatch::seconds;
using dispatch::WorkspaceShares;

namespace {

const WallTime kStart{ seconds(1000) };
const WorkspaceId kLarge("large");
const WorkspaceId kSmall("small");

work::Setup
SetupOf(std::vector<std::pair<WorkspaceId, double>> aWeights)
{
  work::Setup setup;
  for (auto& [name, weight] : aWeights) {
    work::Workspace workspace;
    workspace.name = name;
    workspace.weight = weight;
    setup.workspaces.push_back(workspace);
  }
  return setup;
}

JobId
NumberedJob(int aNumber)
{
  return JobId("job-" + std::to_string(aNumber));
}

// Counts what became of the jobs of one workspace.
struct Outcome
{
  std::size_t sent = 0;
  std::size_t accepted = 0;
  std::size_t inTime = 0;
};

// 128 cores, of which each job needs 4 for half a second; its objective is
// 1.4 s.
// Four workspaces send 2 jobs a second of the 4 that they are owed. One is owed
// 30 a second.
class LoadReplay
{
public:
  explicit LoadReplay(double aLargeWeight = 30)
  {
    this->deployment.AddService("print");
    for (int i = 0; i < 16; ++i) {
      this->deployment.AddUpstream("print");
    }
    this->deployment.AddWorkspace("large", aLargeWeight);
    for (const char* name : kSmallOnes) {
      this->deployment.AddWorkspace(name, 4);
    }
    this->deployment.ElectLeader();
    this->deployment.Run(seconds(2));
  }

  // aLargePerSecond: jobs that the large workspace sends.
  void Send(Duration aFor, std::size_t aLargePerSecond)
  {
    constexpr Duration kStep = milliseconds(100);
    for (Duration t{ 0 }; t < aFor; t += kStep) {
      this->tick += 1;
      for (std::size_t i = 0; i < aLargePerSecond / 10; ++i) {
        this->SendJob("large");
      }
      for (std::size_t i = 0; i < 4; ++i) {
        if (this->tick % 5 == i) {
          this->SendJob(kSmallOnes[i]);
        }
      }
      this->deployment.Run(kStep);
    }
  }

  Outcome ResultOf(const std::string& aWorkspace)
  {
    Outcome& outcome = this->outcomes[aWorkspace];
    outcome.inTime = 0;
    for (const std::string& job : this->jobs[aWorkspace]) {
      const bool done =
        this->deployment.StateOf(job) == work::JobState::Completed;
      outcome.inTime +=
        done && this->deployment.EndedAfter(job) <= milliseconds(1400) ? 1 : 0;
    }
    return outcome;
  }

  Outcome ResultOfSmall()
  {
    Outcome sum;
    for (const char* name : kSmallOnes) {
      const Outcome one = this->ResultOf(name);
      sum.sent += one.sent;
      sum.accepted += one.accepted;
      sum.inTime += one.inTime;
    }
    return sum;
  }

  // Jobs whose ID begins so and whose tasks were placed in lent room.
  [[nodiscard]] std::size_t CountPlacedAsLent(std::string_view aPrefix) const
  {
    std::set<std::string> found;
    for (const dispatch::Decision& decision : this->deployment.decisions) {
      for (const auto& [name, value] : decision.fields) {
        if (name == "outlook" && value == "lent" &&
            decision.job.starts_with(aPrefix)) {
          found.insert(decision.job);
        }
      }
    }
    return found.size();
  }

  FakeDeployment deployment;

private:
  static constexpr std::array<const char*, 4> kSmallOnes{ "small-0",
                                                          "small-1",
                                                          "small-2",
                                                          "small-3" };

  void SendJob(const std::string& aWorkspace)
  {
    const std::vector<work::Step> steps{ MakeStep(4, 1000, milliseconds(500)) };
    Outcome& outcome = this->outcomes[aWorkspace];
    ++outcome.sent;
    if (this->deployment.Offer("print", steps, aWorkspace)) {
      return;
    }
    ++outcome.accepted;
    const std::string job = "job-" + std::to_string(++this->lastJob);
    this->jobs[aWorkspace].push_back(job);
    this->deployment.Submit(job, "print", steps, aWorkspace);
  }

  std::map<std::string, Outcome> outcomes;
  std::map<std::string, std::vector<std::string>> jobs;
  std::size_t tick = 0;
  std::size_t lastJob = 0;
};

} // namespace

Test(WorkspaceShares, UsesTheSmallestWeightWhereNoneIsGiven)
{
  TestTrace trace;
  const double infinite = std::numeric_limits<double>::infinity();
  const WorkspaceId odd("odd");
  const work::Setup setup = SetupOf({ { kLarge, 30 }, { kSmall, 4 } });
  EXPECT_EQUAL(trace, OwedRate(setup, kLarge), 30.0);
  trace.Section("an unknown workspace",
                [&] { EXPECT_EQUAL(trace, OwedRate(setup, odd), 4.0); });
  trace.Section("weights that cannot be used", [&] {
    for (const double weight : { 0.0, -3.0, std::nan(""), infinite }) {
      const work::Setup other = SetupOf({ { kSmall, 4 }, { odd, weight } });
      EXPECT_EQUAL(trace, OwedRate(other, odd), 4.0);
      EXPECT_EQUAL(trace, OwedRate(other, kSmall), 4.0);
    }
  });
  trace.Section("a huge weight is no bound", [&] {
    const work::Setup other = SetupOf({ { kSmall, 4 }, { odd, 1e300 } });
    EXPECT_THAT(trace, std::isinf(OwedRate(other, odd)));
  });
  trace.Section("no bound without any weight, or without a workspace", [&] {
    const work::Setup other = SetupOf({ { kSmall, 0 }, { odd, 0 } });
    EXPECT_THAT(trace, std::isinf(OwedRate(other, kSmall)));
    EXPECT_THAT(trace, std::isinf(OwedRate(setup, WorkspaceId())));
  });
}

Test(WorkspaceShares, LendsWhatAWorkspaceSendsBeyondItsRate)
{
  TestTrace trace;
  WorkspaceShares shares;
  std::size_t owed = 0;
  for (int i = 0; i < 400; ++i) { // 100 jobs a second
    const WallTime at = kStart + milliseconds(10) * i;
    shares.OnAccepted(NumberedJob(i), kLarge, 10, at);
    owed += shares.IsLent(NumberedJob(i)) ? 0 : 1;
  }
  trace.Section("its rate is owed, and a burst of one second",
                [&] { EXPECT_THAT(trace, owed >= 49 && owed <= 50); });
  trace.Section("lent jobs are not charged", [&] {
    const WallTime later = kStart + milliseconds(4100);
    EXPECT_THAT(trace, !shares.IsOwed(kLarge, 10, kStart + milliseconds(3991)));
    EXPECT_THAT(trace, shares.IsOwed(kLarge, 10, later));
  });
  trace.Section("a clock that steps back changes nothing", [&] {
    EXPECT_THAT(trace, !shares.IsOwed(kLarge, 10, kStart));
  });
  trace.Section("another workspace has its own account",
                [&] { EXPECT_THAT(trace, shares.IsOwed(kSmall, 1, kStart)); });
  trace.Section("a job that ended is forgotten", [&] {
    const JobId last = NumberedJob(399);
    EXPECT_THAT(trace, shares.IsLent(last));
    shares.Forget(last);
    EXPECT_THAT(trace, !shares.IsLent(last));
  });
}

// Load pattern: hundreds of callers of one workspace are rejected in the same
// moment.
Test(WorkspaceShares, SpreadsTheReturnOfRejectedCallers)
{
  TestTrace trace;
  WorkspaceShares shares;
  for (int i = 0; i < 10; ++i) {
    shares.OnAccepted(NumberedJob(i), kLarge, 10, kStart);
  }
  std::map<std::int64_t, std::size_t> bySecond;
  Duration first = seconds(60);
  for (int i = 0; i < 600; ++i) {
    const Duration wait =
      shares.AssignTurn(NumberedJob(100 + i), kLarge, 10, kStart);
    EXPECT_THAT(trace, wait <= WorkspaceShares::kMaxWait);
    first = std::min(first, wait);
    ++bySecond[wait / seconds(1)];
  }
  trace.Section("none comes before the workspace is owed a job",
                [&] { EXPECT_THAT(trace, first >= milliseconds(100)); });
  trace.Section("at first as many in a second as are owed", [&] {
    for (std::int64_t second = 1; second < 5; ++second) {
      EXPECT_THAT(trace, bySecond[second] >= 8 && bySecond[second] <= 12);
    }
  });
  trace.Section("the rest does not come at once", [&] {
    for (const auto& [second, count] : bySecond) {
      EXPECT_THAT(trace, count <= 150);
    }
  });
  trace.Section("rates close to zero", [&] {
    for (int i = 0; i < 10; ++i) {
      shares.OnAccepted(NumberedJob(i), kSmall, 1e-9, kStart);
    }
    const Duration wait =
      shares.AssignTurn(NumberedJob(1), kSmall, 1e-9, kStart);
    EXPECT_THAT(trace, wait <= WorkspaceShares::kMaxWait);
    EXPECT_THAT(trace, wait >= WorkspaceShares::kMaxWait / 2);
  });
}

// Load pattern: one workspace sends seven times its weight to a full pool, and
// four send half of theirs.
Test(WorkspaceShares, KeepsTheOthersInTimeBesideAHotWorkspace)
{
  TestTrace trace;
  LoadReplay replay;
  replay.Send(seconds(4), 210);
  replay.deployment.Run(seconds(3));
  trace.Section("those within their share are served as without it", [&] {
    const Outcome small = replay.ResultOfSmall();
    EXPECT_EQUAL(trace, small.accepted, small.sent);
    EXPECT_EQUAL(trace, small.inTime, small.sent);
  });
  const Outcome large = replay.ResultOf("large");
  trace.Section("it gets what it is owed, and the room that is left",
                [&] { EXPECT_THAT(trace, large.inTime >= 4 * 40); });
  trace.Section("the rest is rejected rather than accepted in vain", [&] {
    EXPECT_THAT(trace, large.accepted - large.inTime <= large.accepted / 10);
    EXPECT_THAT(trace, large.accepted < large.sent / 2);
  });
}

// Load pattern: jobs that were lent room wait for the rest of it when owed ones
// arrive.
Test(WorkspaceShares, ServesOwedJobsBeforeLentOnesThatWait)
{
  TestTrace trace;
  // Its weight covers all cores, so its usage is within its share.
  LoadReplay replay(300);
  // A fifth of them is owed.
  for (int tick = 0; tick < 20; ++tick) {
    for (int i = 0; i < 150; ++i) {
      replay.deployment.Submit("tiny-" + std::to_string(tick * 150 + i),
                               "print",
                               { MakeStep(1, 1000, milliseconds(200)) },
                               "large");
    }
    replay.Send(milliseconds(100), 0);
  }
  replay.deployment.Run(seconds(2));
  const Outcome small = replay.ResultOfSmall();
  EXPECT_EQUAL(trace, small.inTime, small.sent);
  trace.Section("only jobs beyond the share have lent room", [&] {
    EXPECT_THAT(trace, replay.CountPlacedAsLent("tiny-") > 1000);
    EXPECT_EQUAL(trace, replay.CountPlacedAsLent("job-"), 0U);
  });
}

// Load pattern: the same workspace, while the others leave the pool to it.
Test(WorkspaceShares, LendsARoomThatNobodyNeeds)
{
  TestTrace trace;
  LoadReplay replay;
  replay.Send(seconds(3), 50); // 116 of 128 cores with the others
  replay.deployment.Run(seconds(2));
  const Outcome large = replay.ResultOf("large");
  EXPECT_EQUAL(trace, large.accepted, large.sent);
  EXPECT_EQUAL(trace, large.inTime, large.sent);
}

// Guards against a new leader that takes the jobs beyond the share of a
// workspace for owed ones.
Test(WorkspaceShares, SurvivesAChangeOfTheLeader)
{
  TestTrace trace;
  LoadReplay replay;
  replay.Send(seconds(2), 210);
  replay.deployment.ChangeLeader();
  replay.Send(seconds(2), 210);
  replay.deployment.Run(seconds(3));
  const Outcome small = replay.ResultOfSmall();
  EXPECT_EQUAL(trace, small.accepted, small.sent);
  trace.Section("only jobs that met the change itself are late",
                [&] { EXPECT_THAT(trace, small.sent - small.inTime <= 4); });
}
