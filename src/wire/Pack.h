// Writes values as msgpack according to their Schema. Times are written in
// microseconds, sets and maps as arrays in ascending order.
#ifndef hyssoppaddle_wire_Pack_h
#define hyssoppaddle_wire_Pack_h

#include "base/Id.h"
#include "base/Time.h"
#include "wire/Schema.h"

#include <msgpack.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace hyssoppaddle::wire {

// Writers clamp times to this magnitude and decoders refuse times beyond it, so
// that sums of a few times do not overflow 64 bits.
inline constexpr std::int64_t kMaxTimeMicroseconds = 1000000000000000000LL;

// Output stream for msgpack::packer.
struct ByteSink
{
  std::string bytes;

  void write(const char* aData, std::size_t aSize) // NOLINT: name of msgpack
  {
    this->bytes.append(aData, aSize);
  }
};

using Packer = msgpack::packer<ByteSink>;

template<typename T>
concept HasSchema = requires(const T& aValue)
{
  Schema<T>::Of(aValue);
};

inline void
Write(Packer& aPacker, bool aValue)
{
  aValue ? aPacker.pack_true() : aPacker.pack_false();
}

template<std::integral T>
void
Write(Packer& aPacker, T aValue)
{
  if constexpr (std::is_signed_v<T>) {
    aPacker.pack_int64(aValue);
  } else {
    aPacker.pack_uint64(aValue);
  }
}

inline void
Write(Packer& aPacker, double aValue)
{
  aPacker.pack_double(aValue);
}

template<typename T>
requires std::is_enum_v<T>
void
Write(Packer& aPacker, T aValue)
{
  aPacker.pack_uint64(static_cast<std::uint64_t>(aValue));
}

inline void
Write(Packer& aPacker, const std::string& aValue)
{
  const auto size = static_cast<std::uint32_t>(aValue.size());
  aPacker.pack_str(size);
  aPacker.pack_str_body(aValue.data(), size);
}

template<typename Tag>
void
Write(Packer& aPacker, const Id<Tag>& aValue)
{
  Write(aPacker, aValue.value);
}

inline void
Write(Packer& aPacker, Duration aValue)
{
  const std::int64_t count = aValue.count();
  aPacker.pack_int64(
    std::clamp(count, -kMaxTimeMicroseconds, kMaxTimeMicroseconds));
}

inline void
Write(Packer& aPacker, WallTime aValue)
{
  Write(aPacker, aValue.time_since_epoch());
}

// Declared before they are defined because containers can be nested.
template<typename T>
void
Write(Packer& aPacker, const std::optional<T>& aValue);
template<typename T>
void
Write(Packer& aPacker, const std::vector<T>& aValue);
template<typename T>
void
Write(Packer& aPacker, const std::set<T>& aValue);
template<typename Key, typename T>
void
Write(Packer& aPacker, const std::map<Key, T>& aValue);
template<typename T>
void
Write(Packer& aPacker, const std::shared_ptr<const T>& aValue);
template<typename... Ts>
void
Write(Packer& aPacker, const std::variant<Ts...>& aValue);

template<HasSchema T>
void
Write(Packer& aPacker, const T& aValue);

// Writes the fields of aValue without the enclosing array header.
template<HasSchema T>
void
WriteFields(Packer& aPacker, const T& aValue)
{
  std::apply([&](const auto&... aField) { (Write(aPacker, aField), ...); },
             Schema<T>::Of(aValue));
}

template<HasSchema T>
inline constexpr std::uint32_t kFieldCount = static_cast<std::uint32_t>(
  std::tuple_size_v<decltype(Schema<T>::Of(std::declval<const T&>()))>);

template<HasSchema T>
void
Write(Packer& aPacker, const T& aValue)
{
  aPacker.pack_array(kFieldCount<T>);
  WriteFields(aPacker, aValue);
}

template<typename T>
void
Write(Packer& aPacker, const std::optional<T>& aValue)
{
  if (aValue.has_value()) {
    Write(aPacker, *aValue);
  } else {
    aPacker.pack_nil();
  }
}

template<typename Container>
void
WriteAll(Packer& aPacker, const Container& aValues)
{
  aPacker.pack_array(static_cast<std::uint32_t>(aValues.size()));
  for (const auto& value : aValues) {
    Write(aPacker, value);
  }
}

template<typename T>
void
Write(Packer& aPacker, const std::vector<T>& aValue)
{
  WriteAll(aPacker, aValue);
}

template<typename T>
void
Write(Packer& aPacker, const std::set<T>& aValue)
{
  WriteAll(aPacker, aValue);
}

template<typename First, typename Second>
void
Write(Packer& aPacker, const std::pair<First, Second>& aValue)
{
  aPacker.pack_array(2);
  Write(aPacker, aValue.first);
  Write(aPacker, aValue.second);
}

template<typename Key, typename T>
void
Write(Packer& aPacker, const std::map<Key, T>& aValue)
{
  WriteAll(aPacker, aValue);
}

template<typename T>
void
Write(Packer& aPacker, const std::shared_ptr<const T>& aValue)
{
  Write(aPacker, *aValue);
}

// Written as [type number, fields...].
template<typename... Ts>
void
Write(Packer& aPacker, const std::variant<Ts...>& aValue)
{
  const std::uint64_t number =
    TypeNumbers<std::variant<Ts...>>::kNumbers[aValue.index()];
  std::visit(
    [&]<typename T>(const T& aAlternative) {
      aPacker.pack_array(1 + kFieldCount<T>);
      aPacker.pack_uint64(number);
      WriteFields(aPacker, aAlternative);
    },
    aValue);
}

template<typename T>
std::string
Encode(const T& aValue)
{
  ByteSink sink;
  Packer packer(sink);
  Write(packer, aValue);
  return std::move(sink.bytes);
}

} // namespace hyssoppaddle::wire

#endif
