// Evacuation of data centres. Every start that reaches an upstream of a data
// centre under evacuation is a violation of FakeDeployment.
#include "FakeDeployment.h"

#include "dispatch/DataCentreEvacuation.h"
#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;
using work::JobState;

namespace {

// A service "print" with two upstreams in each of three data centres.
struct Site
{
  FakeDeployment deployment;
  std::uint32_t lastJob = 0;

  explicit Site(bool aHasStandby = false)
  {
    this->deployment.AddService("print");
    if (aHasStandby) {
      this->deployment.AddService("spare", true);
    }
    for (int i = 0; i < 6; ++i) {
      this->deployment.AddUpstream("print");
      this->deployment.Place("up-" + std::to_string(i + 1),
                             "dc-" + std::to_string(i / 2));
    }
  }

  void Elect()
  {
    this->deployment.ElectLeader();
    this->deployment.Run(milliseconds(500));
  }

  // Submits a job that keeps about half of all cores busy, four times a second.
  void RunWithLoad(Duration aFor)
  {
    for (Duration passed{ 0 }; passed < aFor; passed += milliseconds(250)) {
      this->deployment.Submit("job-" + std::to_string(++this->lastJob),
                              "print",
                              { MakeStep(16, 1000, milliseconds(400)) });
      this->deployment.Run(milliseconds(250));
    }
  }

  [[nodiscard]] std::uint32_t StartsIn(const std::string& aDataCentre) const
  {
    std::uint32_t starts = 0;
    for (const auto& [id, up] : this->deployment.upstreams) {
      starts += up.record.dataCentre.value == aDataCentre ? up.startsSeen : 0;
    }
    return starts;
  }

  [[nodiscard]] std::size_t RunningIn(const std::string& aDataCentre) const
  {
    std::size_t running = 0;
    for (const auto& [id, up] : this->deployment.upstreams) {
      running +=
        up.record.dataCentre.value == aDataCentre ? up.running.size() : 0;
    }
    return running;
  }

  void ExpectAllCompleted(TestTrace& aTrace)
  {
    this->deployment.Run(seconds(5));
    for (std::uint32_t i = 1; i <= this->lastJob; ++i) {
      EXPECT_EQUAL(aTrace,
                   this->deployment.StateOf("job-" + std::to_string(i)),
                   JobState::Completed);
    }
    EXPECT_THAT(aTrace, this->deployment.violations.empty());
  }
};

} // namespace

Test(Evacuation, NothingStartsThereUntilItIsRestored)
{
  TestTrace trace;
  Site site;
  site.Elect();
  site.RunWithLoad(seconds(2));
  EXPECT_THAT(trace, site.StartsIn("dc-0") > 0);
  trace.Section("the tasks that run there end by themselves", [&] {
    site.deployment.Submit("job-" + std::to_string(++site.lastJob),
                           "print",
                           { MakeStep(40, 1000, milliseconds(400)) });
    site.deployment.Run(milliseconds(100));
    EXPECT_THAT(trace, site.RunningIn("dc-0") > 0);
    site.deployment.Evacuate("dc-0");
    const std::uint32_t before = site.StartsIn("dc-0");
    site.RunWithLoad(seconds(1));
    EXPECT_EQUAL(trace, site.RunningIn("dc-0"), std::size_t{ 0 });
    EXPECT_EQUAL(trace, site.StartsIn("dc-0"), before);
  });
  trace.Section("nor after a change of the leader", [&] {
    site.deployment.ChangeLeader();
    site.RunWithLoad(seconds(2));
  });
  trace.Section("nor after a restart of all nodes from a snapshot", [&] {
    const auto read =
      work::DecodeTables(work::EncodeTables(site.deployment.state.Tables()));
    EXPECT_THAT(trace, read.has_value());
    site.deployment.state.Restore(*read);
    site.deployment.ChangeLeader();
    site.RunWithLoad(seconds(2));
    EXPECT_EQUAL(trace, site.RunningIn("dc-0"), std::size_t{ 0 });
  });
  trace.Section("a new boot there gets nothing either", [&] {
    const auto there = std::find_if(site.deployment.upstreams.begin(),
                                    site.deployment.upstreams.end(),
                                    [](const auto& aItem) {
                                      return aItem.second.record.dataCentre ==
                                             DataCentreId("dc-0");
                                    });
    if (there != site.deployment.upstreams.end()) {
      site.deployment.Crash(there->first.value, true);
    }
    site.RunWithLoad(seconds(2));
  });
  trace.Section("it gets work again after its restoration", [&] {
    site.deployment.Evacuate("dc-0", false);
    const std::uint32_t before = site.StartsIn("dc-0");
    for (int i = 0; i < 8; ++i) {
      site.deployment.Submit("job-" + std::to_string(++site.lastJob),
                             "print",
                             { MakeStep(24, 1000, seconds(1)) });
    }
    site.deployment.Run(seconds(4));
    EXPECT_THAT(trace, site.StartsIn("dc-0") > before);
  });
  site.ExpectAllCompleted(trace);
}

// Guards against starts that were planned before the order and committed after
// it.
Test(Evacuation, AStartThatIsCommittedAfterTheOrderIsNotSent)
{
  TestTrace trace;
  Site site;
  site.Elect();
  FakeDeployment& deployment = site.deployment;
  deployment.holdCommits = true;
  deployment.Submit("many", "print", { MakeStep(40, 1000, milliseconds(200)) });
  deployment.Evacuate("dc-0");
  deployment.holdCommits = false;
  deployment.Run(seconds(3));
  EXPECT_EQUAL(trace, site.StartsIn("dc-0"), 0U);
  EXPECT_EQUAL(trace, deployment.StateOf("many"), JobState::Completed);
  EXPECT_THAT(trace, deployment.violations.empty());
}

// Guards against members of a gang that wait for those whose start was refused.
Test(Evacuation, AGangThatLosesAMemberIsStartedElsewhere)
{
  TestTrace trace;
  Site site;
  site.Elect();
  FakeDeployment& deployment = site.deployment;
  work::Step gang = MakeStep(4, 5000, seconds(1));
  gang.gang = true;
  // Six upstreams have room for one member each.
  deployment.holdCommits = true;
  deployment.Submit("gang", "print", { gang });
  deployment.Evacuate("dc-0");
  deployment.holdCommits = false;
  deployment.Run(milliseconds(100));
  trace.Section("the members that were started are stopped", [&] {
    const auto stops = std::count_if(deployment.decisions.begin(),
                                     deployment.decisions.end(),
                                     [](const dispatch::Decision& aDecision) {
                                       return aDecision.kind == "run_stopped";
                                     });
    EXPECT_THAT(trace, stops > 0);
  });
  trace.Section("it completes in the other data centres", [&] {
    deployment.Run(seconds(4));
    EXPECT_EQUAL(trace, deployment.StateOf("gang"), JobState::Completed);
    EXPECT_EQUAL(trace, site.StartsIn("dc-0"), 0U);
    EXPECT_THAT(trace, deployment.violations.empty());
  });
}

Test(Evacuation, LongRunningTasksMoveWithinTheLimitOfTheirStep)
{
  TestTrace trace;
  Site site;
  FakeDeployment& deployment = site.deployment;
  deployment.warmUp = milliseconds(300);
  site.Elect();
  work::Step archive = MakeStep(6, 1000, seconds(600));
  archive.longRunning = true;
  archive.maxPerUpstream = 2;
  archive.maxUnavailable = 1;
  deployment.Submit("archive", "print", { archive });
  deployment.Run(seconds(2));
  for (const auto& [id, up] : deployment.upstreams) {
    if (!up.running.empty()) {
      deployment.Evacuate(up.record.dataCentre.value);
      break;
    }
  }
  const std::string dataCentre =
    deployment.state.Tables().evacuations.begin()->first.value;
  EXPECT_THAT(trace, site.RunningIn(dataCentre) > 1);
  const bool moved = deployment.RunUntil(seconds(5), [&] {
    EXPECT_THAT(trace, deployment.RunningOn("print") >= 5);
    return site.RunningIn(dataCentre) == 0;
  });
  EXPECT_THAT(trace, moved);
  deployment.Run(seconds(1));
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), std::size_t{ 6 });
  EXPECT_THAT(trace, deployment.violations.empty());
}

// Load pattern: a peak while a data centre is evacuated.
Test(Evacuation, InstancesThereAreNotKeptInBusyPools)
{
  TestTrace trace;
  Site site(true);
  FakeDeployment& deployment = site.deployment;
  deployment.AddStandby("spare-0", "spare");
  deployment.instances.at("spare-0").dataCentre = DataCentreId("dc-0");
  site.Elect();
  site.RunWithLoad(seconds(1));
  deployment.Evacuate("dc-0");
  const auto inPool = [&] {
    return std::count_if(deployment.instances.begin(),
                         deployment.instances.end(),
                         [](const auto& aItem) {
                           return aItem.second.dataCentre ==
                                    DataCentreId("dc-0") &&
                                  aItem.second.pool == ServiceId("print");
                         });
  };
  trace.Section("its idle instances are moved to standby", [&] {
    site.RunWithLoad(seconds(3));
    EXPECT_EQUAL(trace, inPool(), std::ptrdiff_t{ 0 });
  });
  trace.Section("a backlog does not bring them back", [&] {
    deployment.Submit("peak", "print", { MakeStep(200, 1000, seconds(1)) });
    deployment.Run(seconds(3));
    EXPECT_EQUAL(trace, inPool(), std::ptrdiff_t{ 0 });
  });
  trace.Section("they serve again after the restoration", [&] {
    deployment.Evacuate("dc-0", false);
    deployment.Submit("later", "print", { MakeStep(200, 1000, seconds(1)) });
    deployment.Run(seconds(3));
    EXPECT_THAT(trace, inPool() > 0);
  });
  deployment.Run(seconds(20));
  EXPECT_EQUAL(trace, deployment.StateOf("peak"), JobState::Completed);
  EXPECT_EQUAL(trace, deployment.StateOf("later"), JobState::Completed);
  EXPECT_THAT(trace, deployment.violations.empty());
}

// The last data centre of a service: obeyed, and said.
Test(Evacuation, NamesTheServicesThatHaveNoUpstreamLeft)
{
  TestTrace trace;
  Site site;
  site.Elect();
  FakeDeployment& deployment = site.deployment;
  for (const char* dataCentre : { "dc-0", "dc-1", "dc-2" }) {
    deployment.Evacuate(dataCentre);
  }
  const auto last =
    std::find_if(deployment.decisions.rbegin(),
                 deployment.decisions.rend(),
                 [](const dispatch::Decision& aDecision) {
                   return aDecision.kind == "evacuation_ordered";
                 });
  EXPECT_THAT(trace, last != deployment.decisions.rend());
  EXPECT_EQUAL(trace, last->fields.back().second, std::string("print"));
  deployment.Submit("job", "print", { MakeStep(1, 1000, milliseconds(100)) });
  deployment.Run(seconds(2));
  EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Queued);
  trace.Section("the job starts once one is restored", [&] {
    deployment.Evacuate("dc-1", false);
    deployment.Run(seconds(5));
    EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
    EXPECT_THAT(trace, deployment.violations.empty());
  });
}
