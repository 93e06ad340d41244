// Fuzzes the decoder of log entries. A decoded command must be equal after
// being encoded and decoded again.
#include "wire/Codec.h"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace hyssoppaddle;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto command = wire::DecodeCommand(bytes);
  if (command.has_value()) {
    const auto again = wire::DecodeCommand(wire::EncodeCommand(*command));
    if (!again.has_value() || !(*again == *command)) {
      std::abort();
    }
  }
  return 0;
}
