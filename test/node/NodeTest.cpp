// Tests of the node components that use no sockets: call routing, redirects to
// the leader and settings.
#include "node/CallRouter.h"
#include "node/Cluster.h"
#include "node/LeaderRedirect.h"
#include "node/NodeSettings.h"
#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{ seconds(100) };
constexpr std::uint64_t kSeed = 1;

struct RouterFixture
{
  explicit RouterFixture(std::uint64_t aSeed = kSeed)
    : seed(aSeed)
  {
  }

  std::uint64_t seed;
  InstanceId leader{ "b" };
  std::vector<std::pair<InstanceId, std::uint64_t>> sent;
  std::vector<CallRouter::RoutedReplyCallback> handledLocally;
  std::vector<api::HttpReply> replies;
  std::size_t foreignReplies = 0;
  CallRouter router{ InstanceId("a"), this->seed, this->Callbacks() };

  CallRouter::Callbacks Callbacks()
  {
    CallRouter::Callbacks callbacks;
    callbacks.leader = [this] { return this->leader; };
    callbacks.send = [this](const InstanceId& aTo,
                            const wire::RemoteCall& aCall) {
      this->sent.emplace_back(aTo, aCall.token);
    };
    callbacks.handleLocally = [this](const wire::RemoteCall&,
                                     CallRouter::RoutedReplyCallback aDone) {
      this->handledLocally.push_back(std::move(aDone));
    };
    callbacks.encode = [](const Reply& aReply) {
      api::HttpReply reply;
      reply.status = aReply.outcome == Outcome::Undecided ? 504 : 503;
      return reply;
    };
    callbacks.logDecision = [](const dispatch::Decision&) {};
    callbacks.foreignReply = [this] { ++this->foreignReplies; };
    return callbacks;
  }

  void Route(const std::string& aMethod = "POST")
  {
    wire::RemoteCall call;
    call.method = aMethod;
    this->router.Route(
      std::move(call), seconds(2), kStart, [this](api::HttpReply aReply) {
        this->replies.push_back(std::move(aReply));
      });
  }
};

} // namespace

Test(CallRouter, RefusesACallWhileNoLeaderIsKnown)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.leader = InstanceId();
  fixture.Route();
  fixture.router.Tick(kStart + milliseconds(60));
  EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
  fixture.router.Tick(kStart + milliseconds(130));
  trace.Section("the reply says that the call was not run", [&] {
    EXPECT_EQUAL(trace, fixture.replies.at(0).status, 503U);
  });
}

Test(CallRouter, SendsAnUnansweredCallToTheNextLeader)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route();
  EXPECT_EQUAL(trace, fixture.sent.size(), 1U);
  trace.Section("the leader is lost before it replies", [&] {
    fixture.leader = InstanceId();
    fixture.router.OnPeerLost(InstanceId("b"));
    fixture.router.Tick(kStart + milliseconds(500));
    EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
    fixture.leader = InstanceId("c");
    fixture.router.Tick(kStart + milliseconds(900));
    EXPECT_EQUAL(trace, fixture.sent.size(), 2U);
    trace.Section("a late reply of the first leader is dropped", [&] {
      fixture.router.OnReply(InstanceId("b"),
                             { fixture.sent[0].second, 200, false, {}, "" });
      EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
    });
    trace.Section("without a reply the call may have run", [&] {
      fixture.router.Tick(kStart + seconds(2));
      EXPECT_EQUAL(trace, fixture.replies.at(0).status, 504U);
    });
  });
}

// Guards against clients of a restarted node that get the leader's replies to
// calls of the process before it.
Test(CallRouter, ARestartedNodeDropsRepliesToItsEarlierProcess)
{
  TestTrace trace;
  RouterFixture killed(1);
  RouterFixture restarted(2);
  for (int i = 0; i < 3; ++i) {
    killed.Route();
    restarted.Route("GET");
  }
  trace.Section("the leader replies to the calls of the killed process", [&] {
    for (const auto& [leader, token] : killed.sent) {
      restarted.router.OnReply(leader, { token, 200, false, {}, "{}" });
    }
    EXPECT_EQUAL(trace, restarted.replies.size(), 0U);
    EXPECT_EQUAL(trace, restarted.foreignReplies, 3U);
  });
  trace.Section("then to those of the new one", [&] {
    for (const auto& [leader, token] : restarted.sent) {
      restarted.router.OnReply(leader, { token, 404, false, {}, "" });
    }
    EXPECT_EQUAL(trace, restarted.replies.size(), 3U);
    for (const api::HttpReply& reply : restarted.replies) {
      EXPECT_EQUAL(trace, reply.status, 404U);
    }
  });
}

// Guards against a caller that is told that its call was rejected, although the
// leader accepted the copy that was sent after the link to it was lost.
Test(CallRouter, DropsTheReplyToAnAttemptThatWasRepeatedWithTheSameLeader)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route();
  fixture.router.OnPeerLost(InstanceId("b"));
  fixture.router.Tick(kStart + milliseconds(100));
  EXPECT_EQUAL(trace, fixture.sent.size(), 2U);
  trace.Section("the first copy was rejected", [&] {
    fixture.router.OnReply(InstanceId("b"),
                           { fixture.sent.at(0).second, 429, false, {}, "" });
    EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
  });
  trace.Section("the second one is accepted", [&] {
    fixture.router.OnReply(InstanceId("b"),
                           { fixture.sent.at(1).second, 202, false, {}, "" });
    EXPECT_EQUAL(trace, fixture.replies.at(0).status, 202U);
    EXPECT_EQUAL(trace, fixture.router.CountOpenCalls(), 0U);
  });
}

// Guards against a call that waits for a paused leader, whose connection stays
// open, after another node has taken over.
Test(CallRouter, LeavesALeaderThatIsReplacedWhileItsConnectionIsOpen)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route();
  fixture.router.Tick(kStart + milliseconds(300));
  EXPECT_EQUAL(trace, fixture.sent.size(), 1U);
  fixture.leader = InstanceId("c");
  fixture.router.Tick(kStart + milliseconds(400));
  trace.Section("the call is sent to the new leader at once", [&] {
    EXPECT_EQUAL(trace, fixture.sent.size(), 2U);
    EXPECT_EQUAL(trace, fixture.sent.at(1).first, InstanceId("c"));
  });
  trace.Section("it is sent only once", [&] {
    fixture.router.Tick(kStart + milliseconds(460));
    EXPECT_EQUAL(trace, fixture.sent.size(), 2U);
  });
  trace.Section("the reply of the new leader ends it", [&] {
    fixture.router.OnReply(InstanceId("c"),
                           { fixture.sent.at(1).second, 200, false, {}, "" });
    EXPECT_EQUAL(trace, fixture.replies.at(0).status, 200U);
  });
}

// Guards against a call that the paused leader may have executed and that is
// reported as not run because the new leader refused it.
Test(CallRouter, ACallSentToAReplacedLeaderMayHaveRun)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route();
  fixture.leader = InstanceId("c");
  fixture.router.Tick(kStart + milliseconds(400));
  fixture.leader = InstanceId();
  fixture.router.OnReply(InstanceId("c"),
                         { fixture.sent.at(1).second, 0, false, {}, "" });
  fixture.router.Tick(kStart + seconds(2));
  EXPECT_EQUAL(trace, fixture.replies.at(0).status, 504U);
}

// Guards against a call that a replaced leader sends to its successor twice.
Test(CallRouter, ANodeThatIsReplacedSendsItsOpenCallsToItsSuccessor)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.leader = InstanceId("a");
  fixture.Route();
  EXPECT_EQUAL(trace, fixture.handledLocally.size(), 1U);
  fixture.leader = InstanceId("c");
  fixture.router.Tick(kStart + milliseconds(50));
  EXPECT_EQUAL(trace, fixture.sent.size(), 1U);
  trace.Section("the end of its own proposal does not send it again", [&] {
    fixture.handledLocally.at(0)({ false, true, {} });
    fixture.router.Tick(kStart + milliseconds(100));
    EXPECT_EQUAL(trace, fixture.sent.size(), 1U);
  });
}

// Guards against reads that hold their caller until its deadline, and then
// report an unknown outcome, when the leader is lost before it replies.
Test(CallRouter, RefusesAReadWhoseLeaderIsLost)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route("GET");
  fixture.router.Tick(kStart + milliseconds(500));
  EXPECT_EQUAL(trace, fixture.replies.size(), 0U);
  fixture.leader = InstanceId();
  fixture.router.OnPeerLost(InstanceId("b"));
  fixture.router.Tick(kStart + milliseconds(510));
  fixture.router.Tick(kStart + milliseconds(640));
  trace.Section("a read has no effect, so it has not run", [&] {
    EXPECT_EQUAL(trace, fixture.replies.at(0).status, 503U);
  });
  trace.Section("a read that a silent leader holds has not run either", [&] {
    fixture.leader = InstanceId("b");
    fixture.Route("GET");
    fixture.router.Tick(kStart + seconds(2));
    EXPECT_EQUAL(trace, fixture.replies.at(1).status, 503U);
  });
}

// Guards against a call that is held until its deadline by a node that believes
// in a leader that has stepped down and refuses the call again and again.
Test(CallRouter, RefusesACallThatTheBelievedLeaderKeepsRefusing)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route();
  const auto refuse = [&] {
    fixture.router.OnReply(InstanceId("b"),
                           { fixture.sent.back().second, 0, false, {}, "" });
  };
  refuse();
  trace.Section("it is sent again, because a new leader may not be ready", [&] {
    fixture.router.Tick(kStart + milliseconds(60));
    EXPECT_EQUAL(trace, fixture.sent.size(), 2U);
  });
  refuse();
  fixture.router.Tick(kStart + milliseconds(130));
  refuse();
  fixture.router.Tick(kStart + milliseconds(400));
  EXPECT_EQUAL(trace, fixture.replies.at(0).status, 503U);
  EXPECT_EQUAL(trace, fixture.router.CountOpenCalls(), 0U);
}

Test(CallRouter, ACallRefusedByANonLeaderHasNotRun)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route();
  fixture.leader = InstanceId();
  fixture.router.OnReply(InstanceId("b"),
                         { fixture.sent[0].second, 0, false, {}, "" });
  fixture.router.Tick(kStart + milliseconds(200));
  EXPECT_EQUAL(trace, fixture.replies.at(0).status, 503U);
}

Test(CallRouter, AnswersAllOpenCallsOfANodeThatEnds)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.Route();
  fixture.leader = InstanceId();
  fixture.Route();
  fixture.router.GiveUpAll();
  EXPECT_EQUAL(trace, fixture.replies.size(), 2U);
  trace.Section("a forwarded call may have run",
                [&] { EXPECT_EQUAL(trace, fixture.replies[0].status, 504U); });
  trace.Section("a call that was not sent has not",
                [&] { EXPECT_EQUAL(trace, fixture.replies[1].status, 503U); });
  EXPECT_EQUAL(trace, fixture.router.CountOpenCalls(), 0U);
}

// Guards against a connection that delivers a call after the open calls of a
// stopping node were answered, and then ends without a reply.
Test(CallRouter, RefusesCallsThatArriveAfterTheOpenOnesWereAnswered)
{
  TestTrace trace;
  RouterFixture fixture;
  fixture.router.GiveUpAll();
  fixture.Route();
  EXPECT_EQUAL(trace, fixture.replies.size(), 1U);
  EXPECT_EQUAL(trace, fixture.replies.at(0).status, 503U);
  EXPECT_THAT(trace, fixture.sent.empty());
}

// Guards against a large setup that is forwarded over two slow links and never
// reaches its reader in time.
Test(LeaderRedirect, NamesTheSameResourceOnTheLeader)
{
  TestTrace trace;
  const InstanceId self("10.0.0.1:7000");
  const auto redirect = [&](const InstanceId& aLeader) {
    return RedirectToLeader(self, aLeader, "10.0.0.1:8345", "/setup?x=1");
  };
  const auto reply = redirect(InstanceId("10.0.0.2:7000"));
  EXPECT_THAT(trace, reply->outcome == Outcome::Redirected);
  EXPECT_EQUAL(trace, reply->location, "http://10.0.0.2:8345/setup?x=1");
  trace.Section("the leader itself handles the call",
                [&] { EXPECT_THAT(trace, !redirect(self)); });
  trace.Section("without a leader the call waits for one",
                [&] { EXPECT_THAT(trace, !redirect(InstanceId())); });
}

Test(NodeSettings, ReportsAllFindings)
{
  TestTrace trace;
  const auto good = ParseNodeSettings(R"({
    // a comment
    "name": "n", "data_centre": "d", "callers_address": "127.0.0.1:1",
    "control_address": "127.0.0.1:2", "ready_address": "127.0.0.1:3",
    "peers_address": "127.0.0.1:4", "seeds": ["127.0.0.1:4"],
    "data_centres": ["d", "e", "f"],
    "tolerated_losses": { "instances": 2, "data_centres": 1 },
    "times": { "grace_s": 6, "maintenance_s": 1.5, "max_lease_ms": 9000 } })");
  EXPECT_THAT(trace, good.has_value());
  EXPECT_THAT(trace, good->tolerance == agreement::FaultTolerance({ 2, 1, 3 }));
  EXPECT_EQUAL(trace, good->dispatch.maxLease, Duration(seconds(9)));
  EXPECT_EQUAL(
    trace, good->dispatch.maintenanceTime, Duration(milliseconds(1500)));
  const auto bad = ParseNodeSettings(
    R"({"name": 5, "control_address": "nowhere", "seeds": [1], "surplus": 0})");
  EXPECT_THAT(trace, !bad.has_value());
  EXPECT_THAT(trace, bad.error().size() >= 7);
}
