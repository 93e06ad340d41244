// Serves the requests of one connection, one after the other.
#include "shell/HttpSession.h"

#include "shell/HandlerErrors.h"
#include "shell/Problems.h"
#include "shell/Relay.h"
#include "shell/Signal.h"

namespace hyssoppaddle::shell {

namespace {

// Limit for the bytes that are read and discarded while waiting for the other
// side to close the connection.
constexpr std::size_t kMaxLingerBytes = 1024UL * 1024;
constexpr Duration kLingerTimeout{ std::chrono::seconds(1) };
constexpr std::size_t kReadBytes = 4096;
// A larger buffer is freed while the connection is idle.
constexpr std::size_t kMaxIdleBufferBytes = 8192;
constexpr unsigned kHttp11 = 11;

ProblemDetail
HeaderProblem(const ErrorValue& aError, bool aTimedOut)
{
  if (aTimedOut) {
    return { 408, "header_timeout", true, "the header took too long", {} };
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return { 431, "header_too_large", true, "the header is too large", {} };
  }
  if (aError == http::error::body_limit) {
    return { 413, "body_too_large", true, "the body is over the limit", {} };
  }
  return { 400, "bad_request", true, aError.message(), {} };
}

api::HttpRequest
LocalRequest(const RequestParser& aParser,
             std::string aBody,
             std::string aRemoteAddress,
             api::Listener aListener)
{
  const auto text = [](beast::string_view aView) {
    return std::string(aView.data(), aView.size());
  };
  api::HttpRequest request;
  request.method = text(aParser.get().method_string());
  request.target = text(aParser.get().target());
  for (const auto& field : aParser.get()) {
    request.headers.push_back(
      { text(field.name_string()), text(field.value()) });
  }
  request.body = std::move(aBody);
  request.remoteAddress = std::move(aRemoteAddress);
  request.listener = aListener;
  return request;
}

struct PendingReply
{
  explicit PendingReply(const Executor& aExecutor)
    : signal(aExecutor)
  {
  }
  Signal signal;
  std::optional<api::HttpReply> reply;
};

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
  ErrorValue error;
  co_await http::async_read_header(
    this->stream, this->buffer, *this->parser, StoreError(error));
  this->deadline.Clear();
  if (error) {
    co_await this->AnswerBadHeader(error);
    co_return false;
  }
  co_return co_await this->Dispatch();
}

Awaitable<void>
HttpSession::AnswerBadHeader(ErrorValue aError)
{
  const bool isGone = aError == http::error::end_of_stream ||
                      aError == asio::error::connection_reset;
  if (isGone || (aError == asio::error::operation_aborted && !this->timedOut)) {
    co_return;
  }
  const ProblemDetail problem = HeaderProblem(aError, this->timedOut);
  this->server->metrics->CountRefusal(problem.code);
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
    co_return co_await caller.Reply(reply, false);
  }
  // Limits operations that no shorter deadline covers, for example writing a
  // reply that the caller does not read.
  this->deadline.Set(limits.requestTimeout + 2 * limits.headerTimeout);
  bool more = false;
  if (this->server->relay && IsRelayTarget({ target.data(), target.size() })) {
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

Awaitable<bool>
HttpSession::ServeLocal(CallerLink& aCaller, bool aKeepAlive)
{
  std::string body;
  ErrorValue error;
  if (this->parser->content_length().value_or(0) > kMaxLocalBodyBytes) {
    error = http::error::body_limit;
  } else {
    error = co_await aCaller.SendContinue();
    if (!error) {
      error = co_await aCaller.ReadWholeBody(body, kMaxLocalBodyBytes);
    }
  }
  if (error) {
    const ProblemDetail problem = HeaderProblem(error, false);
    this->server->metrics->CountRefusal(problem.code);
    const api::HttpReply reply = ProblemReply(problem);
    co_return co_await aCaller.Reply(reply, false);
  }
  const auto pending =
    std::make_shared<PendingReply>(this->server->io.get_executor());
  this->server->handler(LocalRequest(*this->parser,
                                     std::move(body),
                                     this->remoteAddress,
                                     this->server->options.listener),
                        [pending](api::HttpReply aReply) {
                          pending->reply = std::move(aReply);
                          pending->signal.Notify();
                        });
  while (!pending->reply) {
    co_await pending->signal.Wait();
  }
  co_return co_await aCaller.Reply(*pending->reply, aKeepAlive);
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
