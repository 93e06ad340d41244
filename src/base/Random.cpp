// SplitMix64. It has one 64-bit word of state, passes the usual statistical
// tests and is cheap to seed.
#include "base/Random.h"

namespace hyssoppaddle {

Random::Random(std::uint64_t aSeed)
  : state(aSeed)
{
}

std::uint64_t
Random::Next()
{
  this->state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = this->state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

std::uint64_t
Random::Below(std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  return this->Next() % aBound;
}

double
Random::Fraction()
{
  constexpr double kTwoToMinus53 = 0x1.0p-53;
  return static_cast<double>(this->Next() >> 11U) * kTwoToMinus53;
}

Duration
Random::Between(Duration aLow, Duration aHigh)
{
  if (aHigh <= aLow) {
    return aLow;
  }
  const auto span = static_cast<std::uint64_t>((aHigh - aLow).count()) + 1;
  return aLow + Duration(static_cast<Duration::rep>(this->Below(span)));
}

} // namespace hyssoppaddle
