// Fuzzes the frame reader with a stream that is split at positions chosen by
// the input.
#include "wire/FrameReader.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace hyssoppaddle;
  constexpr std::size_t kMaxBytes = 64;
  wire::FrameReader reader(kMaxBytes);
  std::size_t offset = 0;
  while (offset < aSize) {
    const std::size_t wanted = 1 + (aData[offset] % 16U);
    const std::size_t size = std::min(wanted, aSize - offset);
    reader.Feed({ reinterpret_cast<const char*>(aData) + offset, size });
    offset += size;
    for (;;) {
      const auto next = reader.Next();
      if (!next.has_value()) {
        return 0;
      }
      if (!next->has_value()) {
        break;
      }
      if ((*next)->empty() || (*next)->size() > kMaxBytes) {
        std::abort();
      }
    }
  }
  return 0;
}
