// Keeps the times of the first runs of each step in order.
#include "dispatch/StepTimes.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

void
StepTimes::Add(const work::TaskRef& aStep, Duration aTime)
{
  const auto found = this->steps.find(aStep);
  const bool isFull =
    found == this->steps.end() && this->steps.size() >= kMaxSteps;
  if (aTime.count() <= 0 || isFull) {
    return;
  }
  Measured& measured =
    found == this->steps.end() ? this->steps[aStep] : found->second;
  if (measured.count >= kKeptRuns) {
    return;
  }
  const auto end =
    measured.times.begin() + static_cast<std::ptrdiff_t>(measured.count);
  *end = aTime;
  ++measured.count;
  std::sort(measured.times.begin(), end + 1);
}

std::optional<Duration>
StepTimes::TimeOf(const work::TaskRef& aStep) const
{
  const auto found = this->steps.find(aStep);
  if (found == this->steps.end() || found->second.count < kMinRuns) {
    return std::nullopt;
  }
  return found->second.times[(found->second.count - 1) / 2];
}

void
StepTimes::ForgetJob(const JobId& aJob)
{
  const auto first = this->steps.lower_bound({ aJob, 0, 0, 0 });
  auto last = first;
  while (last != this->steps.end() && last->first.job == aJob) {
    ++last;
  }
  this->steps.erase(first, last);
}

} // namespace hyssoppaddle::dispatch
