// Learned slowness of upstreams.
//
// Load pattern: some upstreams take several times as long for everything for
// some seconds, while they answer all calls in time. Among their runs are tasks
// that take long by themselves, and jobs whose estimates are all off in the
// same direction. An upstream is slow only when runs of several steps agree.
#ifndef hyssoppaddle_dispatch_UpstreamSpeed_h
#define hyssoppaddle_dispatch_UpstreamSpeed_h

#include "work/Job.h"

#include <map>

namespace hyssoppaddle::dispatch {

class UpstreamSpeed
{
public:
  // An upstream is slow from this factor on.
  static constexpr double kSlowFactor = 2.5;
  // How long a run counts as evidence. A slow upstream gets runs again when
  // there is no evidence left.
  static constexpr Duration kRetention = std::chrono::seconds(3);
  // Steps whose runs are remembered for one upstream.
  static constexpr std::size_t kMaxSteps = 16;

  // Records how many times longer than usual a run of aStep (index 0) takes on
  // the upstream, by its end or by its progress. Of the runs of one step the
  // fastest one counts: a task can be slow by itself, but not fast.
  void Observe(const InstanceId& aUpstream,
               const work::TaskRef& aStep,
               double aSlowdown,
               Time aNow);

  // The median over the steps that ran there and one more that took its usual
  // time, the lower one of two. 1 without evidence; at least 1.
  [[nodiscard]] double SlowdownOf(const InstanceId& aUpstream, Time aNow) const;
  [[nodiscard]] bool IsSlow(const InstanceId& aUpstream, Time aNow) const
  {
    return this->SlowdownOf(aUpstream, aNow) >= kSlowFactor;
  }

  // The upstream has left, or another boot has its ID.
  void Forget(const InstanceId& aUpstream) { this->upstreams.erase(aUpstream); }

private:
  struct StepEvidence
  {
    double fastest = 1.0; // slowdown
    Time at{};            // of the last run
  };
  using Evidence = std::map<work::TaskRef, StepEvidence>;

  static void EraseOld(Evidence& aEvidence, Time aNow);

  // Invariant: at most kMaxSteps steps each.
  std::map<InstanceId, Evidence> upstreams;
};

} // namespace hyssoppaddle::dispatch

#endif
