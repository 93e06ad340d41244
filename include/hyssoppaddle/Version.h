// Versions of the protocol and of the stored data.
#ifndef hyssoppaddle_Version_h
#define hyssoppaddle_Version_h

#include <cstdint>

namespace hyssoppaddle {

// Version of the protocol between entry instances. A Greeting with another
// version is rejected.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

// Version of segment and snapshot files.
inline constexpr std::uint32_t kStorageFormatVersion = 1;

} // namespace hyssoppaddle

#endif
