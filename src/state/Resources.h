// Amounts of the three resources that fair shares and placement account for.
#ifndef hyssoppaddle_state_Resources_h
#define hyssoppaddle_state_Resources_h

#include <algorithm>
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

  [[nodiscard]] Resources operator*(std::int64_t aCount) const
  {
    return { this->milliCpus * aCount,
             this->memoryMb * aCount,
             this->accelerators * aCount };
  }

  // Returns true if no resource exceeds that of aOther.
  [[nodiscard]] bool FitsInto(const Resources& aOther) const
  {
    return this->milliCpus <= aOther.milliCpus &&
           this->memoryMb <= aOther.memoryMb &&
           this->accelerators <= aOther.accelerators;
  }

  // How many of these fit into aRoom together, at most aMost.
  [[nodiscard]] std::uint32_t CountInto(const Resources& aRoom,
                                        std::uint32_t aMost) const
  {
    if (!this->FitsInto(aRoom)) {
      return 0;
    }
    std::int64_t count = aMost;
    const auto bound = [&count](std::int64_t aEach, std::int64_t aWhole) {
      count = aEach > 0 ? std::min(count, aWhole / aEach) : count;
    };
    bound(this->milliCpus, aRoom.milliCpus);
    bound(this->memoryMb, aRoom.memoryMb);
    bound(this->accelerators, aRoom.accelerators);
    return static_cast<std::uint32_t>(count);
  }
};

} // namespace hyssoppaddle::state

#endif
