// Keeps a window of recent runs for each kind and the median of it.
#include "dispatch/RunTimes.h"

#include <algorithm>
#include <vector>

namespace hyssoppaddle::dispatch {

namespace {

// Assumed for steps without an estimate.
constexpr Duration kDefaultEstimate = std::chrono::seconds(1);

} // namespace

std::string
KindOf(const work::QueueId& aQueue,
       const work::Step& aStep,
       std::uint32_t aStepNumber)
{
  return aStep.image.empty() ? aQueue.value + '#' + std::to_string(aStepNumber)
                             : aStep.image;
}

Duration
DeclaredTime(const work::Step& aStep)
{
  return aStep.estimate.count() > 0 ? aStep.estimate : kDefaultEstimate;
}

void
RunTimes::Add(const RunObservation& aObservation, Time aNow)
{
  const double declared = static_cast<double>(aObservation.declared.count());
  const double elapsed = static_cast<double>(aObservation.elapsed.count());
  if (!(aObservation.fraction > 0) || declared <= 0 || elapsed <= 0) {
    return;
  }
  auto found = this->kinds.find(aObservation.kind);
  if (found == this->kinds.end()) {
    if (this->kinds.size() >= kMaxKinds) {
      this->EvictOldest();
    }
    found = this->kinds.emplace(aObservation.kind, Kind{}).first;
  }
  Kind& kind = found->second;
  if (aNow - kind.lastAt > kRetention) {
    kind = Kind{};
  }
  kind.ratios[kind.count % kWindow] =
    elapsed / (declared * aObservation.fraction);
  ++kind.count;
  kind.lastAt = aNow;
  kind.median = std::clamp(MedianOf(kind), kMinRatio, kMaxRatio);
}

double
RunTimes::UsualRatio(std::string_view aKind, Time aNow) const
{
  const auto found = this->kinds.find(aKind);
  const bool isKnown =
    found != this->kinds.end() && aNow - found->second.lastAt <= kRetention;
  return isKnown ? found->second.median : 1.0;
}

void
RunTimes::EvictOldest()
{
  this->kinds.erase(std::min_element(this->kinds.begin(),
                                     this->kinds.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.lastAt <
                                              aRight.second.lastAt;
                                     }));
}

double
RunTimes::MedianOf(const Kind& aKind)
{
  const auto kept = static_cast<std::ptrdiff_t>(std::min(aKind.count, kWindow));
  std::vector<double> ratios(aKind.ratios.begin(), aKind.ratios.begin() + kept);
  ratios.insert(ratios.end(), kPriorRuns, 1.0);
  const auto middle =
    ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

} // namespace hyssoppaddle::dispatch
