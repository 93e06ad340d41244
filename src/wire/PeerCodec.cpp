// Codec of messages between entry instances, the payloads of frames.
#include "wire/Codec.h"
#include "wire/Decode.h"
#include "wire/FrameReader.h"
#include "wire/PeerSchema.h"

namespace hyssoppaddle::wire {

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  return Encode(aMessage);
}

Result<PeerMessage>
DecodePeerMessage(std::string_view aBytes)
{
  return Decode<PeerMessage>(aBytes, kMaxFrameBytes, "peer message");
}

} // namespace hyssoppaddle::wire
