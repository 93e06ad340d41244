// Numbers for messages to other instances whose replies are matched by number.
// A reply may arrive after its recipient has been restarted at the same
// address, so the processes must not use the same numbers.
#ifndef hyssoppaddle_base_TokenSequence_h
#define hyssoppaddle_base_TokenSequence_h

#include <cstdint>

namespace hyssoppaddle {

class TokenSequence
{
public:
  // Starts at a number that is drawn from aSeed, which must differ between the
  // processes of an instance.
  explicit TokenSequence(std::uint64_t aSeed);

  // Never 0, which marks messages that are no reply.
  std::uint64_t Next() { return ++this->last; }

  // True for the numbers that Next() has returned.
  [[nodiscard]] bool HasIssued(std::uint64_t aToken) const
  {
    return aToken > this->base && aToken <= this->last;
  }

private:
  std::uint64_t base; // in the lower half of the range, so that it cannot wrap
  std::uint64_t last;
};

} // namespace hyssoppaddle

#endif
