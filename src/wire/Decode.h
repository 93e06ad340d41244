// Decodes one complete value of bounded size.
#ifndef hyssoppaddle_wire_Decode_h
#define hyssoppaddle_wire_Decode_h

#include "base/Result.h"
#include "wire/Tree.h"
#include "wire/Unpack.h"

#include <exception>
#include <string>
#include <string_view>

namespace hyssoppaddle::wire {

template<typename T>
Result<T>
Decode(std::string_view aBytes, std::size_t aMaxBytes, const char* aName)
{
  if (aBytes.size() > aMaxBytes) {
    return Fail(ErrorCode::TooLarge,
                std::string(aName) + " has more than " +
                  std::to_string(aMaxBytes) + " bytes");
  }
  try {
    const Result<msgpack::object_handle> tree = ParseWhole(aBytes);
    if (!tree.has_value()) {
      return Fail(tree.error().code,
                  std::string(aName) + ": " + tree.error().message);
    }
    T value;
    if (Read(tree->get(), value)) {
      return value;
    }
  } catch (const std::exception& error) {
    return Fail(ErrorCode::Malformed, std::string(aName) + ": " + error.what());
  }
  return Fail(ErrorCode::Malformed,
              std::string(aName) + " has a field of the wrong type or range");
}

} // namespace hyssoppaddle::wire

#endif
