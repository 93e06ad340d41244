// Draws the start of a sequence.
#include "base/TokenSequence.h"

#include "base/Random.h"

namespace hyssoppaddle {

TokenSequence::TokenSequence(std::uint64_t aSeed)
  : base(Random(aSeed).Next() >> 1U)
  , last(this->base)
{
}

} // namespace hyssoppaddle
