// What a deployment's wire protocol has to translate. The node speaks to
// callers, upstreams, operators and the owner of the instances only through it.
#ifndef hyssoppaddle_node_Protocol_h
#define hyssoppaddle_node_Protocol_h

#include "api/ControlHandler.h"
#include "dispatch/Instructions.h"
#include "node/Calls.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hyssoppaddle::node {

struct OutboundRequest
{
  std::string address;
  std::string method;
  std::string target;
  std::vector<api::HttpHeader> headers;
  std::string body;
  Duration timeLimit{ 0 }; // from the sending to the whole answer
};

enum class Delivery : std::uint8_t
{
  Answered,
  NotSent, // no byte has left: it cannot have been carried out
  Unknown,
};

struct OutboundResult
{
  Delivery delivery = Delivery::Unknown;
  std::uint32_t status = 0;
  std::string body;
};

class Protocol
{
public:
  virtual ~Protocol() = default;

  // Header fields that decoding needs: the others are not forwarded.
  [[nodiscard]] virtual std::span<const std::string_view> ForwardedHeaders()
    const = 0;
  // Never fails: what cannot be read becomes a MalformedCall.
  [[nodiscard]] virtual Call Decode(const api::HttpRequest& aRequest) const = 0;
  [[nodiscard]] virtual api::HttpReply Encode(const Reply& aReply) const = 0;
  // How long the sender waits for an answer.
  [[nodiscard]] virtual Duration TimeLimit(
    const api::HttpRequest& aRequest) const = 0;

  [[nodiscard]] virtual OutboundRequest EncodeInstruction(
    const dispatch::Instruction& aInstruction) const = 0;
  [[nodiscard]] virtual dispatch::Answer DecodeAnswer(
    const dispatch::Instruction& aInstruction,
    const OutboundResult& aResult) const = 0;
};

} // namespace hyssoppaddle::node

#endif
