// Tests of calls that arrive while no leader accepts them.
//
// Load pattern: the leader is lost under full load, or all replicas are down
// for seconds, while calls keep arriving at the entry nodes.
#include "node/LeaderAbsence.h"
#include "node/CallRouter.h"
#include "support/TestTrace.h"

#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kLost{ seconds(100) };
constexpr Duration kCallerLimit = seconds(3);
constexpr std::size_t kReplicas = 8;

// An entry node that has lost the leader at kLost.
struct EntryNode
{
  Time now = kLost;
  InstanceId leader;
  std::size_t reachable = kReplicas - 1;
  Time electableAt = kLost;
  std::vector<wire::RemoteCall> sent;
  std::vector<Reply> refusals;
  CallRouter router{ InstanceId("entry"), 1, this->Callbacks() };

  CallRouter::Callbacks Callbacks()
  {
    CallRouter::Callbacks callbacks;
    callbacks.leader = [this] { return this->leader; };
    callbacks.absence = [this](Time aNow) {
      return LeaderAbsence{
        aNow - kLost, aNow - this->electableAt, kReplicas, this->reachable
      };
    };
    callbacks.send = [this](const InstanceId&, const wire::RemoteCall& aCall) {
      this->sent.push_back(aCall);
    };
    callbacks.handleLocally = [](const wire::RemoteCall&,
                                 const CallRouter::RoutedReplyCallback&) {};
    callbacks.encode = [this](const Reply& aReply) {
      this->refusals.push_back(aReply);
      return api::HttpReply{};
    };
    callbacks.logDecision = [](const dispatch::Decision&) {};
    return callbacks;
  }

  void Route(Duration aLimit = kCallerLimit, const char* aMethod = "POST")
  {
    wire::RemoteCall call;
    call.method = aMethod;
    this->router.Route(
      std::move(call), aLimit, this->now, [](const api::HttpReply&) {});
  }

  void RunUntil(Time aUntil)
  {
    while (this->now < aUntil) {
      this->now += milliseconds(10);
      this->router.Tick(this->now);
    }
  }
};

} // namespace

// Guards against calls that are refused during an election although their
// callers can wait for its end.
Test(LeaderAbsence, CallsWaitForAnElectionAndAreThenSent)
{
  TestTrace trace;
  EntryNode node;
  for (int i = 0; i < 5; ++i) {
    node.Route();
    node.Route(kCallerLimit, "GET");
    node.RunUntil(node.now + milliseconds(100));
  }
  EXPECT_EQUAL(trace, node.refusals.size(), 0U);
  node.leader = InstanceId("next");
  node.RunUntil(kLost + milliseconds(700));
  EXPECT_EQUAL(trace, node.sent.size(), 10U);
  EXPECT_EQUAL(trace, node.router.CountHeld(), 10U);
  EXPECT_EQUAL(trace, node.refusals.size(), 0U);
}

// Guards against callers that wait in vain until their time limits.
Test(LeaderAbsence, ACallIsRefusedAsNotRunWhenTheElectionTakesTooLong)
{
  TestTrace trace;
  EntryNode node;
  node.Route();
  node.RunUntil(kLost + seconds(2));
  EXPECT_EQUAL(trace, node.refusals.size(), 1U);
  EXPECT_THAT(trace, node.refusals.at(0).outcome == Outcome::Unavailable);
  EXPECT_THAT(trace, node.refusals.at(0).retryAfter > Duration(0));
  trace.Section("later calls wait only for a moment", [&] {
    node.RunUntil(kLost + seconds(4));
    node.Route();
    node.RunUntil(node.now + milliseconds(130));
    EXPECT_EQUAL(trace, node.refusals.size(), 2U);
  });
}

// Guards against a call that the leader receives when its caller has gone.
Test(LeaderAbsence, NoCallIsHeldBeyondWhatItsCallerCanUse)
{
  TestTrace trace;
  EntryNode node;
  node.Route(milliseconds(950));
  node.RunUntil(kLost + milliseconds(950));
  EXPECT_EQUAL(trace, node.refusals.size(), 1U);
  EXPECT_THAT(trace, node.refusals.at(0).outcome == Outcome::Unavailable);
}

// Guards against callers that are held while nobody can be elected, and against
// callers that use up their attempts during a long outage.
Test(LeaderAbsence, WithoutAMajorityCallsAreRefusedAtOnceAndReturnLater)
{
  TestTrace trace;
  EntryNode node;
  node.reachable = 0;
  node.RunUntil(kLost + milliseconds(300));
  node.Route();
  EXPECT_EQUAL(trace, node.refusals.size(), 1U);
  EXPECT_THAT(trace, node.refusals.at(0).outcome == Outcome::Unavailable);
  trace.Section("the longer the outage has lasted, the later", [&] {
    const auto shortest = [&](Time aAt) {
      node.RunUntil(aAt);
      node.refusals.clear();
      for (int i = 0; i < 10; ++i) {
        node.Route(seconds(60));
      }
      Duration least = node.refusals.at(0).retryAfter;
      Duration most = least;
      for (const Reply& refusal : node.refusals) {
        least = std::min(least, refusal.retryAfter);
        most = std::max(most, refusal.retryAfter);
      }
      EXPECT_THAT(trace, most > least); // not all at the same time
      return least;
    };
    const Duration early = shortest(kLost + milliseconds(500));
    const Duration late = shortest(kLost + seconds(2));
    EXPECT_THAT(trace, early < late);
  });
  trace.Section("but within its time limit", [&] {
    node.refusals.clear();
    node.Route();
    EXPECT_THAT(trace, node.refusals.at(0).retryAfter == seconds(1));
  });
}

// Guards against callers that are refused while the replicas, which are back
// after a long outage, elect a leader.
Test(LeaderAbsence, CallsWaitWhenAMajorityIsBack)
{
  TestTrace trace;
  EntryNode node;
  node.reachable = 0;
  node.RunUntil(kLost + seconds(6));
  node.reachable = kReplicas;
  node.electableAt = node.now;
  node.Route();
  node.RunUntil(node.now + milliseconds(600));
  EXPECT_EQUAL(trace, node.refusals.size(), 0U);
  node.leader = InstanceId("next");
  node.RunUntil(node.now + milliseconds(50));
  EXPECT_EQUAL(trace, node.sent.size(), 1U);
}

// Guards against a submission that is called not run although the lost leader
// may have committed it.
Test(LeaderAbsence, ACallThatTheLostLeaderReceivedIsNotCalledNotRun)
{
  TestTrace trace;
  EntryNode node;
  node.leader = InstanceId("first");
  node.Route();
  EXPECT_EQUAL(trace, node.sent.size(), 1U);
  node.leader = InstanceId();
  node.router.OnPeerLost(InstanceId("first"));
  node.RunUntil(kLost + milliseconds(2100));
  EXPECT_EQUAL(trace, node.refusals.size(), 0U);
  trace.Section("the next leader gets it", [&] {
    node.leader = InstanceId("next");
    node.RunUntil(kLost + milliseconds(2200));
    EXPECT_EQUAL(trace, node.sent.size(), 2U);
  });
  trace.Section("without a reply the outcome is unknown", [&] {
    node.RunUntil(kLost + kCallerLimit);
    EXPECT_THAT(trace, node.refusals.at(0).outcome == Outcome::Undecided);
  });
}

// Guards against a caller that is held until its time limit, and cannot ask
// again, while nobody can tell it whether its call has run.
Test(LeaderAbsence, WithoutAMajorityAnUnknownOutcomeIsReportedAtOnce)
{
  TestTrace trace;
  EntryNode node;
  node.leader = InstanceId("first");
  node.Route();
  node.leader = InstanceId();
  node.reachable = 0;
  node.router.OnPeerLost(InstanceId("first"));
  node.RunUntil(kLost + milliseconds(200));
  EXPECT_EQUAL(trace, node.refusals.size(), 1U);
  EXPECT_THAT(trace, node.refusals.at(0).outcome == Outcome::Undecided);
}
