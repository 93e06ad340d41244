// Fuzzes the decoder of messages between entry instances. A decoded message
// must be equal after being encoded and decoded again.
#include "wire/Codec.h"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace hyssoppaddle;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto message = wire::DecodePeerMessage(bytes);
  if (message.has_value()) {
    const auto again =
      wire::DecodePeerMessage(wire::EncodePeerMessage(*message));
    if (!again.has_value() || !(*again == *message)) {
      std::abort();
    }
  }
  return 0;
}
