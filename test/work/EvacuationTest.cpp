// Evacuation of data centres in the state machine.
#include "work/WorkState.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::work;

namespace {

struct Fixture
{
  WorkState state;
  std::int64_t second = 0;
  std::uint32_t lastRun = 0;

  Fixture()
  {
    Setup setup;
    setup.version = 1;
    setup.queues.emplace_back().name = QueueId("queue");
    this->Do(SetSetup{ setup });
    Upstream upstream;
    upstream.boot = 1;
    upstream.dataCentre = DataCentreId("dc");
    this->Do(SetUpstream{ InstanceId("up"), upstream });
    SubmitJob submit;
    submit.id = JobId("job");
    submit.queue = QueueId("queue");
    submit.spec.steps.emplace_back().count = 10;
    this->Do(submit);
  }

  Verdict Do(Command aCommand)
  {
    Batch batch;
    batch.stamp = WallTime(std::chrono::seconds(++this->second));
    batch.commands.push_back(std::move(aCommand));
    return this->state.Apply(batch).front();
  }

  Verdict Evacuate(const std::string& aDataCentre,
                   bool aRequested,
                   const std::string& aBy = "operator")
  {
    return this->Do(
      SetEvacuation{ DataCentreId(aDataCentre), aRequested, aBy });
  }

  // Starts the next task.
  Verdict Start()
  {
    Run run;
    run.number = 1;
    run.upstream = InstanceId("up");
    run.boot = 1;
    return this->Do(StartRun{ { JobId("job"), 0, 0, this->lastRun++ }, run });
  }
};

} // namespace

// Guards against a start that a leader proposed before it knew of the order.
Test(Evacuation, RefusesStartsInTheDataCentreUntilItIsRestored)
{
  TestTrace trace;
  Fixture fixture;
  EXPECT_EQUAL(trace, fixture.Start(), Verdict::Done);
  EXPECT_EQUAL(trace, fixture.Evacuate("dc", true), Verdict::Done);
  EXPECT_EQUAL(trace, fixture.Start(), Verdict::Conflict);
  trace.Section("the runs that it has go on", [&] {
    const Job& job = *fixture.state.FindJob(JobId("job"));
    EXPECT_EQUAL(trace, job.tasks[0][0][0].runs.size(), 1U);
  });
  trace.Section("the order for another data centre changes nothing", [&] {
    EXPECT_EQUAL(trace, fixture.Evacuate("other", false), Verdict::Done);
    EXPECT_EQUAL(trace, fixture.Start(), Verdict::Conflict);
  });
  trace.Section("a snapshot keeps it", [&] {
    const auto read = DecodeTables(EncodeTables(fixture.state.Tables()));
    EXPECT_THAT(trace, read.has_value());
    EXPECT_THAT(trace, *read == fixture.state.Tables());
    fixture.state.Restore(*read);
    EXPECT_EQUAL(trace, fixture.Start(), Verdict::Conflict);
  });
  trace.Section("it gets starts again once it is restored", [&] {
    EXPECT_EQUAL(trace, fixture.Evacuate("dc", false), Verdict::Done);
    EXPECT_EQUAL(trace, fixture.Start(), Verdict::Done);
  });
}

Test(Evacuation, ARepeatedOrderIsTheSameOrder)
{
  TestTrace trace;
  Fixture fixture;
  fixture.Evacuate("dc", true, "first");
  const auto& evacuations = fixture.state.Tables().evacuations;
  const Evacuation first = evacuations.at(DataCentreId("dc"));
  EXPECT_EQUAL(trace, first.by, std::string("first"));
  EXPECT_EQUAL(trace, fixture.Evacuate("dc", true, "second"), Verdict::Done);
  EXPECT_THAT(trace, evacuations.at(DataCentreId("dc")) == first);
  trace.Section("so is a repeated withdrawal", [&] {
    EXPECT_EQUAL(trace, fixture.Evacuate("dc", false), Verdict::Done);
    EXPECT_EQUAL(trace, fixture.Evacuate("dc", false), Verdict::Done);
    EXPECT_THAT(trace, evacuations.empty());
  });
}

// Guards against memory that grows with orders for names that do not exist.
Test(Evacuation, BoundsTheOrdersInForce)
{
  TestTrace trace;
  Fixture fixture;
  for (std::size_t i = 0; i < kMaxEvacuations; ++i) {
    fixture.Evacuate("dc-" + std::to_string(i), true);
  }
  EXPECT_EQUAL(trace, fixture.Evacuate("one-more", true), Verdict::Full);
  EXPECT_EQUAL(trace, fixture.Evacuate("dc-7", true), Verdict::Done);
  fixture.Evacuate("dc-7", false);
  EXPECT_EQUAL(trace, fixture.Evacuate("one-more", true), Verdict::Done);
}

Test(Evacuation, ABatchKeepsTheOrder)
{
  TestTrace trace;
  Batch batch;
  batch.commands.emplace_back(
    SetEvacuation{ DataCentreId("dc"), true, "operator" });
  const auto read = DecodeBatch(EncodeBatch(batch));
  EXPECT_THAT(trace, read.has_value() && *read == batch);
}
