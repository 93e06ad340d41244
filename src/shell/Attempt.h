// One attempt to run a relayed request on one upstream.
#ifndef hyssoppaddle_shell_Attempt_h
#define hyssoppaddle_shell_Attempt_h

#include "request/Events.h"
#include "shell/CallerLink.h"
#include "shell/Deadlines.h"
#include "shell/Signal.h"
#include "shell/UpstreamPool.h"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace hyssoppaddle::shell {

class Exchange;
class Relay;

enum class AttemptResult : std::uint8_t
{
  Finished,        // the complete answer was sent to the caller
  Refused,         // the upstream reports that it did not run the request
  Failed,          // before any byte of the answer was sent to the caller
  AnswerTruncated, // after part of the answer was sent
  CallerLost,      // the caller's connection or body failed
  Abandoned,       // stopped by the reducer
};

struct AttemptEnd
{
  AttemptResult result = AttemptResult::Failed;
  request::AttemptNumber attempt = 0;
  request::AttemptPhase phase = request::AttemptPhase::Connecting;
  std::string reason;
  ErrorValue callerError;
  std::uint32_t status = 0;
  Duration latency{ 0 }; // start of the attempt to answer header
};

// Why an attempt is interrupted.
enum class Interruption : std::uint8_t
{
  None,
  Deadline,
  Abandoned,
  CallerLost,
};

class Attempt
{
public:
  Attempt(Exchange& aExchange, request::StartAttempt aStart);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  Awaitable<AttemptEnd> Run();
  void Interrupt(Interruption aCause);
  [[nodiscard]] request::AttemptNumber Number() const;

private:
  enum class SendResult : std::uint8_t
  {
    Answered, // the header of the answer was read
    Failed,
    Stale, // the reused connection was closed; retry on a new one
  };

  Awaitable<bool> BufferBody();
  Awaitable<bool> Connect();
  Awaitable<SendResult> SendRequest();
  Awaitable<SendResult> SendBuffered(const std::string& aHeader);
  Awaitable<SendResult> SendStreamed(const std::string& aHeader);
  Awaitable<void> PumpBody();
  Awaitable<void> StopPump();
  Awaitable<ErrorValue> ReadAnswerHeader();
  Awaitable<AttemptEnd> Answer();
  Awaitable<AttemptEnd> RelayAnswer();
  Awaitable<bool> RelayBody(const std::string& aHeader);
  Awaitable<ErrorValue> ReadAnswerPiece(asio::mutable_buffer aTarget,
                                        std::size_t& aBytesRead);
  Awaitable<bool> WritePiece(std::string_view aHeader,
                             asio::const_buffer aPiece);
  [[nodiscard]] bool IsStale(const ErrorValue& aError) const;
  [[nodiscard]] bool ReportsNotRun() const;
  [[nodiscard]] bool HasBody() const;
  [[nodiscard]] std::size_t AnswerBufferBytes() const;
  void Advance(request::AttemptPhase aPhase);
  void ReturnConnection();
  AttemptEnd End(AttemptResult aResult) const;
  AttemptEnd Failure(std::string aReason) const;
  AttemptEnd CallerFailure(ErrorValue aError) const;
  [[nodiscard]] Duration TimeLeft() const;

  Exchange& exchange;
  Relay& relay;
  CallerLink& caller;
  request::StartAttempt start;
  SteadyClock::time_point startedAt;
  request::AttemptPhase phase = request::AttemptPhase::Connecting;
  Interruption interruption = Interruption::None;
  Deadline deadline;
  std::unique_ptr<UpstreamConnection> connection;
  std::optional<AnswerParser> answer;
  std::string failure;    // error on the upstream connection
  ErrorValue callerError; // error on the caller's connection
  Duration latency{ 0 };
  bool readingCaller = false;
  bool pumping = false;
  bool pumpMustStop = false;
  Signal pumpDone;
};

} // namespace hyssoppaddle::shell

#endif
