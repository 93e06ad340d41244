// The part of a node's memory that the replicated log may take.
#include "node/LogLimits.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

// Guards against limits that fit one size of machine only.
Test(LogLimits, FollowTheMemoryOfTheProcess)
{
  TestTrace trace;
  constexpr std::size_t kMebibyte = 1024UL * 1024;
  for (const std::size_t memory : { 64U, 260U, 4096U, 65536U }) {
    trace.Section(std::to_string(memory) + " MiB", [&] {
      const agreement::RaftLimits limits = node::LogLimits(memory * kMebibyte);
      const std::size_t most =
        limits.bytesKeptAfterSnapshot + limits.snapshotAfterBytes;
      EXPECT_THAT(trace, most <= memory * kMebibyte / 8);
      EXPECT_THAT(trace, limits.snapshotAfterBytes >= kMebibyte);
      EXPECT_THAT(trace, limits.bytesKeptAfterSnapshot >= kMebibyte);
    });
  }
  trace.Section("the entries of a large machine have a limit too", [&] {
    EXPECT_EQUAL(trace,
                 node::LogLimits(65536 * kMebibyte).bytesKeptAfterSnapshot,
                 node::LogLimits(4096 * kMebibyte).bytesKeptAfterSnapshot);
  });
}
