// Seeded pseudo-random numbers for decisions (election timeouts, jitter,
// candidate sampling). Equal seeds give equal sequences on every platform,
// which the standard distributions do not guarantee.
#ifndef hyssoppaddle_base_Random_h
#define hyssoppaddle_base_Random_h

#include <cstdint>

#include "base/Time.h"

namespace hyssoppaddle {

class Random
{
public:
  explicit Random(std::uint64_t aSeed);

  std::uint64_t Next();

  // Uniform in [0, aBound); 0 when aBound is 0.
  std::uint64_t Below(std::uint64_t aBound);

  // Uniform in [0, 1).
  double Fraction();

  // Uniform in [aLow, aHigh].
  Duration Between(Duration aLow, Duration aHigh);

private:
  std::uint64_t state;
};

} // namespace hyssoppaddle

#endif
