// Number of voters that a tolerated loss requires.
#include "agreement/FaultTolerance.h"

#include <algorithm>

namespace hyssoppaddle::agreement {

bool
FaultTolerance::IsMetBy(std::size_t aVoters) const
{
  const std::size_t places = std::max<std::size_t>(this->dataCentreCount, 1);
  const std::size_t mostInOnePlace = (aVoters + places - 1) / places;
  const std::size_t lost =
    std::max(this->instances, this->dataCentres * mostInOnePlace);
  return aVoters >= 2 * lost + 1;
}

} // namespace hyssoppaddle::agreement
