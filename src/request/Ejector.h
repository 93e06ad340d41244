// Takes upstreams that keep failing out of use and lets them back by probes.
// At most 30% of a service's upstreams are out at a time: a fault that shows
// everywhere is not a fault of single upstreams, and ejecting all of them would
// turn it into an outage.
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

  // Returns the delay until the next probe when the upstream is ejected now.
  std::optional<Duration> OnFailure(Upstream& aUpstream, Time aNow);
  // Returns true when the success ends an ejection.
  static bool OnSuccess(Upstream& aUpstream);
  // The probe delay is over.
  static void BeginProbe(Upstream& aUpstream);
  // The upstream left the group or was replaced by another boot.
  static void Forget(Upstream& aUpstream, ServiceGroup& aGroup);
  // Removes and returns the oldest ejected upstream while more than the bound
  // are out, because the service has lost others; null when within the bound.
  static Upstream* ReadmitOverBound(ServiceGroup& aGroup);

  static constexpr std::uint32_t kFailuresToEject = 5;
  static constexpr std::size_t kMaxEjectedPercent = 30;
  static constexpr Duration kFirstProbe{ 1000000 };
  static constexpr Duration kLastProbe{ 60000000 };

private:
  [[nodiscard]] static bool WithinBound(const ServiceGroup& aGroup,
                                        std::size_t aEjected);
  Duration ProbeDelay(const Upstream& aUpstream);

  Random random;
};

} // namespace hyssoppaddle::request

#endif
