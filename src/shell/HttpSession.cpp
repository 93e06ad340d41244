// Serves the requests of one connection, one after the other.
#include "shell/HttpSession.h"

#include "shell/HandlerErrors.h"
#include "shell/Relay.h"
#include "shell/RequestProblems.h"

#include <iterator>

namespace hyssoppaddle::shell {

namespace {

// Limit for the bytes that are read and discarded while waiting for the other
// side to close the connection.
constexpr std::size_t kMaxLingerBytes = 1024UL * 1024;
constexpr Duration kLingerTimeout{ std::chrono::seconds(1) };
constexpr std::size_t kReadBytes = 4096;
// A larger buffer is freed while the connection is idle.
constexpr std::size_t kMaxIdleBufferBytes = 8192;
// A header that needs a larger buffer draws from the memory budget.
constexpr std::size_t kFreeHeaderBytes = 4096;
// The buffer doubles, and the parser copies the fields.
constexpr std::size_t kHeaderCopies = 3;
// Connections that are closed at most to make room for one request.
constexpr int kMaxClosedForMemory = 8;
constexpr unsigned kHttp11 = 11;

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServer> aServer,
                         Socket aSocket,
                         std::string aRemoteAddress,
                         bool aOverLimit)
  : server(std::move(aServer))
  , stream(std::move(aSocket), this->server->tls.get())
  , remoteAddress(std::move(aRemoteAddress))
  , deadline(*this->server->deadlines, [this] { this->OnDeadline(); })
  , overLimit(aOverLimit)
  , ownsDescriptor(!aOverLimit && this->server->options.descriptors)
  , lease(this->server->options.memory,
          this->server->options.memoryOwner,
          std::string(this->Client()))
  , place(this)
  , holderPlace(this)
{
  this->server->sessions.insert(this);
  this->server->refusedSessions += aOverLimit ? 1 : 0;
}

HttpSession::~HttpSession()
{
  this->SetIdle(false);
  this->ReleaseDescriptor();
  this->server->sessions.erase(this);
  this->server->refusedSessions -= this->overLimit ? 1 : 0;
}

void
HttpSession::SetIdle(bool aIdle)
{
  if (aIdle == this->idle) {
    return;
  }
  this->idle = aIdle;
  if (this->overLimit) {
    return; // closing it would make no room
  }
  std::list<HttpSession*>& idleSessions = this->server->idleSessions;
  if (aIdle) {
    this->idleSince = SteadyClock::now();
    this->idlePosition = idleSessions.insert(idleSessions.end(), this);
  } else {
    idleSessions.erase(this->idlePosition);
  }
}

void
HttpSession::ReleaseDescriptor()
{
  if (std::exchange(this->ownsDescriptor, false)) {
    this->server->options.descriptors->Release(this->server->options.owner);
  }
}

void
HttpSession::Spawn(std::shared_ptr<HttpSession> aSession)
{
  auto& io = aSession->server->io;
  asio::co_spawn(
    io,
    [session = std::move(aSession)]() -> Awaitable<void> {
      co_await session->Run();
    },
    DetachedWithLog("session"));
}

void
HttpSession::CloseWhenIdle()
{
  if (this->idle) {
    this->stream.Close();
    this->SetIdle(false);
    this->ReleaseDescriptor();
  }
}

void
HttpSession::Evict(std::string_view aCause)
{
  this->evicted = true;
  this->stream.Close();
  this->EndProgress();
  this->lease.Release();
  this->ReleaseDescriptor();
  this->server->CountRefusal(aCause, this->Client());
}

bool
HttpSession::AcquireMemory(std::size_t aBytes)
{
  this->MarkProgress();
  bool granted = this->lease.GrowTo(aBytes);
  for (int i = 0; !granted && i < kMaxClosedForMemory; ++i) {
    if (!this->server->CloseSlowest(this->server->memoryHolders,
                                    "closed_for_memory")) {
      return false;
    }
    granted = this->lease.GrowTo(aBytes);
  }
  if (granted) {
    this->MarkProgress();
  }
  return granted;
}

void
HttpSession::MarkProgress()
{
  if (this->overLimit || this->evicted) {
    return;
  }
  const auto now = SteadyClock::now();
  this->place.Advance(this->server->unfinished, now);
  if (this->lease.Bytes() > 0) {
    this->holderPlace.Advance(this->server->memoryHolders, now);
  }
}

void
HttpSession::EndProgress()
{
  this->place.Leave();
  this->holderPlace.Leave();
}

void
HttpSession::OnDeadline()
{
  this->timedOut = true;
  if (this->idle) {
    this->stream.Close();
  } else {
    this->stream.Cancel();
  }
}

Awaitable<void>
HttpSession::Run()
{
  const auto& limits = this->server->options.limits;
  this->deadline.Set(limits.headerTimeout);
  const ErrorValue error =
    co_await this->stream.Handshake(asio::ssl::stream_base::server);
  this->deadline.Clear();
  if (this->overLimit && !error) {
    const api::HttpReply reply =
      ProblemReply({ 503,
                     "too_many_connections",
                     true,
                     "the limit of connections is reached",
                     Duration(std::chrono::seconds(1)) });
    const std::string text = ReplyText(reply, false, false);
    ErrorValue ignored;
    co_await asio::async_write(
      this->stream, asio::buffer(text), StoreError(ignored));
  }
  bool more = !error && !this->overLimit;
  while (more && !this->server->stopping) {
    more = co_await this->ServeOne();
  }
  co_await this->Linger();
}

Awaitable<bool>
HttpSession::AwaitFirstByte()
{
  if (this->buffer.size() > 0) {
    co_return true;
  }
  if (this->buffer.capacity() > kMaxIdleBufferBytes) {
    this->buffer = beast::flat_buffer();
  }
  this->SetIdle(true);
  this->deadline.Set(this->server->options.limits.idleTimeout);
  ErrorValue error;
  const std::size_t bytesRead = co_await this->stream.async_read_some(
    this->buffer.prepare(kReadBytes), StoreError(error));
  this->buffer.commit(bytesRead);
  this->deadline.Clear();
  this->SetIdle(false);
  co_return !error;
}

Awaitable<bool>
HttpSession::ServeOne()
{
  const auto& limits = this->server->options.limits;
  this->parser.emplace();
  this->parser->header_limit(limits.headerBytes);
  this->parser->body_limit(limits.bodyBytes);
  if (!co_await this->AwaitFirstByte()) {
    co_return false;
  }
  this->deadline.Set(limits.headerTimeout);
  this->MarkProgress();
  const ErrorValue error = co_await this->ReadHeader();
  this->deadline.Clear();
  if (error) {
    this->EndProgress();
    co_await this->AnswerBadHeader(error);
    co_return false;
  }
  const bool more = co_await this->Dispatch();
  this->EndProgress();
  this->lease.Release();
  co_return more;
}

// http::async_read_header would let the buffer and the fields grow unseen.
Awaitable<ErrorValue>
HttpSession::ReadHeader()
{
  const HttpServerOptions& options = this->server->options;
  ErrorValue error;
  std::size_t total = this->buffer.size();
  while (!error) {
    this->buffer.consume(this->parser->put(this->buffer.data(), error));
    const auto& fields = this->parser->get();
    const auto count = std::distance(fields.begin(), fields.end());
    if (count > std::ptrdiff_t{ options.headerFields }) {
      error = http::error::header_limit;
    }
    if (error == http::error::need_more) {
      error = {};
    }
    if (error || this->parser->is_header_done()) {
      break;
    }
    if (total >= kFreeHeaderBytes &&
        !this->AcquireMemory(kHeaderCopies * options.limits.headerBytes)) {
      error = MemoryError();
      break;
    }
    const std::size_t bytesRead = co_await this->stream.async_read_some(
      this->buffer.prepare(kReadBytes), StoreError(error));
    this->buffer.commit(bytesRead);
    total += bytesRead;
    if (error == asio::error::eof) {
      error = this->parser->got_some() ? http::error::partial_message
                                       : http::error::end_of_stream;
    }
  }
  co_return error;
}

Awaitable<void>
HttpSession::AnswerBadHeader(ErrorValue aError)
{
  const bool isGone = aError == http::error::end_of_stream ||
                      aError == asio::error::connection_reset;
  if (isGone || (aError == asio::error::operation_aborted && !this->timedOut)) {
    co_return;
  }
  this->parser.emplace(); // frees the fields
  this->buffer = beast::flat_buffer();
  this->lease.Release();
  const ProblemDetail problem = HeaderProblem(aError, this->timedOut);
  this->server->CountRefusal(problem.code, this->Client());
  const std::string text = ReplyText(ProblemReply(problem), false, false);
  ErrorValue ignored;
  this->deadline.Set(kLingerTimeout);
  co_await asio::async_write(
    this->stream, asio::buffer(text), StoreError(ignored));
}

Awaitable<bool>
HttpSession::Dispatch()
{
  const auto& limits = this->server->options.limits;
  CallerLink caller(
    this->stream, this->buffer, *this->parser, this->remoteAddress);
  const bool keepAlive = this->parser->keep_alive() && !this->server->stopping;
  const auto target = this->parser->get().target();
  if (this->parser->get().version() != kHttp11) {
    const api::HttpReply reply = ProblemReply(
      { 505, "version_not_supported", true, "only HTTP/1.1 is spoken", {} });
    this->deadline.Set(kLingerTimeout);
    co_return co_await caller.Reply(reply, false);
  }
  bool more = false;
  if (this->server->relay && IsRelayTarget({ target.data(), target.size() })) {
    this->EndProgress(); // the relay has its own limits
    // Limits operations that no shorter deadline covers, for example writing a
    // reply that the caller does not read.
    this->deadline.Set(limits.requestTimeout + 2 * limits.headerTimeout);
    more = co_await this->server->relay->Serve(caller, keepAlive);
  } else {
    more = co_await this->ServeLocal(caller, keepAlive);
  }
  if (more && !caller.BodyDone()) {
    this->deadline.Set(limits.headerTimeout);
    more = co_await caller.DiscardBody();
  }
  this->deadline.Clear();
  co_return more;
}

Awaitable<void>
HttpSession::Linger()
{
  // Closing a connection with unread bytes sends a reset, and the caller could
  // lose an answer that it has not read yet.
  ErrorValue error;
  auto& socket = this->stream.LowestLayer();
  if (!socket.is_open()) {
    co_return;
  }
  socket.shutdown(Tcp::socket::shutdown_send, error);
  this->deadline.Set(kLingerTimeout);
  this->SetIdle(true);
  std::string rest(kReadBytes, '\0');
  std::size_t total = 0;
  while (!error && total < kMaxLingerBytes) {
    total +=
      co_await socket.async_read_some(asio::buffer(rest), StoreError(error));
  }
  this->stream.Close();
}

} // namespace hyssoppaddle::shell
