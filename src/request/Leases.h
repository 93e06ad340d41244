// Leases that bound how long this entry instance may rely on information from
// the leader. All leases start when the last answered renewal was sent.
// Starting them when the answer arrives would add the network delay to the time
// for which a withdrawn key may still be accepted.
#ifndef hyssoppaddle_request_Leases_h
#define hyssoppaddle_request_Leases_h

#include "base/Time.h"

#include <algorithm>
#include <optional>

namespace hyssoppaddle::request {

struct LeaseDurations
{
  Duration key{ 0 };
  Duration permit{ 0 };
  Duration directory{ 0 };
};

class Leases
{
public:
  explicit Leases(LeaseDurations aTimes)
    : times(aTimes)
  {
  }

  // Answers can arrive out of order; an older renewal never shortens a lease.
  void Renew(Time aSentAt)
  {
    this->renewedAt =
      this->renewedAt ? std::max(*this->renewedAt, aSentAt) : aSentAt;
  }

  [[nodiscard]] bool KeysFresh(Time aNow) const
  {
    return this->IsWithin(aNow, this->times.key);
  }
  [[nodiscard]] bool PermitsValid(Time aNow) const
  {
    return this->IsWithin(aNow, this->times.permit);
  }
  [[nodiscard]] bool DirectoryFresh(Time aNow) const
  {
    return this->IsWithin(aNow, this->times.directory);
  }

private:
  [[nodiscard]] bool IsWithin(Time aNow, Duration aLease) const
  {
    return this->renewedAt && aNow - *this->renewedAt < aLease;
  }

  LeaseDurations times;
  std::optional<Time> renewedAt;
};

} // namespace hyssoppaddle::request

#endif
