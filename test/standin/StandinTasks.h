// Fake tasks of the stand-in upstream. They run for a fixed time under a lease,
// report their usage with a lag, and can be throttled, checkpointed and
// stopped.
#ifndef hyssoppaddle_test_standin_StandinTasks_h
#define hyssoppaddle_test_standin_StandinTasks_h

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>

namespace hyssoppaddle::standin {

struct TaskOptions
{
  int runMs = 1000;
  int usageLagMs = 2000;
  bool fail = false;
};

class Tasks
{
public:
  explicit Tasks(TaskOptions aOptions)
    : options(aOptions)
  {
  }

  void Clear() { this->tasks.clear(); }

  // Ignores an instruction with an old epoch.
  void Start(const nlohmann::json& aInstruction)
  {
    const std::string job = aInstruction.value("job", "");
    const auto epoch = aInstruction.value("epoch", 0UL);
    Task& task = this->tasks[job];
    if (epoch <= task.epoch) {
      return;
    }
    task = Task{};
    task.epoch = epoch;
    task.startedAt = Clock::now();
    task.leaseEnd =
      task.startedAt + Milliseconds(aInstruction.value("lease_ms", 30000));
    task.lease = Milliseconds(aInstruction.value("lease_ms", 30000));
    // A resumed task has half of the work left.
    task.left = Milliseconds(this->options.runMs) /
                (aInstruction.value("resume", false) ? 2 : 1);
    task.countedAt = task.startedAt;
  }

  void Stop(const nlohmann::json& aInstruction)
  {
    const auto found = this->tasks.find(aInstruction.value("job", ""));
    if (found == this->tasks.end() ||
        found->second.epoch != aInstruction.value("epoch", 0UL) ||
        !found->second.IsActive()) {
      return;
    }
    const std::string mode = aInstruction.value("mode", "stop");
    found->second.state = mode == "checkpoint" ? "checkpointed"
                          : mode == "throttle" ? "throttled"
                          : mode == "resume"   ? "running"
                                               : "stopped";
  }

  void DrainAll()
  {
    for (auto& [job, task] : this->tasks) {
      if (task.IsActive()) {
        task.state = "checkpointed";
      }
    }
  }

  // Advances the tasks by the elapsed time. Throttled ones run at a tenth of
  // the speed.
  void Advance()
  {
    const auto now = Clock::now();
    for (auto& [job, task] : this->tasks) {
      if (!task.IsActive()) {
        continue;
      }
      const auto passed =
        std::chrono::duration_cast<Milliseconds>(now - task.countedAt);
      task.left -= task.state == "throttled" ? passed / 10 : passed;
      task.countedAt = now;
      // Called after every announcement. Its task reports renew the lease.
      task.leaseEnd = now + task.lease;
      if (task.left <= Milliseconds(0)) {
        task.state = this->options.fail ? "failed" : "done";
      }
    }
  }

  // Ended tasks are reported five times, because a report or its answer may be
  // lost.
  nlohmann::json Reports()
  {
    auto list = nlohmann::json::array();
    const auto lag = Milliseconds(this->options.usageLagMs);
    for (auto task = this->tasks.begin(); task != this->tasks.end();) {
      const bool measured = Clock::now() - task->second.startedAt > lag;
      list.push_back({ { "job", task->first },
                       { "epoch", task->second.epoch },
                       { "state", task->second.state },
                       { "usage",
                         { { "milli_cpus", measured ? 900 : 0 },
                           { "memory_mb", measured ? 512 : 0 },
                           { "accelerators", 0 } } },
                       { "detail", "" } });
      const bool keep =
        task->second.IsActive() || ++task->second.finalReports < 5;
      task = keep ? std::next(task) : this->tasks.erase(task);
    }
    return list;
  }

  bool HasActiveTasks() const
  {
    for (const auto& [job, task] : this->tasks) {
      if (task.IsActive()) {
        return true;
      }
    }
    return false;
  }

private:
  using Clock = std::chrono::steady_clock;
  using Milliseconds = std::chrono::milliseconds;

  struct Task
  {
    std::uint64_t epoch = 0;
    std::string state = "running";
    Clock::time_point startedAt;
    Clock::time_point countedAt;
    Clock::time_point leaseEnd;
    Milliseconds lease{ 0 };
    Milliseconds left{ 0 };
    int finalReports = 0;

    bool IsActive() const
    {
      return this->state == "running" || this->state == "throttled";
    }
  };

  TaskOptions options;
  std::map<std::string, Task> tasks;
};

} // namespace hyssoppaddle::standin

#endif
