// Number of voters that a tolerated loss requires.
#include "agreement/FaultTolerance.h"

#include <algorithm>

namespace hyssoppaddle::agreement {

// Voters that a tolerated loss takes at most.
std::size_t
FaultTolerance::MostLost(std::size_t aVoters) const
{
  const std::size_t places = std::max<std::size_t>(this->dataCentreCount, 1);
  const std::size_t mostInOnePlace = (aVoters + places - 1) / places;
  return std::max(this->instances, this->dataCentres * mostInOnePlace);
}

bool
FaultTolerance::IsMetBy(std::size_t aVoters) const
{
  return aVoters >= 2 * this->MostLost(aVoters) + 1;
}

bool
FaultTolerance::IsMetWithoutAnyOneOf(std::size_t aVoters) const
{
  return aVoters >= 2 * this->MostLost(aVoters) + 2;
}

} // namespace hyssoppaddle::agreement
