// Calls that a lost leader may have executed before the next one gets them.
#include "node/RepeatedCall.h"
#include "node/CallRouter.h"
#include "support/TestTrace.h"

#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// An entry node that forwards calls to `leader`.
struct EntryNode
{
  InstanceId leader;
  std::vector<wire::RemoteCall> sent;
  CallRouter router{ InstanceId("entry"), 1, this->Callbacks() };

  CallRouter::Callbacks Callbacks()
  {
    CallRouter::Callbacks callbacks;
    callbacks.leader = [this] { return this->leader; };
    callbacks.absence = [](Time) { return LeaderAbsence{}; };
    callbacks.send = [this](const InstanceId&, const wire::RemoteCall& aCall) {
      this->sent.push_back(aCall);
    };
    callbacks.encode = [](const Reply&) { return api::HttpReply{}; };
    callbacks.logDecision = [](const dispatch::Decision&) {};
    return callbacks;
  }

  void Route(const char* aMethod, Time aNow)
  {
    wire::RemoteCall call;
    call.method = aMethod;
    this->router.Route(
      std::move(call), seconds(3), aNow, [](const api::HttpReply&) {});
  }
};

} // namespace

// Guards against a caller that is told that a job was refused, after an earlier
// leader has committed it.
Test(RepeatedCall, IsMarkedForTheNextLeaderIfTheFirstMayHaveExecutedIt)
{
  TestTrace trace;
  const Time start{ seconds(100) };
  EntryNode node;
  node.leader = InstanceId("first");
  node.Route("POST", start);
  node.Route("GET", start);
  node.leader = InstanceId("second");
  node.router.Tick(start + milliseconds(500));
  EXPECT_EQUAL(trace, node.sent.size(), 4U);
  trace.Section("the first attempt is not marked", [&] {
    EXPECT_THAT(trace, !IsRepeated(node.sent.at(0)));
    EXPECT_THAT(trace, !IsRepeated(node.sent.at(1)));
  });
  trace.Section(
    "of the second attempts only the one that changes a state", [&] {
      for (std::size_t i = 2; i < node.sent.size(); ++i) {
        EXPECT_EQUAL(
          trace, IsRepeated(node.sent.at(i)), node.sent.at(i).method == "POST");
      }
    });
}

Test(RepeatedCall, IsNotRefusedForAChangeOfTheSetup)
{
  TestTrace trace;
  trace.Section("a withdrawn key or queue leaves the outcome unknown", [&] {
    EXPECT_THAT(trace,
                OutcomeOfRepeated(Outcome::UnknownKey) == Outcome::Undecided);
    EXPECT_THAT(trace,
                OutcomeOfRepeated(Outcome::NoSuchQueue) == Outcome::Undecided);
  });
  trace.Section("answers that follow from the record of the job stay", [&] {
    for (const Outcome outcome : { Outcome::Done,
                                   Outcome::NoSuchJob,
                                   Outcome::Overloaded,
                                   Outcome::NotLeading }) {
      EXPECT_THAT(trace, OutcomeOfRepeated(outcome) == outcome);
    }
  });
}
