// Encoding of little-endian numbers and length-prefixed strings in the storage
// formats.
#ifndef hyssoppaddle_storage_Bytes_h
#define hyssoppaddle_storage_Bytes_h

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoppaddle::storage {

template<std::unsigned_integral T>
void
PutNumber(std::string& aOut, T aValue)
{
  for (std::size_t byte = 0; byte < sizeof(T); ++byte) {
    const auto part = static_cast<std::uint64_t>(aValue) >> (8 * byte);
    aOut.push_back(static_cast<char>(part & 0xFFU));
  }
}

inline void
PutText(std::string& aOut, std::string_view aText)
{
  PutNumber<std::uint64_t>(aOut, aText.size());
  aOut += aText;
}

// Reads values from the front. Once the input is too short, ok is false and all
// further values are zero or empty.
struct ByteReader
{
  std::string_view rest;
  bool ok = true;

  template<std::unsigned_integral T>
  T Number()
  {
    if (this->rest.size() < sizeof(T)) {
      this->ok = false;
      this->rest = {};
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t byte = 0; byte < sizeof(T); ++byte) {
      const auto part = static_cast<unsigned char>(this->rest[byte]);
      value |= static_cast<std::uint64_t>(part) << (8 * byte);
    }
    this->rest.remove_prefix(sizeof(T));
    return static_cast<T>(value);
  }

  std::string_view Text()
  {
    const auto size = this->Number<std::uint64_t>();
    if (size > this->rest.size()) {
      this->ok = false;
      this->rest = {};
      return {};
    }
    const std::string_view text = this->rest.substr(0, size);
    this->rest.remove_prefix(size);
    return text;
  }
};

} // namespace hyssoppaddle::storage

#endif
