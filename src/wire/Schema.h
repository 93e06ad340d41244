// Maps a struct to a msgpack array: Schema<T>::Of ties its fields in encoding
// order. The same list is used for encoding and decoding.
#ifndef hyssoppaddle_wire_Schema_h
#define hyssoppaddle_wire_Schema_h

#include <array>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <variant>

namespace hyssoppaddle::wire {

template<typename T>
struct Schema; // with: static auto Of(auto& aValue)

// How many of the last fields may be missing, because data that is still read
// was written before they existed. They keep their default values.
template<typename T>
inline constexpr std::size_t kAddedFields = 0;

// The highest enumerator; decoders refuse higher values.
template<typename Enum>
struct LastValue; // with: static constexpr Enum kValue

// The encoded type number of each alternative of a variant, in the order of the
// alternatives. A number must never be reused for another type, so that later
// versions can add and remove alternatives.
template<typename Variant>
struct TypeNumbers; // with: static constexpr std::array kNumbers

template<typename Array>
constexpr bool
AreDistinct(const Array& aNumbers)
{
  for (std::size_t i = 0; i < aNumbers.size(); ++i) {
    for (std::size_t j = i + 1; j < aNumbers.size(); ++j) {
      if (aNumbers[i] == aNumbers[j]) {
        return false;
      }
    }
  }
  return true;
}

} // namespace hyssoppaddle::wire

// Lists the fields of a struct in encoding order, each as aIt.name.
#define HYSSOPPADDLE_SCHEMA(Type, ...)                                         \
  template<>                                                                   \
  struct Schema<Type>                                                          \
  {                                                                            \
    static auto Of(auto& aIt) { return std::tie(__VA_ARGS__); }                \
  }

#define HYSSOPPADDLE_ADDED_FIELDS(Type, Count)                                 \
  template<>                                                                   \
  inline constexpr std::size_t kAddedFields<Type> = Count

#define HYSSOPPADDLE_LAST_VALUE(Enum, Last)                                    \
  template<>                                                                   \
  struct LastValue<Enum>                                                       \
  {                                                                            \
    static constexpr Enum kValue = Enum::Last;                                 \
  }

#endif
