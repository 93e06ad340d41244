// Parses untrusted msgpack into an object tree whose size is bounded by the
// input.
#ifndef hyssoppaddle_wire_Tree_h
#define hyssoppaddle_wire_Tree_h

#include "base/Result.h"

#include <msgpack.hpp>

#include <cstddef>
#include <string_view>

namespace hyssoppaddle::wire {

// Maximum nesting of arrays. The deepest message, a bundle inside a forwarded
// command, has 8 levels.
inline constexpr std::size_t kMaxDepth = 16;

// Parses the value at aOffset and advances aOffset past it. Strings in the
// result refer to aBytes. Maps, binary values and extension types are
// malformed.
Result<msgpack::object_handle>
ParseNext(std::string_view aBytes, std::size_t& aOffset);

// As above, but aBytes must contain exactly one value.
Result<msgpack::object_handle>
ParseWhole(std::string_view aBytes);

} // namespace hyssoppaddle::wire

#endif
