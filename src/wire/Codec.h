// msgpack codecs for commands, configurations and peer messages. Decoders
// accept arbitrary bytes and return Malformed or TooLarge for invalid input.
// They never throw, and the memory they allocate is bounded by the size of the
// input.
#ifndef hyssoppaddle_wire_Codec_h
#define hyssoppaddle_wire_Codec_h

#include "agreement/Messages.h"
#include "base/Result.h"
#include "state/Commands.h"
#include "wire/PeerMessage.h"

#include <string>
#include <string_view>

namespace hyssoppaddle::wire {

// Commands and configurations above this are refused.
inline constexpr std::size_t kMaxCommandBytes = 1024UL * 1024;

std::string
EncodeCommand(const state::Command& aCommand);
Result<state::Command>
DecodeCommand(std::string_view aBytes);

// Encodes the body alone. Equal bodies have equal encodings.
std::string
EncodeCommandBody(const state::CommandBody& aBody);

std::string
EncodeConfiguration(const agreement::Configuration& aConfiguration);
Result<agreement::Configuration>
DecodeConfiguration(std::string_view aBytes);

std::string
EncodePeerMessage(const PeerMessage& aMessage);
Result<PeerMessage>
DecodePeerMessage(std::string_view aBytes);

} // namespace hyssoppaddle::wire

#endif
