// Addresses in settings: numeric, so that no name service is needed at start.
#ifndef hyssoppaddle_config_Address_h
#define hyssoppaddle_config_Address_h

#include <cstdint>
#include <string_view>

namespace hyssoppaddle::config {

// "1.2.3.4:80" or "[::1]:80" with a port of at least aLowestPort.
bool
IsAddress(std::string_view aText, std::uint16_t aLowestPort);

} // namespace hyssoppaddle::config

#endif
