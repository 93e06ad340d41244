// Tests of the remaining time that travels with a forwarded call.
#include "node/CallDeadline.h"
#include "node/CallRouter.h"
#include "support/TestTrace.h"

#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a leader that works for callers that have gone.
Test(CallDeadline, TravelsWithEachForwardedCall)
{
  TestTrace trace;
  const Time start{ seconds(100) };
  InstanceId leader("b");
  std::vector<wire::RemoteCall> sent;
  CallRouter::Callbacks callbacks;
  callbacks.leader = [&] { return leader; };
  callbacks.send = [&](const InstanceId&, const wire::RemoteCall& aCall) {
    sent.push_back(aCall);
  };
  callbacks.handleLocally = [&](wire::RemoteCall aCall,
                                const CallRouter::RoutedReplyCallback&) {
    sent.push_back(std::move(aCall));
  };
  callbacks.encode = [](const Reply&) { return api::HttpReply{}; };
  callbacks.logDecision = [](const dispatch::Decision&) {};
  CallRouter router(InstanceId("a"), 1, callbacks);
  wire::RemoteCall call;
  call.fields = { { "Host", "h" } };
  router.Route(call, seconds(2), start, [](const api::HttpReply&) {});
  trace.Section("a margin is left for the way back", [&] {
    EXPECT_EQUAL(trace, *TimeLeft(sent.at(0)), Duration(milliseconds(1940)));
  });
  trace.Section("the next leader gets what is left", [&] {
    leader = InstanceId("c");
    router.Tick(start + milliseconds(500));
    EXPECT_EQUAL(trace, *TimeLeft(sent.at(1)), Duration(milliseconds(1440)));
    // "Host", the time left, and the mark of a repeated call.
    EXPECT_EQUAL(trace, sent.at(1).fields.size(), 3U);
  });
  trace.Section("so does this node, if it leads", [&] {
    leader = InstanceId("a");
    router.Tick(start + milliseconds(900));
    EXPECT_EQUAL(trace, *TimeLeft(sent.at(2)), Duration(milliseconds(1040)));
  });
}

Test(CallDeadline, IsAbsentWhereItCannotBeRead)
{
  TestTrace trace;
  wire::RemoteCall call;
  EXPECT_THAT(trace, !TimeLeft(call));
  SetTimeLeft(call, milliseconds(-5));
  EXPECT_EQUAL(trace, *TimeLeft(call), Duration(0));
  for (const char* text : { "", "x", "12x", "-1", "99999999999999999999" }) {
    call.fields.at(0).value = text;
    EXPECT_THAT(trace, !TimeLeft(call));
  }
  trace.Section("a time beyond all limits is cut", [&] {
    call.fields.at(0).value = "9223372036854775807";
    EXPECT_EQUAL(trace, *TimeLeft(call), Duration(std::chrono::minutes(10)));
  });
}
