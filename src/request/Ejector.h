// Ejects upstreams after consecutive failures and readmits them after a
// successful probe. At most 30% of the upstreams of a service are ejected at a
// time: a failure that affects all of them is not caused by a single upstream,
// and ejecting all of them would cause an outage.
#ifndef hyssoppaddle_request_Ejector_h
#define hyssoppaddle_request_Ejector_h

#include "base/Random.h"
#include "request/Upstream.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hyssoppaddle::request {

class Ejector
{
public:
  explicit Ejector(std::uint64_t aSeed);

  // Records a failure. Returns the delay until the next probe if the upstream
  // becomes ejected, otherwise nothing.
  std::optional<Duration> OnFailure(Upstream& aUpstream, Time aNow);
  // Records a success. Returns true if it ends an ejection.
  static bool OnSuccess(Upstream& aUpstream);
  // The probe delay is over.
  static void BeginProbe(Upstream& aUpstream);
  // The upstream left the group or was replaced by another boot.
  static void Reset(Upstream& aUpstream, ServiceGroup& aGroup);
  // Readmits and returns the upstream that was ejected first if more upstreams
  // are ejected than the bound allows, which happens when the service loses
  // other upstreams. Returns null if the number is within the bound.
  static Upstream* ReadmitOverBound(ServiceGroup& aGroup);

  static constexpr std::uint32_t kFailuresToEject = 5;
  static constexpr std::size_t kMaxEjectedPercent = 30;
  static constexpr Duration kFirstProbeDelay = std::chrono::seconds(1);
  static constexpr Duration kMaxProbeDelay = std::chrono::seconds(60);

private:
  [[nodiscard]] static bool WithinBound(const ServiceGroup& aGroup,
                                        std::size_t aEjected);
  Duration ProbeDelay(const Upstream& aUpstream);

  Random random;
};

} // namespace hyssoppaddle::request

#endif
