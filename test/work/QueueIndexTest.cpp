// Lookup of the queues of a setup.
#include "work/QueueIndex.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::work;

Test(QueueIndex, FollowsTheVersionOfTheSetup)
{
  TestTrace trace;
  QueueIndex index;
  Setup setup;
  setup.version = 1;
  setup.queues.resize(2);
  setup.queues[1].name = QueueId("q");
  setup.queues[1].host = "host";
  setup.queues[1].pathPrefix = "/a/";
  EXPECT_THAT(trace, index.Find(setup, QueueId("q")) == &setup.queues[1]);
  EXPECT_THAT(trace,
              index.Find(setup, QueueAddress{ "host", "/a/" }) ==
                &setup.queues[1]);
  EXPECT_THAT(trace,
              index.Find(setup, QueueAddress{ "host", "/a/b/" }) == nullptr);
  trace.Section("a later version without the queue", [&] {
    Setup next;
    next.version = 2;
    EXPECT_THAT(trace, index.Find(next, QueueId("q")) == nullptr);
    EXPECT_THAT(trace,
                index.Find(next, QueueAddress{ "host", "/a/" }) == nullptr);
  });
}
