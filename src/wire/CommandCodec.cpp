// Codecs of commands and configurations, the payloads of log entries.
#include "wire/Codec.h"
#include "wire/CommandSchema.h"
#include "wire/Decode.h"
#include "wire/PeerSchema.h"

namespace hyssoppaddle::wire {

std::string
EncodeCommand(const state::Command& aCommand)
{
  return Encode(aCommand);
}

Result<state::Command>
DecodeCommand(std::string_view aBytes)
{
  return Decode<state::Command>(aBytes, kMaxCommandBytes, "command");
}

std::string
EncodeCommandBody(const state::CommandBody& aBody)
{
  return Encode(aBody);
}

std::string
EncodeConfiguration(const agreement::Configuration& aConfiguration)
{
  return Encode(aConfiguration);
}

Result<agreement::Configuration>
DecodeConfiguration(std::string_view aBytes)
{
  return Decode<agreement::Configuration>(
    aBytes, kMaxCommandBytes, "configuration");
}

} // namespace hyssoppaddle::wire
