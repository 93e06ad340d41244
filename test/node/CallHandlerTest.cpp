// Tests how calls are handled on the leader, with proposals and confirmations
// that are answered by the test.
#include "node/CallHandler.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::seconds;

namespace {

work::Setup
MakeSetup(std::uint64_t aVersion)
{
  work::Setup setup;
  setup.version = aVersion;
  setup.document = "document " + std::to_string(aVersion);
  return setup;
}

// With one queue, at the path prefix "/queue/".
work::Setup
MakeSetupWithQueue(std::uint64_t aVersion, const std::string& aName)
{
  work::Setup setup = MakeSetup(aVersion);
  work::Queue queue;
  queue.name = work::QueueId(aName);
  queue.host = "host";
  queue.pathPrefix = "/queue/";
  queue.allowAnonymous = true;
  setup.queues.push_back(queue);
  return setup;
}

struct HandlerFixture
{
  work::WorkState state;
  dispatch::Dispatcher dispatcher{ {}, this->state };
  std::vector<std::vector<work::Command>> proposals;
  std::vector<Replica::ProposalCallback> proposalCallbacks;
  std::vector<Replica::ReadCallback> confirmations;
  std::vector<Reply> replies;
  CallHandler handler{ this->state,
                       this->dispatcher,
                       "127.0.0.1:1",
                       this->Callbacks() };

  CallHandler::Callbacks Callbacks()
  {
    CallHandler::Callbacks callbacks;
    callbacks.propose = [this](std::vector<work::Command> aCommands,
                               Replica::ProposalCallback aDone) {
      this->proposals.push_back(std::move(aCommands));
      this->proposalCallbacks.push_back(std::move(aDone));
    };
    callbacks.confirm = [this](Replica::ReadCallback aDone) {
      this->confirmations.push_back(std::move(aDone));
    };
    callbacks.logDecision = [](const dispatch::Decision&) {};
    callbacks.now = [] { return Time(seconds(100)); };
    return callbacks;
  }

  void Handle(const Call& aCall)
  {
    this->handler.Handle(aCall, [this](Reply aReply) {
      this->replies.push_back(std::move(aReply));
    });
  }
  void Apply(work::Command aCommand)
  {
    work::Batch batch;
    batch.commands.push_back(std::move(aCommand));
    this->state.Apply(batch);
  }
  // Applies the proposal as the replica does, and reports its verdicts.
  void Commit(std::size_t aProposal)
  {
    work::Batch batch;
    batch.commands = this->proposals.at(aProposal);
    this->proposalCallbacks.at(aProposal)(ProposalResult::Committed,
                                          this->state.Apply(batch));
  }
};

} // namespace

// Guards against an operator without a confirmation, because each repetition of
// a large setup is replicated again and fills the links to the voters.
Test(CallHandler, AcknowledgesASetupThatIsAlreadyCommitted)
{
  TestTrace trace;
  HandlerFixture fixture;
  fixture.Handle(PutSetupCall{ MakeSetup(7) });
  EXPECT_EQUAL(trace, fixture.proposals.size(), 1U);
  trace.Section("a new setup is acknowledged once it is committed", [&] {
    EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
    fixture.Apply(work::SetSetup{ MakeSetup(7) });
    fixture.proposalCallbacks.at(0)(ProposalResult::Committed, {});
    EXPECT_THAT(trace, fixture.replies.at(0).outcome == Outcome::Done);
  });
  trace.Section("a repetition is acknowledged at once", [&] {
    fixture.Handle(PutSetupCall{ MakeSetup(7) });
    EXPECT_EQUAL(trace, fixture.replies.size(), 2U);
    EXPECT_THAT(trace, fixture.replies.back().outcome == Outcome::Done);
    EXPECT_EQUAL(trace, fixture.proposals.size(), 1U);
  });
  trace.Section("an older setup is acknowledged and changes nothing", [&] {
    fixture.Handle(PutSetupCall{ MakeSetup(6) });
    EXPECT_EQUAL(trace, fixture.replies.size(), 3U);
    EXPECT_EQUAL(trace, fixture.proposals.size(), 1U);
    EXPECT_EQUAL(trace, fixture.state.CurrentSetup().document, "document 7");
  });
  trace.Section("a later setup is proposed", [&] {
    fixture.Handle(PutSetupCall{ MakeSetup(8) });
    EXPECT_EQUAL(trace, fixture.proposals.size(), 2U);
  });
}

// Guards against a repetition that is acknowledged while the first copy may
// still be lost.
Test(CallHandler, ASetupThatIsOnlyProposedIsNotAcknowledged)
{
  TestTrace trace;
  HandlerFixture fixture;
  fixture.Handle(PutSetupCall{ MakeSetup(7) });
  fixture.Handle(PutSetupCall{ MakeSetup(7) });
  EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
  trace.Section("an undecided proposal leaves the outcome unknown", [&] {
    fixture.proposalCallbacks.at(0)(ProposalResult::Undecided, {});
    EXPECT_THAT(trace, fixture.replies.at(0).outcome == Outcome::Undecided);
  });
}

// Guards against a job that is never run: the setup that renames its queue is
// committed between the proposal and the commit of its submission.
Test(CallHandler, AJobIsAcceptedIntoTheQueueAtItsAddress)
{
  TestTrace trace;
  HandlerFixture fixture;
  fixture.Apply(work::SetSetup{ MakeSetupWithQueue(1, "first") });
  work::JobSpec spec;
  spec.steps.emplace_back();
  fixture.Handle(SubmitCall{ { "host", "/queue/job", "" }, spec });
  fixture.Apply(work::SetSetup{ MakeSetupWithQueue(2, "second") });
  fixture.Commit(0);
  EXPECT_THAT(trace, fixture.replies.at(0).outcome == Outcome::Done);
  EXPECT_EQUAL(
    trace, fixture.state.FindJob(JobId("job"))->queue, work::QueueId("second"));
}

// Guards against a job that runs although its cancel was answered with "no such
// job": the cancel was not recorded, and the submission arrived after it.
Test(CallHandler, ACancelOfAnUnknownJobIsRecordedBeforeItIsAnswered)
{
  TestTrace trace;
  HandlerFixture fixture;
  fixture.Apply(work::SetSetup{ MakeSetupWithQueue(1, "queue") });
  const QueueTarget target{ "host", "/queue/job", "" };
  fixture.Handle(CancelCall{ target });
  EXPECT_EQUAL(trace, fixture.proposals.size(), 1U);
  EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
  trace.Section("it is answered once it is committed", [&] {
    fixture.Commit(0);
    EXPECT_THAT(trace, fixture.replies.at(0).outcome == Outcome::NoSuchJob);
  });
  trace.Section("the submission that arrives later does not run", [&] {
    work::JobSpec spec;
    spec.steps.emplace_back();
    fixture.Handle(SubmitCall{ target, spec });
    fixture.Commit(1);
    EXPECT_THAT(trace, fixture.replies.at(1).outcome == Outcome::Done);
    EXPECT_EQUAL(trace,
                 fixture.state.FindJob(JobId("job"))->state,
                 work::JobState::Cancelled);
  });
  trace.Section("a cancel that is not committed is not confirmed", [&] {
    fixture.Handle(CancelCall{ { "host", "/queue/other", "" } });
    fixture.proposalCallbacks.at(2)(ProposalResult::Undecided, {});
    EXPECT_THAT(trace, fixture.replies.at(2).outcome == Outcome::Undecided);
  });
  trace.Section("without room for it, the caller is told to retry", [&] {
    fixture.Handle(CancelCall{ { "host", "/queue/third", "" } });
    const work::Verdict full[] = { work::Verdict::Full };
    fixture.proposalCallbacks.at(3)(ProposalResult::Committed, full);
    EXPECT_THAT(trace, fixture.replies.at(3).outcome == Outcome::Unavailable);
    EXPECT_THAT(trace, fixture.replies.at(3).retryAfter > Duration(0));
  });
  trace.Section("a cancel of the whole queue is not recorded", [&] {
    fixture.Handle(CancelCall{ { "host", "/queue/", "" } });
    fixture.confirmations.back()(true);
    EXPECT_EQUAL(trace, fixture.proposals.size(), 4U);
    EXPECT_THAT(trace, fixture.replies.at(4).outcome == Outcome::NoSuchJob);
  });
}

// The same when the setup that makes the call possible is applied while the
// node confirms that it leads.
Test(CallHandler, ACancelThatIsNotRecordedIsNotConfirmed)
{
  TestTrace trace;
  HandlerFixture fixture;
  fixture.Handle(CancelCall{ { "host", "/queue/job", "" } });
  fixture.Apply(work::SetSetup{ MakeSetupWithQueue(1, "queue") });
  fixture.confirmations.at(0)(true);
  EXPECT_EQUAL(trace, fixture.proposals.size(), 0U);
  EXPECT_THAT(trace, fixture.replies.at(0).outcome == Outcome::Unavailable);
  EXPECT_THAT(trace, fixture.replies.at(0).retryAfter > Duration(0));
}
