// Validates numeric addresses with inet_pton.
#include "config/Address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace hyssoppaddle::config {

namespace {

bool
IsPort(std::string_view aText, std::uint16_t aLowest)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, port);
  return error == std::errc() && rest == end && port >= aLowest;
}

bool
IsIp(std::string_view aText, int aFamily)
{
  // inet_pton stops at a NUL and would ignore the bytes after it.
  if (aText.find('\0') != std::string_view::npos) {
    return false;
  }
  unsigned char bytes[sizeof(in6_addr)];
  return inet_pton(aFamily, std::string(aText).c_str(), bytes) == 1;
}

} // namespace

bool
IsAddress(std::string_view aText, std::uint16_t aLowestPort)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos ||
      !IsPort(aText.substr(colon + 1), aLowestPort)) {
    return false;
  }
  const std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    return IsIp(host.substr(1, host.size() - 2), AF_INET6);
  }
  return IsIp(host, AF_INET);
}

} // namespace hyssoppaddle::config
