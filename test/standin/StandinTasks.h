// Fake tasks of the stand-in upstream: they run for a fixed time under a lease,
// report a usage that lags, and can be throttled, checkpointed and stopped.
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

  // An instruction with an old epoch changes nothing.
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
    // A checkpoint is half of the work.
    task.left = Milliseconds(this->options.runMs) /
                (aInstruction.value("resume", false) ? 2 : 1);
    task.countedAt = task.startedAt;
  }

  void Stop(const nlohmann::json& aInstruction)
  {
    const auto found = this->tasks.find(aInstruction.value("job", ""));
    if (found == this->tasks.end() ||
        found->second.epoch != aInstruction.value("epoch", 0UL) ||
        !found->second.Live()) {
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
      if (task.Live()) {
        task.state = "checkpointed";
      }
    }
  }

  // Lets time pass for the tasks: throttled ones run at a tenth of the speed.
  void Advance()
  {
    const auto now = Clock::now();
    for (auto& [job, task] : this->tasks) {
      if (!task.Live()) {
        continue;
      }
      const auto passed =
        std::chrono::duration_cast<Milliseconds>(now - task.countedAt);
      task.left -= task.state == "throttled" ? passed / 10 : passed;
      task.countedAt = now;
      // Every report that is answered renews the lease.
      task.leaseEnd = now + task.lease;
      if (task.left <= Milliseconds(0)) {
        task.state = this->options.fail ? "failed" : "done";
      }
    }
  }

  // Ended tasks are reported a few more times, as an answer may be lost.
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
      const bool keep = task->second.Live() || ++task->second.told < 5;
      task = keep ? std::next(task) : this->tasks.erase(task);
    }
    return list;
  }

  bool Busy() const
  {
    for (const auto& [job, task] : this->tasks) {
      if (task.Live()) {
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
    int told = 0;

    bool Live() const
    {
      return this->state == "running" || this->state == "throttled";
    }
  };

  TaskOptions options;
  std::map<std::string, Task> tasks;
};

} // namespace hyssoppaddle::standin

#endif
