// Tests the division of the memory for the data of connections.
#include "base/MemoryBudget.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using test::TestTrace;

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;

} // namespace

// Guards against callers that take the memory which reports of upstreams and
// configurations need, and against a process that gives out what it lacks.
Test(MemoryBudget, KeepsAPartForEachOwner)
{
  TestTrace trace;
  MemoryBudget budget(160 * kMebibyte);
  const std::size_t callers = budget.Part(MemoryOwner::Callers);
  const std::size_t control = budget.Part(MemoryOwner::Control);
  trace.Section("three copies of all parts fit into the process", [&] {
    EXPECT_THAT(trace,
                3 * (callers + control) + budget.PartOfCalls() <
                  160 * kMebibyte * 2 / 3);
  });
  trace.Section("each part and each share fits the longest request", [&] {
    const MemoryBudget small(64 * kMebibyte);
    for (const MemoryOwner owner :
         { MemoryOwner::Callers, MemoryOwner::Control }) {
      EXPECT_THAT(trace, small.ShareOfClient(owner) > 4 * kMebibyte);
    }
  });
  trace.Section("one client gets its share", [&] {
    const std::size_t share = budget.ShareOfClient(MemoryOwner::Callers);
    EXPECT_THAT(trace, budget.Acquire(MemoryOwner::Callers, "a", share));
    EXPECT_THAT(trace, !budget.Acquire(MemoryOwner::Callers, "a", 1));
    trace.Section("another one gets the rest", [&] {
      EXPECT_THAT(trace,
                  budget.Acquire(MemoryOwner::Callers, "b", callers - share));
      EXPECT_THAT(trace, !budget.Acquire(MemoryOwner::Callers, "c", 1));
      EXPECT_EQUAL(trace, budget.InUse(MemoryOwner::Callers), callers);
      EXPECT_EQUAL(trace, budget.Refused(MemoryOwner::Callers), 2U);
    });
    trace.Section("the other owner has its part", [&] {
      EXPECT_THAT(trace, budget.Acquire(MemoryOwner::Control, "a", 1));
      EXPECT_EQUAL(trace, budget.Refused(MemoryOwner::Control), 0U);
      budget.Release(MemoryOwner::Control, "a", 1);
    });
    budget.Release(MemoryOwner::Callers, "a", share);
    budget.Release(MemoryOwner::Callers, "b", callers - share);
    EXPECT_EQUAL(trace, budget.InUse(MemoryOwner::Callers), 0U);
  });
}

// Guards against freed memory that is kept for good, and against a node that
// searches for free memory all the time.
Test(MemoryBudget, SignalsReliefOnceAfterALoad)
{
  TestTrace trace;
  MemoryBudget budget(160 * kMebibyte);
  const std::size_t much = budget.Part(MemoryOwner::Control) / 3;
  EXPECT_THAT(trace, budget.Acquire(MemoryOwner::Control, "a", 4096));
  EXPECT_THAT(trace, !budget.TakeReliefSignal());
  EXPECT_THAT(trace, budget.Acquire(MemoryOwner::Control, "b", much));
  trace.Section("not while the memory is in use",
                [&] { EXPECT_THAT(trace, !budget.TakeReliefSignal()); });
  budget.Release(MemoryOwner::Control, "b", much);
  EXPECT_THAT(trace, budget.TakeReliefSignal());
  EXPECT_THAT(trace, !budget.TakeReliefSignal());
}
