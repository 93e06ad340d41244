// Parses in two passes. The first visits the bytes without storing anything and
// fails on lengths that exceed the input; only the second allocates objects.
// msgpack alone would allocate the declared length of an array in advance.
#include "wire/Tree.h"

#include <exception>

namespace hyssoppaddle::wire {

namespace {

// NOLINTBEGIN(readability-identifier-naming): msgpack requires these names.
struct StructureVisitor : msgpack::null_visitor
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
ReferenceInput(msgpack::type::object_type /*aType*/,
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
    StructureVisitor check;
    std::size_t end = aOffset;
    if (aBytes.size() <= aOffset ||
        !msgpack::parse(aBytes.data(), aBytes.size(), end, check)) {
      return Fail(ErrorCode::Malformed, "the bytes are no complete value");
    }
    return msgpack::unpack(
      aBytes.data(), aBytes.size(), aOffset, ReferenceInput);
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
