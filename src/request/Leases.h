// How long this entry instance may rely on what it learned from the leader. All
// leases run from the sending of the last renewal that the leader answered: the
// time of the answer would add the network delay to the bound of a withdrawal.
#ifndef hyssoppaddle_request_Leases_h
#define hyssoppaddle_request_Leases_h

#include "base/Time.h"

#include <algorithm>
#include <optional>

namespace hyssoppaddle::request {

struct LeaseTimes
{
  Duration key{ 0 };
  Duration permit{ 0 };
  Duration directory{ 0 };
};

class Leases
{
public:
  explicit Leases(LeaseTimes aTimes)
    : times(aTimes)
  {
  }

  // Answers can be reordered; an older renewal never shortens a lease.
  void Renew(Time aSentAt)
  {
    this->renewedAt =
      this->renewedAt ? std::max(*this->renewedAt, aSentAt) : aSentAt;
  }

  [[nodiscard]] bool KeysFresh(Time aNow) const
  {
    return this->Holds(aNow, this->times.key);
  }
  [[nodiscard]] bool PermitsValid(Time aNow) const
  {
    return this->Holds(aNow, this->times.permit);
  }
  [[nodiscard]] bool DirectoryFresh(Time aNow) const
  {
    return this->Holds(aNow, this->times.directory);
  }

private:
  [[nodiscard]] bool Holds(Time aNow, Duration aLease) const
  {
    return this->renewedAt && aNow - *this->renewedAt < aLease;
  }

  LeaseTimes times;
  std::optional<Time> renewedAt;
};

} // namespace hyssoppaddle::request

#endif
