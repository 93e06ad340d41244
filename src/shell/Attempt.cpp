// Connects to the upstream and sends the request.
#include "shell/Attempt.h"

#include "shell/Endpoint.h"
#include "shell/Exchange.h"
#include "shell/HandlerErrors.h"
#include "shell/Relay.h"

#include <algorithm>
#include <cstdio>

namespace hyssoppaddle::shell {

namespace {

// A non-idempotent request reuses only a connection that was idle for a short
// time. If the upstream closed an idle connection while the request was sent,
// it would be unknown whether the request ran.
constexpr Duration kMaxIdleForNonIdempotent{ std::chrono::seconds(1) };

} // namespace

Attempt::Attempt(Exchange& aExchange, request::StartAttempt aStart)
  : exchange(aExchange)
  , relay(*aExchange.relay)
  , caller(aExchange.caller)
  , start(std::move(aStart))
  , startedAt(SteadyClock::now())
  , deadline(*this->relay.deadlines,
             [this] { this->Interrupt(Interruption::Deadline); })
  , pumpDone(this->relay.io.get_executor())
{
}

Attempt::~Attempt() = default;

request::AttemptNumber
Attempt::Number() const
{
  return this->start.attempt;
}

Duration
Attempt::TimeLeft() const
{
  return this->start.timeLeft - std::chrono::duration_cast<Duration>(
                                  SteadyClock::now() - this->startedAt);
}

void
Attempt::Advance(request::AttemptPhase aPhase)
{
  if (aPhase > this->phase) {
    this->phase = aPhase;
    this->relay.hooks.submit(request::AttemptAdvanced{
      this->start.request, this->start.attempt, aPhase });
  }
}

void
Attempt::Interrupt(Interruption aCause)
{
  if (this->interruption == Interruption::None) {
    this->interruption = aCause;
  }
  if (this->connection) {
    ErrorValue ignored;
    this->connection->socket.close(ignored);
  }
  if (this->phase == request::AttemptPhase::Relaying) {
    // Part of the answer has been sent. Closing the connection is the only way
    // to tell the caller that the answer is incomplete.
    this->caller.Close();
  } else if (this->readingCaller) {
    this->caller.Cancel();
  }
}

AttemptEnd
Attempt::End(AttemptResult aResult) const
{
  AttemptEnd end;
  end.result = aResult;
  end.attempt = this->start.attempt;
  end.phase = this->phase;
  end.latency = this->latency;
  return end;
}

AttemptEnd
Attempt::Failure(std::string aReason) const
{
  if (this->interruption == Interruption::Abandoned) {
    return this->End(AttemptResult::Abandoned);
  }
  if (this->interruption == Interruption::CallerLost) {
    return this->End(AttemptResult::CallerLost);
  }
  AttemptEnd end = this->End(this->phase == request::AttemptPhase::Relaying
                               ? AttemptResult::AnswerTruncated
                               : AttemptResult::Failed);
  end.reason = this->interruption == Interruption::Deadline
                 ? "the deadline has passed"
                 : std::move(aReason);
  return end;
}

AttemptEnd
Attempt::CallerFailure(ErrorValue aError) const
{
  if (this->interruption != Interruption::None) {
    return this->Failure("");
  }
  AttemptEnd end = this->End(AttemptResult::CallerLost);
  end.callerError = aError;
  return end;
}

Awaitable<AttemptEnd>
Attempt::Run()
{
  this->deadline.Set(this->start.timeLeft);
  if (!co_await this->BufferBody()) {
    co_return this->CallerFailure(this->callerError);
  }
  SendResult sent = SendResult::Stale;
  while (sent == SendResult::Stale) {
    if (!co_await this->Connect()) {
      co_return this->Failure(this->failure);
    }
    sent = co_await this->SendRequest();
  }
  AttemptEnd end;
  if (this->callerError) {
    end = this->CallerFailure(this->callerError);
  } else if (sent == SendResult::Failed) {
    end = this->Failure(this->failure);
  } else {
    end = co_await this->Answer();
  }
  co_await this->StopPump();
  if (end.result == AttemptResult::Finished ||
      end.result == AttemptResult::Refused) {
    this->ReturnConnection();
  }
  co_return end;
}

Awaitable<bool>
Attempt::BufferBody()
{
  this->readingCaller = true;
  this->callerError = co_await this->caller.SendContinue();
  if (!this->callerError && this->exchange.head.arrived.replayable) {
    this->callerError = co_await this->caller.ReadWholeBody(
      this->exchange.body, this->relay.limits.replayBytes);
  }
  this->readingCaller = false;
  co_return !this->callerError && this->interruption == Interruption::None;
}

Awaitable<bool>
Attempt::Connect()
{
  const auto& limits = this->relay.limits;
  // A stale connection is replaced by a new one, not by another idle one.
  const bool mayReuse = !this->connection;
  this->connection =
    mayReuse ? this->relay.pool.Acquire(this->start.address,
                                        this->exchange.head.arrived.idempotent
                                          ? limits.idleTimeout
                                          : kMaxIdleForNonIdempotent)
             : nullptr;
  if (this->connection) {
    co_return true;
  }
  const auto endpoint = ParseEndpoint(this->start.address);
  if (!endpoint) {
    this->failure = endpoint.error().message;
    co_return false;
  }
  this->connection = std::make_unique<UpstreamConnection>(this->relay.io);
  auto& socket = this->connection->socket;
  ErrorValue error;
  co_await socket.async_connect(*endpoint, StoreError(error));
  if (error || this->interruption != Interruption::None) {
    this->failure = "connect: " + error.message();
    co_return false;
  }
  socket.set_option(Tcp::no_delay(true), error);
  co_return true;
}

Awaitable<Attempt::SendResult>
Attempt::SendRequest()
{
  const std::string header = UpstreamHeader(this->caller.Request(),
                                            this->exchange.head,
                                            this->caller.RemoteAddress(),
                                            this->TimeLeft());
  this->Advance(request::AttemptPhase::Sending);
  if (this->exchange.head.arrived.replayable) {
    co_return co_await this->SendBuffered(header);
  }
  co_return co_await this->SendStreamed(header);
}

bool
Attempt::IsStale(const ErrorValue& aError) const
{
  return this->connection->reused && this->interruption == Interruption::None &&
         this->connection->buffer.size() == 0 &&
         (aError == http::error::end_of_stream ||
          aError == asio::error::connection_reset ||
          aError == asio::error::broken_pipe);
}

Awaitable<Attempt::SendResult>
Attempt::SendBuffered(const std::string& aHeader)
{
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(aHeader), asio::buffer(this->exchange.body)
  };
  ErrorValue error;
  const std::size_t written = co_await asio::async_write(
    this->connection->socket, buffers, StoreError(error));
  if (error) {
    this->failure = "write: " + error.message();
    const bool safe = written == 0 || this->exchange.head.arrived.idempotent;
    co_return safe&& this->IsStale(error) ? SendResult::Stale
                                          : SendResult::Failed;
  }
  error = co_await this->ReadAnswerHeader();
  if (error) {
    this->failure = "read: " + error.message();
    const bool safe = this->exchange.head.arrived.idempotent;
    co_return safe&& this->IsStale(error) ? SendResult::Stale
                                          : SendResult::Failed;
  }
  co_return SendResult::Answered;
}

Awaitable<Attempt::SendResult>
Attempt::SendStreamed(const std::string& aHeader)
{
  ErrorValue error;
  const std::size_t written = co_await asio::async_write(
    this->connection->socket, asio::buffer(aHeader), StoreError(error));
  if (error) {
    this->failure = "write: " + error.message();
    co_return written == 0 && this->IsStale(error) ? SendResult::Stale
                                                   : SendResult::Failed;
  }
  this->pumping = true;
  asio::co_spawn(this->relay.io, this->PumpBody(), DetachedWithLog("attempt"));
  error = co_await this->ReadAnswerHeader();
  if (error) {
    this->failure = "read: " + error.message();
    co_return SendResult::Failed;
  }
  co_return SendResult::Answered;
}

Awaitable<void>
Attempt::PumpBody()
{
  const std::size_t size = this->relay.limits.relayBufferBytes;
  const auto storage = std::make_unique_for_overwrite<char[]>(size);
  const bool chunked = this->caller.Request().chunked();
  std::array<char, 24> sizeLine{};
  ErrorValue error;
  while (!error && !this->pumpMustStop && !this->caller.BodyDone()) {
    std::size_t bytesRead = 0;
    this->readingCaller = true;
    this->callerError = co_await this->caller.ReadBodyPiece(
      asio::buffer(storage.get(), size), bytesRead);
    this->readingCaller = false;
    if (this->callerError) {
      break;
    }
    const int digits =
      std::snprintf(sizeLine.data(), sizeLine.size(), "%zx\r\n", bytesRead);
    const bool framed = chunked && bytesRead > 0;
    const bool last = chunked && this->caller.BodyDone();
    const std::string_view end = framed ? "\r\n" : "";
    const std::string_view terminator = last ? "0\r\n\r\n" : "";
    const std::array<asio::const_buffer, 4> buffers{
      asio::buffer(sizeLine.data(),
                   framed ? static_cast<std::size_t>(digits) : 0),
      asio::buffer(storage.get(), bytesRead),
      asio::buffer(end),
      asio::buffer(terminator),
    };
    co_await asio::async_write(
      this->connection->socket, buffers, StoreError(error));
  }
  if (this->callerError && !this->pumpMustStop) {
    // Stops waiting for an answer, because the request cannot be completed.
    ErrorValue ignored;
    this->connection->socket.close(ignored);
  }
  this->pumping = false;
  this->pumpDone.Notify();
}

Awaitable<void>
Attempt::StopPump()
{
  if (!this->pumping) {
    co_return;
  }
  this->pumpMustStop = true;
  if (!this->caller.BodyDone()) {
    ErrorValue ignored;
    this->connection->socket.close(ignored);
    if (this->readingCaller) {
      this->caller.Cancel();
    }
  }
  while (this->pumping) {
    co_await this->pumpDone.Wait();
  }
}

} // namespace hyssoppaddle::shell
