// Amounts of the three resources that fair shares and placement account for.
#ifndef hyssoppaddle_state_Resources_h
#define hyssoppaddle_state_Resources_h

#include <cstdint>

namespace hyssoppaddle::state {

struct Resources
{
  std::int64_t milliCpus = 0;    // 1000 is one processor core
  std::int64_t memoryMb = 0;     // MiB
  std::int64_t accelerators = 0; // whole devices

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& aOther)
  {
    this->milliCpus += aOther.milliCpus;
    this->memoryMb += aOther.memoryMb;
    this->accelerators += aOther.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& aOther)
  {
    this->milliCpus -= aOther.milliCpus;
    this->memoryMb -= aOther.memoryMb;
    this->accelerators -= aOther.accelerators;
    return *this;
  }

  // Returns true if no resource exceeds that of aOther.
  [[nodiscard]] bool FitsInto(const Resources& aOther) const
  {
    return this->milliCpus <= aOther.milliCpus &&
           this->memoryMb <= aOther.memoryMb &&
           this->accelerators <= aOther.accelerators;
  }
};

} // namespace hyssoppaddle::state

#endif
