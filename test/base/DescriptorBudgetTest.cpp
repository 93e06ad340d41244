// Tests the division of the descriptors of a process.
#include "base/DescriptorBudget.h"
#include "support/TestTrace.h"

#include <array>

using namespace hyssoppaddle;
using test::TestTrace;

namespace {

// Acquires up to aWanted descriptors and returns how many were given.
std::size_t
Take(DescriptorBudget& aBudget, DescriptorOwner aOwner, std::size_t aWanted)
{
  std::size_t given = 0;
  while (given < aWanted && aBudget.Acquire(aOwner)) {
    ++given;
  }
  return given;
}

} // namespace

// Guards against a kind of connection that takes the descriptors of the others,
// or those that files and links to other nodes need.
Test(DescriptorBudget, KeepsAPartForEachOwner)
{
  TestTrace trace;
  trace.Section("540 upstreams and 3,000 callers meet a limit of 4,100", [&] {
    constexpr std::size_t kLimit = 4100;
    constexpr std::size_t kNodes = 100;
    constexpr std::size_t kFiles = 200;
    DescriptorBudget budget(kLimit);
    EXPECT_THAT(trace, budget.Total() + 2 * kNodes + kFiles < kLimit);
    const std::size_t callers = Take(budget, DescriptorOwner::Callers, 3000);
    EXPECT_THAT(trace, callers < 3000);
    trace.Section("each upstream still gets its lease and reports", [&] {
      EXPECT_EQUAL(trace, Take(budget, DescriptorOwner::Upstreams, 540), 540U);
      EXPECT_EQUAL(trace, Take(budget, DescriptorOwner::Control, 540), 540U);
    });
    trace.Section("everybody asks for all", [&] {
      Take(budget, DescriptorOwner::Upstreams, kLimit);
      Take(budget, DescriptorOwner::Control, kLimit);
      const std::size_t used = budget.InUse(DescriptorOwner::Callers) +
                               budget.InUse(DescriptorOwner::Upstreams) +
                               budget.InUse(DescriptorOwner::Control);
      EXPECT_EQUAL(trace, used, budget.Total());
    });
    trace.Section("what is released can be had by another owner", [&] {
      budget.Release(DescriptorOwner::Callers);
      EXPECT_THAT(trace, budget.Acquire(DescriptorOwner::Upstreams));
      EXPECT_THAT(trace, !budget.Acquire(DescriptorOwner::Upstreams));
    });
  });
  trace.Section("whoever comes first leaves the others their part", [&] {
    for (const std::size_t limit : { 4U, 16U, 256U, 1024U, 4100U, 1000000U }) {
      for (std::size_t first = 0; first < DescriptorBudget::kOwners; ++first) {
        DescriptorBudget budget(limit);
        Take(budget, static_cast<DescriptorOwner>(first), limit);
        for (std::size_t i = 0; i < DescriptorBudget::kOwners; ++i) {
          const auto owner = static_cast<DescriptorOwner>(i);
          const std::size_t part = budget.Guaranteed(owner);
          EXPECT_THAT(trace, i == first || Take(budget, owner, part) == part);
        }
      }
    }
  });
  trace.Section("a process starts with 256 descriptors", [&] {
    DescriptorBudget budget(256);
    EXPECT_EQUAL(trace, budget.Total(), 192U);
    EXPECT_EQUAL(trace, Take(budget, DescriptorOwner::Upstreams, 540), 128U);
    EXPECT_EQUAL(trace, Take(budget, DescriptorOwner::Callers, 3000), 32U);
  });
  trace.Section("refusals are counted by owner", [&] {
    DescriptorBudget budget(16);
    Take(budget, DescriptorOwner::Callers, 16);
    EXPECT_EQUAL(trace, budget.Refused(DescriptorOwner::Callers), 1U);
    EXPECT_EQUAL(trace, budget.Refused(DescriptorOwner::Control), 0U);
  });
}
