// Parses and formats numeric addresses.
#include "shell/Endpoint.h"

#include <charconv>
#include <sstream>

namespace hyssoppaddle::shell {

namespace {

tl::unexpected<Error>
BadAddress(std::string_view aText)
{
  return Fail(ErrorCode::InvalidArgument,
              "not a numeric address with a port: " + std::string(aText));
}

} // namespace

Result<Tcp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddress(aText);
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view portText = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, problem] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (problem != std::errc() || end != portText.data() + portText.size()) {
    return BadAddress(aText);
  }
  ErrorValue error;
  const auto address = asio::ip::make_address(std::string(host), error);
  if (error) {
    return BadAddress(aText);
  }
  return Tcp::endpoint(address, port);
}

std::string
FormatEndpoint(const Tcp::endpoint& aEndpoint)
{
  std::ostringstream text;
  text << aEndpoint;
  return text.str();
}

} // namespace hyssoppaddle::shell
