// Reads values from a msgpack object tree according to their Schema. Each
// function returns false for a value of the wrong type, range or length; none
// throws.
#ifndef hyssoppaddle_wire_Unpack_h
#define hyssoppaddle_wire_Unpack_h

#include "wire/Pack.h"
#include "wire/Schema.h"

#include <msgpack.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <type_traits>
#include <utility>

namespace hyssoppaddle::wire {

using Objects = std::span<const msgpack::object>;

inline bool
ReadArray(const msgpack::object& aObject, Objects& aItems)
{
  if (aObject.type != msgpack::type::ARRAY) {
    return false;
  }
  aItems = Objects(aObject.via.array.ptr, aObject.via.array.size);
  return true;
}

inline bool
Read(const msgpack::object& aObject, bool& aValue)
{
  aValue = aObject.type == msgpack::type::BOOLEAN && aObject.via.boolean;
  return aObject.type == msgpack::type::BOOLEAN;
}

template<std::integral T>
bool
Read(const msgpack::object& aObject, T& aValue)
{
  if (aObject.type == msgpack::type::POSITIVE_INTEGER) {
    aValue = static_cast<T>(aObject.via.u64);
    return std::in_range<T>(aObject.via.u64);
  }
  if (aObject.type == msgpack::type::NEGATIVE_INTEGER) {
    aValue = static_cast<T>(aObject.via.i64);
    return std::in_range<T>(aObject.via.i64);
  }
  return false;
}

inline bool
Read(const msgpack::object& aObject, double& aValue)
{
  // msgpack encodes a double without a fraction as an integer.
  if (aObject.type == msgpack::type::POSITIVE_INTEGER) {
    aValue = static_cast<double>(aObject.via.u64);
    return true;
  }
  if (aObject.type == msgpack::type::NEGATIVE_INTEGER) {
    aValue = static_cast<double>(aObject.via.i64);
    return true;
  }
  if (aObject.type != msgpack::type::FLOAT64 &&
      aObject.type != msgpack::type::FLOAT32) {
    return false;
  }
  aValue = aObject.via.f64;
  return std::isfinite(aValue);
}

template<typename T>
requires std::is_enum_v<T>
bool
Read(const msgpack::object& aObject, T& aValue)
{
  std::uint64_t number = 0;
  if (!Read(aObject, number) ||
      number > static_cast<std::uint64_t>(LastValue<T>::kValue)) {
    return false;
  }
  aValue = static_cast<T>(number);
  return true;
}

inline bool
Read(const msgpack::object& aObject, std::string& aValue)
{
  if (aObject.type != msgpack::type::STR) {
    return false;
  }
  aValue.assign(aObject.via.str.ptr, aObject.via.str.size);
  return true;
}

template<typename Tag>
bool
Read(const msgpack::object& aObject, Id<Tag>& aValue)
{
  return Read(aObject, aValue.value);
}

inline bool
Read(const msgpack::object& aObject, Duration& aValue)
{
  std::int64_t count = 0;
  if (!Read(aObject, count) || count < -kMaxTimeMicroseconds ||
      count > kMaxTimeMicroseconds) {
    return false;
  }
  aValue = Duration(count);
  return true;
}

inline bool
Read(const msgpack::object& aObject, WallTime& aValue)
{
  Duration sinceEpoch{ 0 };
  const bool good = Read(aObject, sinceEpoch);
  aValue = WallTime(sinceEpoch);
  return good;
}

// Declared before they are defined because containers can be nested.
template<typename T>
bool
Read(const msgpack::object& aObject, std::optional<T>& aValue);
template<typename T>
bool
Read(const msgpack::object& aObject, std::vector<T>& aValue);
template<typename T>
bool
Read(const msgpack::object& aObject, std::set<T>& aValue);
template<typename Key, typename T>
bool
Read(const msgpack::object& aObject, std::map<Key, T>& aValue);
template<typename T>
bool
Read(const msgpack::object& aObject, std::shared_ptr<const T>& aValue);
template<typename... Ts>
bool
Read(const msgpack::object& aObject, std::variant<Ts...>& aValue);
template<HasSchema T>
bool
Read(const msgpack::object& aObject, T& aValue);

template<HasSchema T>
bool
ReadFields(Objects aItems, T& aValue)
{
  if (aItems.size() > kFieldCount<T> ||
      aItems.size() + kAddedFields<T> < kFieldCount<T>) {
    return false;
  }
  std::size_t next = 0;
  const auto readNext = [&](auto& aField) {
    return next == aItems.size() || Read(aItems[next++], aField);
  };
  return std::apply([&](auto&... aField) { return (readNext(aField) && ...); },
                    Schema<T>::Of(aValue));
}

template<HasSchema T>
bool
Read(const msgpack::object& aObject, T& aValue)
{
  Objects items;
  return ReadArray(aObject, items) && ReadFields(items, aValue);
}

template<typename T>
bool
Read(const msgpack::object& aObject, std::optional<T>& aValue)
{
  if (aObject.type == msgpack::type::NIL) {
    aValue.reset();
    return true;
  }
  return Read(aObject, aValue.emplace());
}

template<typename T>
bool
Read(const msgpack::object& aObject, std::vector<T>& aValue)
{
  Objects items;
  if (!ReadArray(aObject, items)) {
    return false;
  }
  aValue.clear();
  for (const msgpack::object& item : items) {
    if (!Read(item, aValue.emplace_back())) {
      return false;
    }
  }
  return true;
}

// Sets and maps are accepted only in strictly ascending order, in which they
// are written. Each value therefore has exactly one encoding and duplicates are
// refused.
template<typename T>
bool
Read(const msgpack::object& aObject, std::set<T>& aValue)
{
  Objects items;
  if (!ReadArray(aObject, items)) {
    return false;
  }
  aValue.clear();
  for (const msgpack::object& item : items) {
    T element;
    if (!Read(item, element) ||
        (!aValue.empty() && !(*aValue.rbegin() < element))) {
      return false;
    }
    aValue.insert(aValue.end(), std::move(element));
  }
  return true;
}

template<typename Key, typename T>
bool
ReadEntry(const msgpack::object& aObject, std::map<Key, T>& aMap)
{
  Objects items;
  Key key{};
  T value{};
  if (!ReadArray(aObject, items) || items.size() != 2 || !Read(items[0], key) ||
      !Read(items[1], value) ||
      (!aMap.empty() && !(aMap.rbegin()->first < key))) {
    return false;
  }
  aMap.emplace_hint(aMap.end(), std::move(key), std::move(value));
  return true;
}

template<typename Key, typename T>
bool
Read(const msgpack::object& aObject, std::map<Key, T>& aValue)
{
  Objects items;
  if (!ReadArray(aObject, items)) {
    return false;
  }
  aValue.clear();
  for (const msgpack::object& item : items) {
    if (!ReadEntry(item, aValue)) {
      return false;
    }
  }
  return true;
}

template<typename T>
bool
Read(const msgpack::object& aObject, std::shared_ptr<const T>& aValue)
{
  auto value = std::make_shared<T>();
  const bool good = Read(aObject, *value);
  aValue = std::move(value);
  return good;
}

template<std::size_t Index, typename... Ts>
bool
ReadAlternative(std::uint64_t aNumber,
                Objects aFields,
                std::variant<Ts...>& aValue)
{
  if constexpr (Index < sizeof...(Ts)) {
    if (TypeNumbers<std::variant<Ts...>>::kNumbers[Index] == aNumber) {
      return ReadFields(aFields, aValue.template emplace<Index>());
    }
    return ReadAlternative<Index + 1>(aNumber, aFields, aValue);
  }
  return false;
}

template<typename... Ts>
bool
Read(const msgpack::object& aObject, std::variant<Ts...>& aValue)
{
  using Numbers = TypeNumbers<std::variant<Ts...>>;
  static_assert(Numbers::kNumbers.size() == sizeof...(Ts));
  static_assert(AreDistinct(Numbers::kNumbers));
  Objects items;
  std::uint64_t number = 0;
  return ReadArray(aObject, items) && !items.empty() &&
         Read(items.front(), number) &&
         ReadAlternative<0>(number, items.subspan(1), aValue);
}

} // namespace hyssoppaddle::wire

#endif
