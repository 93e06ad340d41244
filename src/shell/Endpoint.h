// Parses and formats the numeric addresses used in settings and announcements.
#ifndef hyssoppaddle_shell_Endpoint_h
#define hyssoppaddle_shell_Endpoint_h

#include "base/Result.h"
#include "shell/Asio.h"

#include <string>
#include <string_view>

namespace hyssoppaddle::shell {

// Accepts "127.0.0.1:7000" or "[::1]:7000". Host names are rejected, because
// nothing is resolved.
Result<Tcp::endpoint>
ParseEndpoint(std::string_view aText);

// The inverse of ParseEndpoint.
std::string
FormatEndpoint(const Tcp::endpoint& aEndpoint);

} // namespace hyssoppaddle::shell

#endif
