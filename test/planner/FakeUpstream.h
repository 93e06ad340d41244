// What a fake upstream holds, and what its jobs really do.
#ifndef hyssoppaddle_test_planner_FakeUpstream_h
#define hyssoppaddle_test_planner_FakeUpstream_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Resources.h"

#include <cstdint>
#include <map>

namespace hyssoppaddle::test {

inline constexpr Duration kMillisecond{ 1000 };
inline constexpr Duration kSecond{ 1000000 };
inline constexpr Duration kMinute{ 60000000 };

// What a job really does, as opposed to what it declares.
struct JobBehaviour
{
  Duration runTime{ 1000000 };
  state::Resources usage;
  bool fails = false;
};

struct FakeTask
{
  std::uint64_t epoch = 0;
  Time startedAt{};
  Time endsAt{};
  Time leaseEnd{};
  bool throttled = false;
};

struct FakeUpstream
{
  bool up = false;
  bool departing = false;
  bool cutOff = false; // runs, but nothing reaches or leaves it
  bool failsAll = false;
  bool ignoresCheckpoints = false;
  std::uint64_t boots = 0;
  std::uint64_t sequence = 0;
  std::map<JobId, FakeTask> tasks;
  std::map<JobId, std::uint64_t> epochs; // latest seen
  std::uint64_t starts = 0;
};

} // namespace hyssoppaddle::test

#endif
