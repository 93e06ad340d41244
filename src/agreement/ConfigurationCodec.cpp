// Binary encoding of a Configuration.
#include "agreement/ConfigurationCodec.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace hyssoppaddle::agreement {

namespace {

constexpr std::size_t kNumberBytes = 4;
constexpr unsigned kBitsPerByte = 8;

void
PutNumber(std::string& aOut, std::size_t aValue)
{
  for (std::size_t byte = 0; byte < kNumberBytes; ++byte) {
    aOut.push_back(
      static_cast<char>((aValue >> (kBitsPerByte * byte)) & 0xFFU));
  }
}

void
PutNames(std::string& aOut, const std::vector<InstanceId>& aNames)
{
  PutNumber(aOut, aNames.size());
  for (const InstanceId& name : aNames) {
    PutNumber(aOut, name.value.size());
    aOut += name.value;
  }
}

std::optional<std::size_t>
TakeNumber(std::string_view& aBytes)
{
  if (aBytes.size() < kNumberBytes) {
    return std::nullopt;
  }
  std::size_t value = 0;
  for (std::size_t byte = 0; byte < kNumberBytes; ++byte) {
    const auto part = static_cast<unsigned char>(aBytes[byte]);
    value |= static_cast<std::size_t>(part) << (kBitsPerByte * byte);
  }
  aBytes.remove_prefix(kNumberBytes);
  return value;
}

std::optional<std::vector<InstanceId>>
TakeNames(std::string_view& aBytes)
{
  const std::optional<std::size_t> count = TakeNumber(aBytes);
  if (!count) {
    return std::nullopt;
  }
  std::vector<InstanceId> names;
  for (std::size_t taken = 0; taken < *count; ++taken) {
    const std::optional<std::size_t> size = TakeNumber(aBytes);
    if (!size || aBytes.size() < *size) {
      return std::nullopt;
    }
    names.emplace_back(std::string(aBytes.substr(0, *size)));
    aBytes.remove_prefix(*size);
  }
  return names;
}

} // namespace

std::string
PackConfiguration(const Configuration& aConfiguration)
{
  std::string bytes;
  PutNames(bytes, aConfiguration.voters);
  PutNames(bytes, aConfiguration.learners);
  return bytes;
}

std::optional<Configuration>
UnpackConfiguration(std::string_view aBytes)
{
  std::optional<std::vector<InstanceId>> voters = TakeNames(aBytes);
  if (!voters) {
    return std::nullopt;
  }
  std::optional<std::vector<InstanceId>> learners = TakeNames(aBytes);
  if (!learners || !aBytes.empty()) {
    return std::nullopt;
  }
  return Configuration{ std::move(*voters), std::move(*learners) };
}

} // namespace hyssoppaddle::agreement
