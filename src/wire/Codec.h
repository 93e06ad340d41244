// msgpack codecs of everything that leaves a process or reaches its disk.
// Decoders accept any bytes and answer Malformed or TooLarge; they never throw
// and never allocate more than the input justifies.
#ifndef hyssoppaddle_wire_Codec_h
#define hyssoppaddle_wire_Codec_h

#include "agreement/Messages.h"
#include "base/Result.h"
#include "state/Commands.h"
#include "wire/PeerMessage.h"

#include <string>
#include <string_view>

namespace hyssoppaddle::wire {

std::string
EncodeCommand(const state::Command& aCommand);
Result<state::Command>
DecodeCommand(std::string_view aBytes);

// The body alone. Equal bodies have equal bytes.
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
