// Parses untrusted msgpack into an object tree whose size is bounded by the
// input.
#ifndef hyssoppaddle_wire_Tree_h
#define hyssoppaddle_wire_Tree_h

#include "base/Result.h"

#include <msgpack.hpp>

#include <cstddef>
#include <string_view>

namespace hyssoppaddle::wire {

// The deepest message has 8 levels; a bundle inside a forwarded command.
inline constexpr std::size_t kMaxDepth = 16;

// Parses the value at aOffset and moves aOffset behind it. Strings of the
// result refer to aBytes. Maps and extension types are malformed.
Result<msgpack::object_handle>
ParseNext(std::string_view aBytes, std::size_t& aOffset);

// As above; the value must be all of aBytes.
Result<msgpack::object_handle>
ParseWhole(std::string_view aBytes);

} // namespace hyssoppaddle::wire

#endif
