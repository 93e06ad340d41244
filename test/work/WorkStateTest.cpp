// The state machine for jobs that consist of steps: what is recorded and what
// is refused.
#include "work/WorkState.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::work;

namespace {

struct Recorder
{
  WorkState state;
  std::int64_t second = 0;

  Verdict Do(Command aCommand)
  {
    Batch batch;
    batch.stamp = WallTime(std::chrono::seconds(++this->second));
    batch.commands.push_back(std::move(aCommand));
    return this->state.Apply(batch).front();
  }

  void AddQueue(std::uint32_t aMaxAttempts)
  {
    Setup setup;
    setup.version = 3;
    Queue queue;
    queue.name = QueueId("queue");
    queue.host = "host";
    queue.pathPrefix = "/queue/";
    queue.maxAttempts = aMaxAttempts;
    setup.queues.push_back(queue);
    this->Do(SetSetup{ setup });
    Upstream upstream;
    upstream.boot = 1;
    this->Do(SetUpstream{ InstanceId("up"), upstream });
  }

  void Submit(std::vector<Step> aSteps)
  {
    SubmitJob submit;
    submit.id = JobId("job");
    submit.queue = QueueId("queue");
    submit.spec.steps = std::move(aSteps);
    this->Do(submit);
  }

  Verdict Start(std::uint32_t aStep, std::uint32_t aIndex, std::uint32_t aRun)
  {
    Run run;
    run.number = aRun;
    run.upstream = InstanceId("up");
    run.boot = 1;
    return this->Do(StartRun{ { JobId("job"), 0, aStep, aIndex }, run });
  }

  Verdict End(std::uint32_t aStep,
              std::uint32_t aIndex,
              std::uint32_t aRun,
              EndKind aKind)
  {
    return this->Do(EndRun{
      { JobId("job"), 0, aStep, aIndex }, aRun, InstanceId("up"), aKind, "" });
  }

  [[nodiscard]] JobState Job() const
  {
    return this->state.FindJob(JobId("job"))->state;
  }
};

} // namespace

Test(WorkState, KeepsTheNewestSetup)
{
  TestTrace trace;
  Recorder recorder;
  Setup setup;
  setup.version = 5;
  setup.document = "five";
  EXPECT_EQUAL(trace, recorder.Do(SetSetup{ setup }), Verdict::Done);
  trace.Section(
    "an older version, or the same one with other content, changes nothing",
    [&] {
      setup.document = "other";
      EXPECT_EQUAL(trace, recorder.Do(SetSetup{ setup }), Verdict::Outdated);
      setup.version = 4;
      EXPECT_EQUAL(trace, recorder.Do(SetSetup{ setup }), Verdict::Outdated);
      EXPECT_EQUAL(
        trace, recorder.state.CurrentSetup().document, std::string("five"));
    });
}

Test(WorkState, AResubmissionIsTheSameJob)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  recorder.Submit({ Step{} });
  recorder.Start(0, 0, 1);
  recorder.Submit({ Step{}, Step{} });
  EXPECT_EQUAL(
    trace, recorder.state.FindJob(JobId("job"))->spec.steps.size(), 1U);
  EXPECT_EQUAL(trace, recorder.Job(), JobState::Running);
}

Test(WorkState, RefusesASecondRunWhileOneMayExecute)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  recorder.Submit({ Step{} });
  EXPECT_EQUAL(trace, recorder.Start(0, 0, 1), Verdict::Done);
  EXPECT_EQUAL(trace, recorder.Start(0, 0, 2), Verdict::Conflict);
  trace.Section("run numbers must increase", [&] {
    recorder.End(0, 0, 1, EndKind::NotStarted);
    EXPECT_EQUAL(trace, recorder.Start(0, 0, 1), Verdict::Conflict);
    EXPECT_EQUAL(trace, recorder.Start(0, 0, 2), Verdict::Done);
  });
  trace.Section("nothing starts on another boot", [&] {
    recorder.End(0, 0, 2, EndKind::Lost);
    Upstream upstream;
    upstream.boot = 2;
    recorder.Do(SetUpstream{ InstanceId("up"), upstream });
    EXPECT_EQUAL(trace, recorder.Start(0, 0, 3), Verdict::Conflict);
  });
}

Test(WorkState, ALateEndOfALostRunChangesNothing)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  recorder.Submit({ Step{} });
  recorder.Start(0, 0, 1);
  recorder.End(0, 0, 1, EndKind::Lost);
  EXPECT_EQUAL(trace, recorder.End(0, 0, 1, EndKind::Done), Verdict::NotFound);
  EXPECT_EQUAL(trace, recorder.Job(), JobState::Running);
}

Test(WorkState, EndsAJobByItsTasks)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  Step pair;
  pair.count = 2;
  recorder.Submit({ pair });
  recorder.Start(0, 0, 1);
  recorder.Start(0, 1, 1);
  trace.Section("the job continues after a failure below the limit", [&] {
    recorder.End(0, 0, 1, EndKind::Failed);
    EXPECT_EQUAL(trace, recorder.Job(), JobState::Running);
  });
  trace.Section("the job is completed when all tasks are done", [&] {
    recorder.Start(0, 0, 2);
    recorder.End(0, 0, 2, EndKind::Done);
    recorder.End(0, 1, 1, EndKind::Done);
    EXPECT_EQUAL(trace, recorder.Job(), JobState::Completed);
  });
  trace.Section("a cancellation after that changes nothing", [&] {
    recorder.Do(CancelJob{ JobId("job") });
    EXPECT_EQUAL(trace, recorder.Job(), JobState::Completed);
  });
}

Test(WorkState, FailsAJobAfterItsAttempts)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  recorder.Submit({ Step{} });
  for (std::uint32_t run = 1; run <= 2; ++run) {
    EXPECT_EQUAL(trace, recorder.Start(0, 0, run), Verdict::Done);
    recorder.End(0, 0, run, EndKind::Failed);
  }
  EXPECT_EQUAL(trace, recorder.Job(), JobState::Failed);
  trace.Section("only failures count as attempts", [&] {
    Recorder other;
    other.AddQueue(2);
    other.Submit({ Step{} });
    for (std::uint32_t run = 1; run <= 5; ++run) {
      other.Start(0, 0, run);
      other.End(0, 0, run, EndKind::Stopped);
    }
    EXPECT_EQUAL(trace, other.Job(), JobState::Running);
  });
}

Test(WorkState, KeepsTheTasksOfAnEndedJobWhileOneMayExecute)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  recorder.Submit({ Step{} });
  recorder.Start(0, 0, 1);
  recorder.Do(CancelJob{ JobId("job") });
  EXPECT_THAT(trace, !recorder.state.FindJob(JobId("job"))->tasks.empty());
  recorder.End(0, 0, 1, EndKind::Stopped);
  EXPECT_THAT(trace, recorder.state.FindJob(JobId("job"))->tasks.empty());
}

// Guards against a job that runs although its cancel was answered: a cancel
// that overtook the submission left no trace, so the submission was accepted
// later.
Test(WorkState, ACancelThatOvertakesItsSubmissionHolds)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  EXPECT_EQUAL(
    trace, recorder.Do(CancelJob{ JobId("job") }), Verdict::NotFound);
  trace.Section("nothing is shown before the submission arrives", [&] {
    EXPECT_THAT(trace, recorder.state.FindJob(JobId("job")) == nullptr);
  });
  trace.Section("a restart from a snapshot keeps it", [&] {
    const auto read = DecodeTables(EncodeTables(recorder.state.Tables()));
    EXPECT_THAT(trace, read.has_value());
    recorder.state = WorkState();
    recorder.state.Restore(*read);
  });
  trace.Section("the late submission is recorded as a cancelled job", [&] {
    recorder.Submit({ Step{} });
    EXPECT_EQUAL(trace, recorder.Job(), JobState::Cancelled);
    EXPECT_EQUAL(trace, recorder.Start(0, 0, 1), Verdict::NotFound);
  });
  trace.Section("so is a repetition of it", [&] {
    recorder.Submit({ Step{} });
    EXPECT_EQUAL(trace, recorder.Job(), JobState::Cancelled);
    EXPECT_EQUAL(trace, recorder.Do(CancelJob{ JobId("job") }), Verdict::Done);
  });
  trace.Section("other jobs are accepted", [&] {
    SubmitJob other;
    other.id = JobId("other");
    other.queue = QueueId("queue");
    other.spec.steps = { Step{} };
    recorder.Do(other);
    EXPECT_EQUAL(
      trace, recorder.state.FindJob(JobId("other"))->state, JobState::Queued);
  });
}

// The bound of the memory that cancels of unknown jobs take.
Test(WorkState, KeepsCancelsOfUnknownJobsForTheirRetention)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  const auto retention =
    std::chrono::duration_cast<std::chrono::seconds>(kEndedJobRetention)
      .count();
  const auto& withdrawals = recorder.state.Tables().withdrawals;
  recorder.Do(CancelJob{ JobId("job") });
  trace.Section("a repetition renews it", [&] {
    recorder.second += retention - 1;
    recorder.Do(CancelJob{ JobId("job") });
    recorder.second += retention - 1;
    recorder.Do(CancelJob{ JobId("other") });
    EXPECT_THAT(trace, withdrawals.contains(JobId("job")));
  });
  trace.Section("also after a restart from a snapshot", [&] {
    WorkState restored;
    restored.Restore(recorder.state.Tables());
    recorder.state = restored;
    EXPECT_EQUAL(trace, withdrawals.size(), 2U);
  });
  trace.Section("and it is forgotten afterwards", [&] {
    recorder.second += 1;
    recorder.AddQueue(2);
    EXPECT_THAT(trace, !withdrawals.contains(JobId("job")));
    EXPECT_THAT(trace, withdrawals.contains(JobId("other")));
  });
  trace.Section("when there is no room, a further cancel is refused", [&] {
    Batch batch;
    batch.stamp = WallTime(std::chrono::seconds(recorder.second));
    while (batch.commands.size() + withdrawals.size() < kMaxWithdrawals) {
      batch.commands.emplace_back(
        CancelJob{ JobId("job-" + std::to_string(batch.commands.size())) });
    }
    recorder.state.Apply(batch);
    EXPECT_EQUAL(trace, recorder.Do(CancelJob{ JobId("last") }), Verdict::Full);
    EXPECT_EQUAL(trace, withdrawals.size(), kMaxWithdrawals);
    EXPECT_EQUAL(
      trace, recorder.Do(CancelJob{ JobId("job-1") }), Verdict::NotFound);
  });
  trace.Section("a known job can still be cancelled", [&] {
    recorder.Submit({ Step{} });
    EXPECT_EQUAL(trace, recorder.Do(CancelJob{ JobId("job") }), Verdict::Done);
    EXPECT_EQUAL(trace, recorder.Job(), JobState::Cancelled);
  });
}

Test(WorkState, SurvivesEncodingAndDecoding)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  Step step;
  step.count = 3;
  step.image = "image";
  step.tailLatencyTarget = std::chrono::milliseconds(40);
  recorder.Submit({ step });
  recorder.Start(0, 1, 1);
  const std::string bytes = EncodeTables(recorder.state.Tables());
  const auto read = DecodeTables(bytes);
  EXPECT_THAT(trace, read.has_value());
  EXPECT_THAT(trace, *read == recorder.state.Tables());
  trace.Section("truncated bytes are refused", [&] {
    EXPECT_THAT(
      trace, !DecodeTables(std::string_view(bytes).substr(0, 40)).has_value());
  });
  trace.Section("a batch with whole numbers in real fields is read", [&] {
    Batch batch;
    SetSetup set;
    set.setup.workspaces.emplace_back().weight = 37;
    batch.commands.emplace_back(set);
    const auto back = DecodeBatch(EncodeBatch(batch));
    EXPECT_THAT(trace, back.has_value() && *back == batch);
  });
}

Test(WorkState, RemembersTheLastOrderOfAnInstance)
{
  TestTrace trace;
  Recorder recorder;
  recorder.Do(OrderInstance{ "machine", InstanceId("first"), 1 });
  recorder.Do(OrderInstance{ "machine", InstanceId("second"), 2 });
  const auto& orders = recorder.state.Tables().instanceOrders;
  EXPECT_EQUAL(trace, orders.at("machine").holder, InstanceId("second"));
  trace.Section("tables keep it", [&] {
    const auto read = DecodeTables(EncodeTables(recorder.state.Tables()));
    EXPECT_THAT(trace, read.has_value());
    EXPECT_THAT(trace, *read == recorder.state.Tables());
  });
}

// Reads snapshots written before the last fields existed.
Test(WorkState, ReadsTablesOfEarlierVersions)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  const std::string bytes = EncodeTables(recorder.state.Tables());
  // Each missing field is an empty table, which takes one byte.
  const auto readWithFields = [&](std::size_t aFields) {
    constexpr std::size_t kFields = 9;
    constexpr unsigned kArray = 0x90;
    std::string earlier = bytes.substr(0, bytes.size() - (kFields - aFields));
    earlier.front() = static_cast<char>(kArray + aFields);
    return DecodeTables(earlier);
  };
  trace.Section("without evacuations", [&] {
    const auto read = readWithFields(8);
    EXPECT_THAT(trace, read.has_value());
    EXPECT_THAT(trace, *read == recorder.state.Tables());
  });
  trace.Section("also without cancels of unknown jobs", [&] {
    const auto read = readWithFields(7);
    EXPECT_THAT(trace, read.has_value());
    EXPECT_THAT(trace, *read == recorder.state.Tables());
  });
  trace.Section("also without orders for instances", [&] {
    const auto read = readWithFields(6);
    EXPECT_THAT(trace, read.has_value());
    EXPECT_THAT(trace, *read == recorder.state.Tables());
  });
  trace.Section("fewer fields are refused",
                [&] { EXPECT_THAT(trace, !readWithFields(5).has_value()); });
}

// Guards against delayed announcements that a suspended process delivered
// later: they registered a boot again that maintenance had ended.
Test(WorkState, ADelayedAnnouncementDoesNotRestoreAnEndedBoot)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(2);
  Upstream upstream;
  upstream.boot = 1;
  recorder.Do(RemoveUpstream{ InstanceId("up"), true });
  EXPECT_EQUAL(trace,
               recorder.Do(SetUpstream{ InstanceId("up"), upstream }),
               Verdict::Outdated);
  trace.Section("a later boot of the same name is recorded", [&] {
    upstream.boot = 2;
    EXPECT_EQUAL(trace,
                 recorder.Do(SetUpstream{ InstanceId("up"), upstream }),
                 Verdict::Done);
  });
  trace.Section("an upstream that was only silent may return", [&] {
    recorder.Do(RemoveUpstream{ InstanceId("up"), false });
    EXPECT_EQUAL(trace,
                 recorder.Do(SetUpstream{ InstanceId("up"), upstream }),
                 Verdict::Done);
  });
}

// Guards against a scan of all known jobs for each batch: the cost of a batch
// must not grow with the jobs that ended before it.
Test(WorkState, ForgetsEndedJobsAfterTheirRetention)
{
  TestTrace trace;
  Recorder recorder;
  recorder.AddQueue(1);
  recorder.Submit({ Step{} });
  recorder.Start(0, 0, 1);
  recorder.End(0, 0, 1, EndKind::Done);
  EXPECT_THAT(trace, recorder.Job() == JobState::Completed);
  const auto retention =
    std::chrono::duration_cast<std::chrono::seconds>(kEndedJobRetention)
      .count();
  trace.Section("it is known until then", [&] {
    recorder.second += retention - 1;
    recorder.Do(CancelJob{ JobId("other") });
    EXPECT_THAT(trace, recorder.state.FindJob(JobId("job")) != nullptr);
  });
  trace.Section("also after a restart from a snapshot", [&] {
    WorkState restored;
    restored.Restore(recorder.state.Tables());
    recorder.state = restored;
    EXPECT_THAT(trace, recorder.state.FindJob(JobId("job")) != nullptr);
  });
  trace.Section("and not afterwards", [&] {
    recorder.second += 1;
    recorder.Do(CancelJob{ JobId("other") });
    EXPECT_THAT(trace, recorder.state.FindJob(JobId("job")) == nullptr);
  });
}

Test(WorkState, KeepsAnInstanceOrderThatWasRenewed)
{
  TestTrace trace;
  Recorder recorder;
  const auto retention =
    std::chrono::duration_cast<std::chrono::seconds>(kInstanceOrderRetention)
      .count();
  recorder.Do(OrderInstance{ "i1", InstanceId("a"), 1 });
  recorder.second += retention - 5;
  recorder.Do(OrderInstance{ "i1", InstanceId("b"), 2 });
  recorder.second += 10;
  recorder.Do(CancelJob{ JobId("other") });
  EXPECT_THAT(trace, recorder.state.Tables().instanceOrders.contains("i1"));
  recorder.second += retention;
  recorder.Do(CancelJob{ JobId("other") });
  EXPECT_THAT(trace, recorder.state.Tables().instanceOrders.empty());
}
