// Splits a byte stream into frames: 4-byte big-endian length, then that many
// bytes.
#ifndef hyssoppaddle_wire_FrameReader_h
#define hyssoppaddle_wire_FrameReader_h

#include "base/Result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hyssoppaddle::wire {

// Holds an append with the largest batch of commands (16 MiB) and the entries
// before it.
inline constexpr std::size_t kMaxFrameBytes = 17UL * 1024 * 1024;
inline constexpr std::size_t kFrameHeaderBytes = 4;

// Prepends the length. The payload must not be larger than kMaxFrameBytes.
std::string
EncodeFrame(std::string_view aPayload);

class FrameReader
{
public:
  explicit FrameReader(std::size_t aMaxBytes = kMaxFrameBytes);

  // Applies from the next frame on.
  void SetMaxBytes(std::size_t aMaxBytes) { this->maxBytes = aMaxBytes; }

  // Adds received bytes.
  void Feed(std::string_view aBytes);

  // Returns the next complete payload, or nothing if more bytes are needed.
  // Returns TooLarge, or Malformed for an empty frame, if the stream must be
  // closed.
  Result<std::optional<std::string>> Next();

private:
  std::size_t maxBytes;
  std::string buffer;
  std::size_t consumed = 0;
};

} // namespace hyssoppaddle::wire

#endif
