// Interface of a deployment's wire protocol. The node communicates with
// callers, upstreams, operators and the instance owner only through it.
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
  // From Send until the complete answer is received, including the wait for a
  // connection.
  Duration timeLimit{ 0 };
  // It changes nothing, so it is sent once more on a new connection when one
  // that was kept open fails. The process at the other end may have restarted.
  bool repeatable = false;
};

enum class Delivery : std::uint8_t
{
  Answered,
  NotSent, // no byte was sent, so it cannot have been executed
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

  // Header fields that decoding needs; other fields are not forwarded to the
  // leader.
  [[nodiscard]] virtual std::span<const std::string_view> ForwardedHeaders()
    const = 0;
  // Never fails; a request that cannot be decoded becomes a MalformedCall.
  [[nodiscard]] virtual Call Decode(const api::HttpRequest& aRequest) const = 0;
  [[nodiscard]] virtual api::HttpReply Encode(const Reply& aReply) const = 0;
  // True when the body of the request or of its reply can be so large that its
  // transfer through another node takes longer than callers wait. The sender
  // of such a call follows a Redirected reply.
  [[nodiscard]] virtual bool IsBulk(const api::HttpRequest& aRequest) const = 0;
  // Must be cheap: it is also computed for calls that are never handled.
  [[nodiscard]] virtual CallClass ClassOf(
    const api::HttpRequest& aRequest) const = 0;
  // How long the sender of the request waits for a reply.
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
