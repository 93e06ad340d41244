// Two passes: the first visits the bytes without storing them and fails on
// lengths that the input does not hold; only then are objects allocated.
// msgpack alone would allocate for an announced array length at once.
#include "wire/Tree.h"

#include <exception>

namespace hyssoppaddle::wire {

namespace {

// NOLINTBEGIN(readability-identifier-naming): names msgpack calls.
struct ShapeCheck : msgpack::null_visitor
{
  std::size_t depth = 0;

  bool start_array(std::uint32_t /*aCount*/)
  {
    this->depth += 1;
    return this->depth <= kMaxDepth;
  }
  bool end_array()
  {
    this->depth -= 1;
    return true;
  }
  bool start_map(std::uint32_t /*aCount*/) { return false; }
  bool visit_bin(const char* /*aData*/, std::uint32_t /*aSize*/)
  {
    return false;
  }
  bool visit_ext(const char* /*aData*/, std::uint32_t /*aSize*/)
  {
    return false;
  }
};
// NOLINTEND(readability-identifier-naming)

bool
ReferToInput(msgpack::type::object_type /*aType*/,
             std::size_t /*aSize*/,
             void* /*aUserData*/)
{
  return true;
}

} // namespace

Result<msgpack::object_handle>
ParseNext(std::string_view aBytes, std::size_t& aOffset)
{
  try {
    ShapeCheck check;
    std::size_t end = aOffset;
    if (aBytes.size() <= aOffset ||
        !msgpack::parse(aBytes.data(), aBytes.size(), end, check)) {
      return Fail(ErrorCode::Malformed, "the bytes are no complete value");
    }
    return msgpack::unpack(aBytes.data(), aBytes.size(), aOffset, ReferToInput);
  } catch (const std::exception& error) {
    return Fail(ErrorCode::Malformed, error.what());
  }
}

Result<msgpack::object_handle>
ParseWhole(std::string_view aBytes)
{
  std::size_t offset = 0;
  Result<msgpack::object_handle> handle = ParseNext(aBytes, offset);
  if (handle.has_value() && offset != aBytes.size()) {
    return Fail(ErrorCode::Malformed, "bytes follow the value");
  }
  return handle;
}

} // namespace hyssoppaddle::wire
