// Which queue a job belongs to when setups rename, move, remove and add queues.
// Callers know a queue by its host and path prefix only.
#include "work/WorkState.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::work;

namespace {

Queue
MakeQueue(const std::string& aName, const std::string& aPathPrefix)
{
  Queue queue;
  queue.name = QueueId(aName);
  queue.host = "host";
  queue.pathPrefix = aPathPrefix;
  return queue;
}

struct Recorder
{
  WorkState state;
  std::uint64_t version = 0;

  void Do(Command aCommand)
  {
    Batch batch;
    batch.commands.push_back(std::move(aCommand));
    this->state.Apply(batch);
  }

  void SetQueues(std::vector<Queue> aQueues)
  {
    Setup setup;
    setup.version = ++this->version;
    setup.queues = std::move(aQueues);
    this->Do(SetSetup{ setup });
  }

  void Submit(const std::string& aJob, const std::string& aQueue)
  {
    SubmitJob submit;
    submit.id = JobId(aJob);
    submit.queue = QueueId(aQueue);
    submit.spec.steps = { Step{} };
    this->Do(submit);
  }

  // The path prefix of the job's queue in the current setup; empty when the
  // setup does not have the queue.
  [[nodiscard]] std::string PrefixOf(const std::string& aJob) const
  {
    const Queue* queue = this->state.CurrentSetup().FindQueue(
      this->state.FindJob(JobId(aJob))->queue);
    return queue == nullptr ? std::string() : queue->pathPrefix;
  }
};

} // namespace

// Guards against accepted jobs that are never run: a setup gave their queue
// another name, and they were looked up by the earlier one.
Test(JobQueue, AJobStaysInAQueueThatIsRenamed)
{
  TestTrace trace;
  Recorder recorder;
  recorder.SetQueues({ MakeQueue("first", "/a/") });
  recorder.Submit("job", "first");
  recorder.SetQueues({ MakeQueue("second", "/a/") });
  EXPECT_EQUAL(trace, recorder.PrefixOf("job"), "/a/");
  trace.Section("a restart from a snapshot keeps it", [&] {
    const auto read = DecodeTables(EncodeTables(recorder.state.Tables()));
    EXPECT_THAT(trace, read.has_value());
    recorder.state = WorkState();
    recorder.state.Restore(*read);
    EXPECT_EQUAL(trace, recorder.PrefixOf("job"), "/a/");
  });
  trace.Section("it is renamed once more", [&] {
    recorder.SetQueues({ MakeQueue("third", "/a/") });
    EXPECT_EQUAL(trace, recorder.PrefixOf("job"), "/a/");
  });
}

// The callers of both queues still find their jobs at the address where they
// submitted them.
Test(JobQueue, JobsStayAtTheirAddressWhenTwoQueuesExchangeTheirNames)
{
  TestTrace trace;
  Recorder recorder;
  recorder.SetQueues({ MakeQueue("one", "/a/"), MakeQueue("two", "/b/") });
  recorder.Submit("a", "one");
  recorder.Submit("b", "two");
  recorder.SetQueues({ MakeQueue("one", "/b/"), MakeQueue("two", "/a/") });
  EXPECT_EQUAL(trace, recorder.PrefixOf("a"), "/a/");
  EXPECT_EQUAL(trace, recorder.PrefixOf("b"), "/b/");
}

Test(JobQueue, AJobFollowsItsQueueToAnotherAddress)
{
  TestTrace trace;
  Recorder recorder;
  recorder.SetQueues({ MakeQueue("queue", "/a/") });
  recorder.Submit("job", "queue");
  recorder.SetQueues({ MakeQueue("queue", "/b/") });
  EXPECT_EQUAL(trace, recorder.PrefixOf("job"), "/b/");
  trace.Section("and keeps that address when another queue takes the first one",
                [&] {
                  recorder.SetQueues(
                    { MakeQueue("other", "/a/"), MakeQueue("renamed", "/b/") });
                  EXPECT_EQUAL(trace, recorder.PrefixOf("job"), "/b/");
                });
}

Test(JobQueue, AJobWaitsForAQueueThatIsRemoved)
{
  TestTrace trace;
  Recorder recorder;
  recorder.SetQueues({ MakeQueue("queue", "/a/"), MakeQueue("other", "/b/") });
  recorder.Submit("job", "queue");
  recorder.SetQueues({ MakeQueue("other", "/b/") });
  EXPECT_EQUAL(trace, recorder.PrefixOf("job"), "");
  trace.Section("and runs in the queue that is served there again", [&] {
    recorder.SetQueues({ MakeQueue("new", "/a/"), MakeQueue("other", "/b/") });
    EXPECT_EQUAL(trace, recorder.PrefixOf("job"), "/a/");
  });
}

// Reads records written before the address of a job's queue was one of their
// fields.
Test(JobQueue, RecordsOfEarlierVersionsAreBoundByName)
{
  TestTrace trace;
  Recorder recorder;
  recorder.SetQueues({ MakeQueue("queue", "/a/") });
  recorder.Submit("job", "queue");
  WorkTables earlier = recorder.state.Tables();
  earlier.jobs.at(JobId("job")).queueAddress = {};
  recorder.state.Restore(earlier);
  EXPECT_THAT(trace,
              recorder.state.FindJob(JobId("job"))->queueAddress ==
                MakeQueue("queue", "/a/").Address());
  trace.Section("a submission in the log", [&] {
    // [stamp, [[2, id, queue, workspace, spec]]] with an empty specification.
    using namespace std::string_view_literals;
    const auto batch = DecodeBatch("\x92\x00\x91\x95\x02\xa1j\xa5queue\xa1w"
                                   "\x95\xa0\x90\x01\xc0\x00"sv);
    EXPECT_THAT(trace, batch.has_value());
    recorder.state.Apply(*batch);
    EXPECT_EQUAL(trace, recorder.PrefixOf("j"), "/a/");
  });
}
