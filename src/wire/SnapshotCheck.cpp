// A snapshot is written by this program, but its bytes may be damaged or come
// from a faulty version. Records that pass these checks cannot corrupt the
// indexes of the tables.
#include "wire/SnapshotCheck.h"

#include "state/BundleCheck.h"

#include <cstdint>
#include <limits>
#include <set>

namespace hyssoppaddle::wire {

namespace {

constexpr std::uint64_t kMaxCountSum =
  std::numeric_limits<std::uint32_t>::max();

std::string
ProblemOfJoins(const SnapshotRecords& aRecords)
{
  for (const auto& [member, join] : aRecords.joins) {
    if (aRecords.members.contains(member)) {
      return "member " + member.value + " has a pending join";
    }
  }
  return {};
}

std::string
ProblemOfBundles(const SnapshotRecords& aRecords)
{
  bool pendingSeen = false;
  for (const auto& [version, record] : aRecords.bundles) {
    const bool pending = !record.acceptedAt.has_value();
    if (record.bundle->version != version || (pendingSeen && !pending) ||
        !state::ProblemOf(*record.bundle).empty()) {
      return "bundle " + std::to_string(version) + " is contradictory";
    }
    pendingSeen = pending;
  }
  return {};
}

bool
IsConsistent(const state::JobRecord& aJob)
{
  const bool isPlaced = aJob.state == state::JobState::Placed;
  const bool isWaiting = aJob.state == state::JobState::Waiting;
  return isPlaced == aJob.task.has_value() &&
         (isPlaced || isWaiting) != aJob.endedAt.has_value() &&
         (!isPlaced || aJob.task->epoch == aJob.epoch);
}

std::string
ProblemOfJobs(const SnapshotRecords& aRecords)
{
  std::uint64_t slots = 0;
  for (const auto& [job, record] : aRecords.jobs) {
    if (!IsConsistent(record)) {
      return "job " + job.value + " is contradictory";
    }
    slots += record.task.has_value() ? record.slots : 0;
  }
  return slots > kMaxCountSum ? "the slots of tasks overflow" : std::string();
}

std::string
ProblemOfUpstreams(const SnapshotRecords& aRecords)
{
  for (const auto& [instance, record] : aRecords.upstreams) {
    if (record.announcement.instance != instance) {
      return "upstream " + instance.value + " has another instance's record";
    }
  }
  return {};
}

std::string
ProblemOfEntries(const SnapshotRecords& aRecords)
{
  std::uint64_t sum = 0;
  for (const auto& [entry, record] : aRecords.entries) {
    for (const auto& [team, count] : record.permits) {
      sum += count;
    }
    for (const auto& [team, count] : record.withheld) {
      sum += count;
    }
  }
  return sum > kMaxCountSum ? "the permits overflow" : std::string();
}

std::string
ProblemOfOutcomes(const SnapshotRecords& aRecords)
{
  std::set<state::RequestKey> keys;
  for (const state::CachedOutcome& outcome : aRecords.outcomes) {
    if (!keys.insert(outcome.key).second) {
      return "request ID " + outcome.key.requestId + " has two outcomes";
    }
  }
  return {};
}

} // namespace

std::string
ProblemOf(const SnapshotRecords& aRecords)
{
  for (auto* check : { ProblemOfJoins,
                       ProblemOfBundles,
                       ProblemOfJobs,
                       ProblemOfUpstreams,
                       ProblemOfEntries,
                       ProblemOfOutcomes }) {
    if (std::string problem = check(aRecords); !problem.empty()) {
      return problem;
    }
  }
  return {};
}

} // namespace hyssoppaddle::wire
