// Accepts connections and limits their number.
#include "shell/HttpServer.h"

#include "shell/Endpoint.h"
#include "shell/HttpSession.h"
#include "shell/JsonLog.h"
#include "shell/TlsContext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssoppaddle::shell {

namespace {

// Accepting fails when no file descriptors are left. Retrying immediately would
// be a busy loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
// Connections over the limit that are answered at the same time are at most
// this part of it, and this many. Further ones are closed without an answer.
constexpr std::size_t kRefusedDivisor = 4;
constexpr std::size_t kMaxRefusedConnections = 256;
// With a budget of descriptors, they are taken from its reserve.
constexpr std::size_t kRefusedReserveDivisor = 16;
constexpr std::size_t kMaxRefusedWithBudget = 64;
// Connections accepted in one turn of the event loop.
constexpr std::size_t kMaxAcceptedAtOnce = 64;

} // namespace

HttpServer::HttpServer(asio::io_context& aIo,
                       HttpServerOptions aOptions,
                       std::shared_ptr<DeadlineQueue> aDeadlines,
                       std::shared_ptr<Metrics> aMetrics,
                       std::shared_ptr<Relay> aRelay,
                       LocalHandler aHandler)
  : io(aIo)
  , options(std::move(aOptions))
  , deadlines(std::move(aDeadlines))
  , metrics(std::move(aMetrics))
  , relay(std::move(aRelay))
  , handler(std::move(aHandler))
  , acceptor(aIo)
  , retryTimer(aIo)
{
}

HttpServer::~HttpServer() = default;

Result<void>
HttpServer::Start()
{
  const auto endpoint = ParseEndpoint(this->options.address);
  if (!endpoint) {
    return tl::unexpected<Error>(endpoint.error());
  }
  if (this->options.tls) {
    auto context = MakeTlsContext(*this->options.tls);
    if (!context) {
      return tl::unexpected<Error>(context.error());
    }
    this->tls = *context;
  }
  ErrorValue error;
  this->acceptor.open(endpoint->protocol(), error);
  if (!error) {
    this->acceptor.set_option(Acceptor::reuse_address(true), error);
    this->acceptor.bind(*endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    this->acceptor.non_blocking(true, error);
  }
  if (error) {
    return Fail(ErrorCode::IoFailure,
                "cannot listen on " + this->options.address + ": " +
                  error.message());
  }
  this->Accept();
  return {};
}

std::uint16_t
HttpServer::Port() const
{
  ErrorValue ignored;
  return this->acceptor.local_endpoint(ignored).port();
}

std::size_t
HttpServer::Connections() const
{
  return this->sessions.size();
}

void
HttpServer::Stop()
{
  this->stopping = true;
  ErrorValue ignored;
  this->acceptor.close(ignored);
  this->retryTimer.cancel();
  for (HttpSession* session : this->sessions) {
    session->CloseWhenIdle();
  }
}

void
HttpServer::Accept()
{
  this->acceptor.async_accept([self = this->shared_from_this()](
                                ErrorValue aError, Socket aSocket) {
    if (aError == asio::error::operation_aborted || self->stopping) {
      return;
    }
    if (!aError) {
      self->StartSession(std::move(aSocket));
      self->AcceptWaiting();
      self->Accept();
      return;
    }
    Log(LogLevel::Warning, "accept_failed", { { "reason", aError.message() } });
    self->retryTimer.expires_after(kAcceptRetryDelay);
    self->retryTimer.async_wait([self](ErrorValue aTimerError) {
      if (!aTimerError) {
        self->Accept();
      }
    });
  });
}

void
HttpServer::AcceptWaiting()
{
  for (std::size_t i = 0; i < kMaxAcceptedAtOnce; ++i) {
    ErrorValue error;
    Socket socket(this->io);
    this->acceptor.accept(socket, error);
    if (error) {
      return; // none is waiting, or the next asynchronous accept reports it
    }
    this->StartSession(std::move(socket));
  }
}

void
HttpServer::StartSession(Socket aSocket)
{
  const std::size_t limit = this->options.limits.callerConnections;
  const bool isFull = this->sessions.size() >= limit;
  if (isFull) {
    this->MakeRoom(); // for the next one; this one is refused
  }
  const bool overLimit = isFull || !this->AcquireDescriptor();
  this->metrics->Add(overLimit ? Counter::ConnectionsRefused
                               : Counter::ConnectionsAccepted);
  if (overLimit && this->refusedSessions >= this->MaxRefused()) {
    return;
  }
  ErrorValue error;
  const auto remote = aSocket.remote_endpoint(error);
  aSocket.set_option(Tcp::no_delay(true), error);
  HttpSession::Spawn(std::make_shared<HttpSession>(this->shared_from_this(),
                                                   std::move(aSocket),
                                                   FormatEndpoint(remote),
                                                   overLimit));
}

std::size_t
HttpServer::MaxRefused() const
{
  const DescriptorBudget* budget = this->options.descriptors.get();
  const std::size_t part =
    budget != nullptr
      ? budget->Reserve() / kRefusedReserveDivisor
      : this->options.limits.callerConnections / kRefusedDivisor;
  return std::clamp<std::size_t>(part,
                                 1,
                                 budget != nullptr ? kMaxRefusedWithBudget
                                                   : kMaxRefusedConnections);
}

bool
HttpServer::AcquireDescriptor()
{
  DescriptorBudget* budget = this->options.descriptors.get();
  if (budget == nullptr) {
    return true;
  }
  if (!budget->HasRoom(this->options.owner)) {
    this->MakeRoom();
  }
  return budget->Acquire(this->options.owner);
}

void
HttpServer::MakeRoom()
{
  if (!this->CloseLongestIdle()) {
    this->CloseSlowest(this->unfinished, "no_descriptors");
  }
}

bool
HttpServer::CloseLongestIdle()
{
  if (this->idleSessions.empty()) {
    return false;
  }
  HttpSession* session = this->idleSessions.front();
  if (SteadyClock::now() - session->IdleSince() <
      this->options.minIdleBeforeClose) {
    return false;
  }
  session->CloseWhenIdle();
  return true;
}

bool
HttpServer::CloseSlowest(const ProgressQueue& aQueue, std::string_view aCause)
{
  HttpSession* session = aQueue.Slowest();
  if (session == nullptr || SteadyClock::now() - session->AdvancedAt() <
                              this->options.minStallBeforeClose) {
    return false;
  }
  session->Evict(aCause);
  return true;
}

void
HttpServer::CountRefusal(std::string_view aCause, std::string_view aClient)
{
  this->metrics->CountRefusal(aCause);
  this->options.onRefusal(aCause, aClient);
}

} // namespace hyssoppaddle::shell
