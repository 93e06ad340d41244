// Compares the ranks of run times with and without a neighbour.
#include "dispatch/Interference.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::dispatch {

namespace {

// Rank scores from which a pair becomes known and below which it is forgotten.
// The first is far beyond chance, because every pair is compared many times.
constexpr double kLearnScore = 5.0;
constexpr double kForgetScore = 2.0;
// New runs of a pair between two comparisons.
constexpr std::size_t kRunsPerComparison = 8;

double
Median(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void
Interference::Add(const RunObservation& aObservation, Time aNow)
{
  const double declared = static_cast<double>(aObservation.declared.count());
  const double elapsed = static_cast<double>(aObservation.elapsed.count());
  if (!(aObservation.fraction > 0) || declared <= 0 || elapsed <= 0 ||
      !this->Admit(aObservation.kind, aNow)) {
    return;
  }
  std::set<std::string_view> beside;
  for (const std::string& neighbour : aObservation.neighbours) {
    if (this->Admit(neighbour, aNow)) {
      beside.insert(neighbour);
    }
  }
  Sample sample;
  sample.ratio = elapsed / (declared * aObservation.fraction);
  sample.step = aObservation.task;
  sample.step.index = 0;
  sample.upstream = aObservation.upstream;
  sample.at = aNow;
  for (const auto& [kind, lastAt] : this->kinds) {
    Pair& pair = this->pairs[{ aObservation.kind, kind }];
    AddSample(beside.contains(kind) ? pair.with : pair.without, sample);
    ++pair.added;
  }
}

bool
Interference::Admit(const std::string& aKind, Time aNow)
{
  const auto found = this->kinds.find(aKind);
  if (found != this->kinds.end()) {
    found->second = aNow;
    return true;
  }
  if (this->kinds.size() >= kMaxKinds) {
    return false;
  }
  this->kinds.emplace(aKind, aNow);
  return true;
}

void
Interference::AddSample(Samples& aSamples, const Sample& aSample)
{
  std::size_t ofUpstream = 0;
  auto oldest = aSamples.end();
  for (auto sample = aSamples.begin(); sample != aSamples.end(); ++sample) {
    if (sample->step == aSample.step) {
      return;
    }
    if (sample->upstream == aSample.upstream) {
      oldest = ofUpstream++ == 0 ? sample : oldest;
    }
  }
  if (ofUpstream >= kMaxOfUpstream) {
    aSamples.erase(oldest);
  } else if (aSamples.size() >= kWindow) {
    aSamples.erase(aSamples.begin());
  }
  aSamples.push_back(aSample);
}

void
Interference::EraseOld(Samples& aSamples, Time aNow)
{
  std::erase_if(aSamples, [aNow](const Sample& aSample) {
    return aNow - aSample.at > kRetention;
  });
}

double
Interference::RankScore(const Pair& aPair)
{
  const double with = static_cast<double>(aPair.with.size());
  const double without = static_cast<double>(aPair.without.size());
  double longer = 0; // pairs of runs of which the one with the neighbour is
  for (const Sample& slowed : aPair.with) {
    for (const Sample& usual : aPair.without) {
      longer += slowed.ratio > usual.ratio    ? 1.0
                : slowed.ratio == usual.ratio ? 0.5
                                              : 0.0;
    }
  }
  const double mean = with * without / 2.0;
  const double deviation =
    std::sqrt(with * without * (with + without + 1.0) / 12.0);
  return (longer - mean) / deviation;
}

double
Interference::SlowdownOf(const Pair& aPair)
{
  const auto ratios = [](const Samples& aSamples) {
    std::vector<double> values;
    for (const Sample& sample : aSamples) {
      values.push_back(sample.ratio);
    }
    return values;
  };
  return Median(ratios(aPair.with)) / Median(ratios(aPair.without));
}

std::vector<InterferenceChange>
Interference::Review(Time aNow)
{
  std::vector<InterferenceChange> changes;
  for (auto& [key, pair] : this->pairs) {
    EraseOld(pair.with, aNow);
    EraseOld(pair.without, aNow);
    const bool isKnown = this->known.contains(key);
    const bool hasEvidence =
      pair.with.size() >= kMinRuns && pair.without.size() >= kMinRuns;
    if (hasEvidence && pair.added < kRunsPerComparison) {
      continue;
    }
    pair.added = 0;
    const double score = hasEvidence ? RankScore(pair) : 0.0;
    const double slowdown = hasEvidence ? SlowdownOf(pair) : 1.0;
    const bool learns = score >= kLearnScore && slowdown >= kMinSlowdown;
    // Tasks that are kept apart give no evidence with the neighbour, so a pair
    // is forgotten when its evidence is old and then observed anew.
    const bool forgets =
      pair.with.empty() || (hasEvidence && score < kForgetScore);
    if (isKnown ? !forgets : !learns) {
      continue;
    }
    if (isKnown) {
      this->known.erase(key);
    } else {
      this->known.insert(key);
    }
    changes.push_back({ key.first,
                        key.second,
                        !isKnown,
                        slowdown,
                        pair.with.size(),
                        pair.without.size() });
  }
  this->EraseUnseen(aNow);
  return changes;
}

// A known pair has been forgotten before, since it has no evidence left.
void
Interference::EraseUnseen(Time aNow)
{
  std::erase_if(this->kinds, [aNow](const auto& aItem) {
    return aNow - aItem.second > kRetention;
  });
  std::erase_if(this->pairs, [this](const auto& aItem) {
    return !this->kinds.contains(aItem.first.first) ||
           !this->kinds.contains(aItem.first.second);
  });
}

bool
Interference::Slows(std::string_view aNeighbour, std::string_view aSlowed) const
{
  return std::any_of(
    this->known.begin(), this->known.end(), [&](const PairKey& aPair) {
      return aPair.first == aSlowed && aPair.second == aNeighbour;
    });
}

} // namespace hyssoppaddle::dispatch
