// Fuzzes the decoders of messages from clients, workers and operators of the
// platform. Any input must give a value or no value, without a crash.
#include "../platform/Decode.h"
#include "../platform/PlatformProtocol.h"

#include <cstddef>
#include <cstdint>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace hyssoppaddle;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  (void)platform::DecodeJob(text);
  (void)platform::DecodeAnnouncement("i-1", text);
  (void)platform::DecodeSetup(text);
  (void)platform::DecodeWave(text);
  (void)platform::ParseTaskName(text);
  const platform::PlatformProtocol protocol({ "node", "a:1", "o:1" });
  const node::OutboundResult result{ node::Delivery::Answered, 200, text };
  (void)protocol.DecodeAnswer(dispatch::RenewLease{}, result);
  (void)protocol.DecodeAnswer(dispatch::AskAdvice{}, result);
  (void)protocol.DecodeAnswer(dispatch::ListInstances{}, result);
  return 0;
}
