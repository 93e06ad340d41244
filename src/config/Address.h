// Syntax check of the addresses in settings. Addresses are numeric, so that
// startup does not depend on name resolution.
#ifndef hyssoppaddle_config_Address_h
#define hyssoppaddle_config_Address_h

#include <cstdint>
#include <string_view>

namespace hyssoppaddle::config {

// Accepts "1.2.3.4:80" or "[::1]:80" with a port of at least aLowestPort.
bool
IsAddress(std::string_view aText, std::uint16_t aLowestPort);

} // namespace hyssoppaddle::config

#endif
