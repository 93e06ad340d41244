// Counts runs by data centre.
#include "dispatch/DataCentreEvacuation.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

constexpr std::uint32_t kWholePercent = 100;

// Remaining time of a run by the estimate of its step.
Duration
RemainingTime(const work::WorkState& aState,
              const work::TaskRef& aTask,
              const LiveRun& aRun,
              Time aNow)
{
  const work::Job* job = aState.FindJob(aTask.job);
  if (job == nullptr || job->tasks.empty()) {
    return Duration(0);
  }
  const Duration estimate = job->spec.steps[aTask.step].estimate;
  const std::uint32_t left =
    kWholePercent - std::min(aRun.percent, kWholePercent);
  return std::max<Duration>(
    std::min<Duration>(estimate * left / kWholePercent,
                       estimate - (aNow - aRun.phaseSince)),
    Duration(0));
}

} // namespace

std::vector<EvacuationProgress>
MeasureEvacuations(const work::WorkState& aState,
                   const Sessions& aSessions,
                   Time aNow)
{
  std::vector<EvacuationProgress> all;
  for (const auto& [dataCentre, order] : aState.Tables().evacuations) {
    EvacuationProgress& progress = all.emplace_back();
    progress.dataCentre = dataCentre;
    progress.order = order;
    for (const auto& [id, session] : aSessions) {
      if (session.record.dataCentre != dataCentre) {
        continue;
      }
      ++progress.upstreams;
      for (const auto& [key, live] : session.runs) {
        if (live.longRunning) {
          ++progress.longRunning;
          continue;
        }
        ++progress.tasks;
        progress.expectedEnd = std::max(
          progress.expectedEnd, RemainingTime(aState, key.first, live, aNow));
      }
    }
  }
  return all;
}

std::vector<ServiceId>
ServicesWithoutUpstreams(const Sessions& aSessions)
{
  std::map<ServiceId, bool> hasUpstream;
  for (const auto& [id, session] : aSessions) {
    bool& has = hasUpstream[session.record.service];
    has = has || !session.dataCentreEvacuating;
  }
  std::vector<ServiceId> services;
  for (const auto& [service, has] : hasUpstream) {
    if (!has) {
      services.push_back(service);
    }
  }
  return services;
}

std::string
Text(const std::vector<ServiceId>& aServices)
{
  std::string text;
  for (const ServiceId& service : aServices) {
    text += (text.empty() ? "" : " ") + service.value;
  }
  return text;
}

} // namespace hyssoppaddle::dispatch
