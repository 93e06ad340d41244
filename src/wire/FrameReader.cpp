// Splits a byte stream into frames. Consumed bytes are erased once they make up
// half of the buffer, so that each byte is moved at most twice.
#include "wire/FrameReader.h"

#include <cstdint>

namespace hyssoppaddle::wire {

namespace {

constexpr unsigned kBitsPerByte = 8;
// A larger buffer is freed once it is empty.
constexpr std::size_t kMaxEmptyBufferBytes = 1024UL * 1024;

std::size_t
ReadLength(std::string_view aHeader)
{
  std::size_t length = 0;
  for (const char byte : aHeader) {
    length = (length << kBitsPerByte) | static_cast<std::uint8_t>(byte);
  }
  return length;
}

} // namespace

std::string
EncodeFrame(std::string_view aPayload)
{
  std::string frame;
  frame.reserve(kFrameHeaderBytes + aPayload.size());
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    frame.push_back(
      static_cast<char>(aPayload.size() >> ((i - 1) * kBitsPerByte)));
  }
  frame.append(aPayload);
  return frame;
}

FrameReader::FrameReader(std::size_t aMaxBytes)
  : maxBytes(aMaxBytes)
{
}

void
FrameReader::Feed(std::string_view aBytes)
{
  this->buffer.append(aBytes);
}

Result<std::optional<std::string>>
FrameReader::Next()
{
  const std::string_view pending =
    std::string_view(this->buffer).substr(this->consumed);
  if (pending.size() < kFrameHeaderBytes) {
    return std::optional<std::string>();
  }
  const std::size_t length = ReadLength(pending.substr(0, kFrameHeaderBytes));
  if (length == 0) {
    return Fail(ErrorCode::Malformed, "the frame is empty");
  }
  if (length > this->maxBytes) {
    return Fail(ErrorCode::TooLarge,
                "the frame has " + std::to_string(length) + " bytes; at most " +
                  std::to_string(this->maxBytes) + " are allowed");
  }
  if (pending.size() - kFrameHeaderBytes < length) {
    return std::optional<std::string>();
  }
  std::string payload(pending.substr(kFrameHeaderBytes, length));
  this->consumed += kFrameHeaderBytes + length;
  if (this->consumed * 2 >= this->buffer.size()) {
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
  }
  if (this->buffer.empty() && this->buffer.capacity() > kMaxEmptyBufferBytes) {
    this->buffer.shrink_to_fit();
  }
  return std::optional<std::string>(std::move(payload));
}

} // namespace hyssoppaddle::wire
