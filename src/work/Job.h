// Jobs that consist of steps: the specification that a caller submits, and the
// runs of each task. A task is one of the `count` copies of a step in one
// occurrence of the job.
#ifndef hyssoppaddle_work_Job_h
#define hyssoppaddle_work_Job_h

#include "work/Setup.h"

#include <compare>
#include <optional>
#include <vector>

namespace hyssoppaddle::work {

struct Step
{
  std::uint32_t count = 1;
  state::Resources size; // of each task
  Duration estimate{ 0 };
  // Indexes of earlier steps that must be done first.
  std::vector<std::uint32_t> after;
  std::string dataRack;      // empty: none
  std::string requiredLabel; // empty: none
  std::string image;
  Duration tailLatencyTarget{ 0 };  // of a serving task
  std::uint32_t maxPerUpstream = 0; // 0: no limit
  // Tasks down because of planned stops; 0: no limit.
  std::uint32_t maxUnavailable = 0;
  bool checkpoints = false;
  bool gang = false;      // gang scheduling: all tasks run together or none
  bool rackLocal = false; // slower when its tasks run in several racks
  bool speculative = false;
  bool longRunning = false; // runs until the job is cancelled
  // Best effort: uses only the CPU that other tasks leave idle.
  bool fills = false;
  bool operator==(const Step&) const = default;
};

struct JobSpec
{
  std::string payload; // passed on to upstreams
  std::vector<Step> steps;
  std::uint32_t occurrences = 1;
  std::optional<WallTime> firstDue; // set for a job that runs on a schedule
  Duration interval{ 0 };
  bool operator==(const JobSpec&) const = default;
};

struct TaskRef
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
};

// A run that may be executing. It is removed from the list only once it can no
// longer execute, so two runs of a task never overlap unless the step allows
// it.
struct Run
{
  std::uint32_t number = 0; // increases with each start of the task
  InstanceId upstream;
  std::uint64_t boot = 0; // of the upstream, at the time of the decision
  WallTime startedAt{};   // wall time of the decision to start
  bool operator==(const Run&) const = default;
};

struct Task
{
  std::uint32_t lastRun = 0;
  std::uint32_t failures = 0;
  bool done = false;
  std::string checkpoint; // empty: none
  std::vector<Run> runs;  // at most one unless the step is speculative
  bool operator==(const Task&) const = default;
};

enum class JobState : std::uint8_t
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

struct Job
{
  // Name and address of its queue in the last setup that had the queue. A later
  // setup can change either: a job belongs to the queue at its address, or else
  // to the one with its name.
  QueueId queue;
  QueueAddress queueAddress;
  WorkspaceId workspace; // empty: submitted without an API key
  JobSpec spec;
  WallTime acceptedAt{};
  JobState state = JobState::Queued;
  WallTime endedAt{}; // set in the three final states
  // Indexed by [occurrence][step][index]; cleared once the job has ended and
  // none of its runs can still execute.
  std::vector<std::vector<std::vector<Task>>> tasks;
  bool operator==(const Job&) const = default;

  [[nodiscard]] bool IsFinal() const
  {
    return this->state >= JobState::Completed;
  }
  [[nodiscard]] const Task* Find(const TaskRef& aTask) const;
  [[nodiscard]] Task* Find(const TaskRef& aTask);
  // True when all tasks of the steps that aStep depends on are done.
  [[nodiscard]] bool IsStepOpen(std::uint32_t aOccurrence,
                                std::uint32_t aStep) const;
  // Earliest start of the occurrence.
  [[nodiscard]] WallTime DueAt(std::uint32_t aOccurrence) const;
};

} // namespace hyssoppaddle::work

#endif
