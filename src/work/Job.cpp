// Lookup of tasks, open steps and due times in a job.
#include "work/Job.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::work {

const Task*
Job::Find(const TaskRef& aTask) const
{
  if (aTask.occurrence >= this->tasks.size()) {
    return nullptr;
  }
  const auto& steps = this->tasks[aTask.occurrence];
  if (aTask.step >= steps.size() || aTask.index >= steps[aTask.step].size()) {
    return nullptr;
  }
  return &steps[aTask.step][aTask.index];
}

Task*
Job::Find(const TaskRef& aTask)
{
  return const_cast<Task*>(std::as_const(*this).Find(aTask));
}

bool
Job::IsStepOpen(std::uint32_t aOccurrence, std::uint32_t aStep) const
{
  const auto& steps = this->tasks[aOccurrence];
  const auto& before = this->spec.steps[aStep].after;
  return std::all_of(before.begin(), before.end(), [&](std::uint32_t aNumber) {
    const auto& earlier = steps[aNumber];
    return std::all_of(earlier.begin(), earlier.end(), [](const Task& aTask) {
      return aTask.done;
    });
  });
}

WallTime
Job::DueAt(std::uint32_t aOccurrence) const
{
  if (!this->spec.firstDue) {
    return this->acceptedAt;
  }
  return *this->spec.firstDue + this->spec.interval * aOccurrence;
}

} // namespace hyssoppaddle::work
