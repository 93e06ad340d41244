// Versions that users and other processes can see.
#ifndef hyssoppaddle_Version_h
#define hyssoppaddle_Version_h

#include <cstdint>

namespace hyssoppaddle {

// Version of the frames between entry instances; a greeting with another one is
// refused.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;

// Version of segment and snapshot files.
inline constexpr std::uint32_t kStorageFormatVersion = 1;

} // namespace hyssoppaddle

#endif
