// Takes the median over steps, because the runs of one step are alike.
#include "dispatch/UpstreamSpeed.h"

#include <algorithm>
#include <vector>

namespace hyssoppaddle::dispatch {

void
UpstreamSpeed::Observe(const InstanceId& aUpstream,
                       const work::TaskRef& aStep,
                       double aSlowdown,
                       Time aNow)
{
  Evidence& evidence = this->upstreams[aUpstream];
  EraseOld(evidence, aNow);
  const auto [entry, isNew] =
    evidence.try_emplace(aStep, StepEvidence{ aSlowdown, aNow });
  if (!isNew) {
    entry->second.fastest = std::min(entry->second.fastest, aSlowdown);
    entry->second.at = aNow;
  }
  if (evidence.size() > kMaxSteps) {
    evidence.erase(std::min_element(evidence.begin(),
                                    evidence.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.second.at < aRight.second.at;
                                    }));
  }
}

double
UpstreamSpeed::SlowdownOf(const InstanceId& aUpstream, Time aNow) const
{
  const auto found = this->upstreams.find(aUpstream);
  if (found == this->upstreams.end()) {
    return 1.0;
  }
  std::vector<double> slowdowns{ 1.0 };
  for (const auto& [step, evidence] : found->second) {
    if (aNow - evidence.at <= kRetention) {
      slowdowns.push_back(std::max(1.0, evidence.fastest));
    }
  }
  const auto middle =
    slowdowns.begin() + static_cast<std::ptrdiff_t>((slowdowns.size() - 1) / 2);
  std::nth_element(slowdowns.begin(), middle, slowdowns.end());
  return *middle;
}

void
UpstreamSpeed::EraseOld(Evidence& aEvidence, Time aNow)
{
  std::erase_if(aEvidence, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kRetention;
  });
}

} // namespace hyssoppaddle::dispatch
