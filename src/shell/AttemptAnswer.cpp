// Reads the upstream's answer and relays it to the caller.
#include "shell/Attempt.h"

#include "shell/Exchange.h"
#include "shell/HttpText.h"
#include "shell/Relay.h"

#include <algorithm>
#include <cstdio>
#include <limits>

namespace hyssoppaddle::shell {

namespace {

constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::uint32_t kFirstFinalStatus = 200;
constexpr std::uint32_t kSwitchingProtocols = 101;
// Beast 1.74 treats an unset limit as zero.
constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kMinAnswerBufferBytes = 1024;

} // namespace

Awaitable<ErrorValue>
Attempt::ReadAnswerHeader()
{
  ErrorValue error;
  do {
    this->answer.emplace();
    this->answer->header_limit(this->relay.limits.headerBytes);
    this->answer->body_limit(kUnlimited);
    this->answer->skip(this->caller.IsHead());
    co_await http::async_read_header(this->connection->socket,
                                     this->connection->buffer,
                                     *this->answer,
                                     StoreError(error));
    // Interim (1xx) answers are not relayed.
  } while (!error && this->answer->get().result_int() < kFirstFinalStatus &&
           this->answer->get().result_int() != kSwitchingProtocols);
  this->latency =
    std::chrono::duration_cast<Duration>(SteadyClock::now() - this->startedAt);
  co_return error;
}

bool
Attempt::ReportsNotRun() const
{
  const auto& message = this->answer->get();
  const auto value = message["Hyssoppaddle-Not-Run"];
  return message.result_int() == kServiceUnavailable &&
         EqualIgnoringCase({ value.data(), value.size() }, "true");
}

bool
Attempt::HasBody() const
{
  return !this->answer->is_done();
}

Awaitable<AttemptEnd>
Attempt::Answer()
{
  if (this->ReportsNotRun()) {
    co_return this->End(AttemptResult::Refused);
  }
  if (!HasSelfDefinedLength(*this->answer) ||
      this->answer->get().result_int() < kFirstFinalStatus) {
    co_return this->Failure("the answer has no known end");
  }
  this->Advance(request::AttemptPhase::Answering);
  AttemptEnd end = co_await this->RelayAnswer();
  end.status = this->answer->get().result_int();
  co_return end;
}

Awaitable<AttemptEnd>
Attempt::RelayAnswer()
{
  const bool keepAlive = this->exchange.keepAlive && this->caller.BodyDone();
  this->exchange.keepAlive = keepAlive;
  const std::string header = CallerHeader(*this->answer, keepAlive);
  if (!co_await this->RelayBody(header)) {
    co_return this->callerError ? this->CallerFailure(this->callerError)
                                : this->Failure(this->failure);
  }
  co_return this->End(AttemptResult::Finished);
}

std::size_t
Attempt::AnswerBufferBytes() const
{
  const std::size_t most = this->relay.limits.relayBufferBytes;
  const auto length = this->answer->content_length();
  if (!length || *length > most) {
    return most;
  }
  return std::max<std::size_t>(*length, kMinAnswerBufferBytes);
}

Awaitable<ErrorValue>
Attempt::ReadAnswerPiece(asio::mutable_buffer aTarget, std::size_t& aBytesRead)
{
  // An answer that fits into the buffer is read completely before its header is
  // sent, so that a truncated answer can still be replaced by an error reply.
  const auto length = this->answer->content_length();
  const bool whole = length && *length <= aTarget.size();
  ErrorValue error;
  aBytesRead = 0;
  do {
    std::size_t bytesRead = 0;
    error = co_await ReadPiece(this->connection->socket,
                               this->connection->buffer,
                               *this->answer,
                               aTarget + aBytesRead,
                               bytesRead);
    aBytesRead += bytesRead;
  } while (!error && whole && !this->answer->is_done());
  co_return error;
}

Awaitable<bool>
Attempt::WritePiece(std::string_view aHeader, asio::const_buffer aPiece)
{
  std::array<char, 24> sizeLine{};
  const bool chunked = this->answer->chunked() && !this->caller.IsHead();
  const bool framed = chunked && aPiece.size() > 0;
  const bool last = chunked && this->answer->is_done();
  const int digits =
    std::snprintf(sizeLine.data(), sizeLine.size(), "%zx\r\n", aPiece.size());
  const std::string_view end = framed ? "\r\n" : "";
  const std::string_view terminator = last ? "0\r\n\r\n" : "";
  const std::array<asio::const_buffer, 5> buffers{
    asio::buffer(aHeader),
    asio::buffer(sizeLine.data(),
                 framed ? static_cast<std::size_t>(digits) : 0),
    aPiece,
    asio::buffer(end),
    asio::buffer(terminator),
  };
  this->Advance(request::AttemptPhase::Relaying);
  this->callerError = co_await this->caller.Write(buffers);
  co_return !this->callerError;
}

Awaitable<bool>
Attempt::RelayBody(const std::string& aHeader)
{
  if (!this->HasBody()) {
    co_return co_await this->WritePiece(aHeader, {});
  }
  const std::size_t size = this->AnswerBufferBytes();
  const auto storage = std::make_unique_for_overwrite<char[]>(size);
  std::string_view header = aHeader;
  while (!this->answer->is_done()) {
    std::size_t bytesRead = 0;
    const ErrorValue error = co_await this->ReadAnswerPiece(
      asio::buffer(storage.get(), size), bytesRead);
    if (error || this->interruption != Interruption::None) {
      this->failure = "read: " + error.message();
      co_return false;
    }
    if (!co_await this->WritePiece(header,
                                   asio::buffer(storage.get(), bytesRead))) {
      co_return false;
    }
    header = {};
  }
  co_return true;
}

void
Attempt::ReturnConnection()
{
  const bool usable =
    this->interruption == Interruption::None && this->answer->is_done() &&
    this->answer->keep_alive() && this->connection->buffer.size() == 0 &&
    this->connection->socket.is_open() && this->caller.BodyDone();
  if (usable) {
    const auto limit = this->relay.hooks.connectionsOf(this->start.upstream);
    this->relay.pool.Release(
      this->start.address, std::move(this->connection), limit);
  }
}

} // namespace hyssoppaddle::shell
