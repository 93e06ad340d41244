// Connection handling of the client: each connection carries one request at a
// time and is reused until it fails or stays idle for too long.
#include "node/HttpClient.h"

#include "base/DescriptorBudget.h"
#include "shell/Endpoint.h"
#include "shell/HandlerErrors.h"
#include "shell/Signal.h"

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hyssoppaddle::node {

namespace {

using namespace shell;

// One connection for a lease renewal, which is a long poll; the others for
// orders.
constexpr std::size_t kConnectionsPerHost = 5;
// An unused connection is closed after this time.
constexpr Duration kIdleTimeout = std::chrono::seconds(20);
// Two round trips on the slowest link take far less; a host that is down or
// unreachable does not answer at all.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// Requests that wait for a descriptor are checked for their time limits at this
// interval.
constexpr Duration kStarvedCheckInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxResponseBytes = 8ULL * 1024 * 1024;
constexpr unsigned kHttp11 = 11;
constexpr int kTcpUserTimeoutMs = 3000;

bool
IsClosedByPeer(Socket& aSocket)
{
  char byte = 0;
  const auto got = ::recv(
    aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT); // NOLINT
  const bool isQuiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return !isQuiet; // closed, reset, or data that belongs to no request
}

} // namespace

struct HttpClient::Connection
{
  Connection(asio::io_context& aIo,
             std::string aAddress,
             DeadlineQueue& aDeadlines)
    : address(std::move(aAddress))
    , socket(aIo)
    , signal(aIo.get_executor())
    , deadline(aDeadlines, [this] { this->Expire(); })
  {
  }

  void Expire()
  {
    this->expired = true;
    this->Close();
    this->signal.Notify();
  }

  void Close()
  {
    ErrorValue ignored;
    this->socket.close(ignored);
  }

  // Closes it, so that the next request opens another one.
  void Discard()
  {
    this->Close();
    this->open = false;
    this->buffer = beast::flat_buffer();
  }

  std::string address;
  Socket socket;
  Signal signal; // a request was assigned, or the connection must close
  Deadline deadline;
  beast::flat_buffer buffer;
  std::optional<PendingRequest> pendingRequest;
  bool open = false;
  bool ownsDescriptor = true;
  bool idle = false; // listed in idleConnections at idlePosition
  std::list<Connection*>::iterator idlePosition;
  bool expired = false;
};

HttpClient::HttpClient(asio::io_context& aIo,
                       std::shared_ptr<DeadlineQueue> aDeadlines,
                       std::shared_ptr<DescriptorBudget> aDescriptors)
  : io(aIo)
  , deadlines(std::move(aDeadlines))
  , descriptors(std::move(aDescriptors))
  , starvedDeadline(*this->deadlines, [this] { this->ExpireStarvedRequests(); })
{
}

HttpClient::~HttpClient() = default;

void
HttpClient::Send(OutboundRequest aRequest,
                 std::function<bool()> aMaySend,
                 Callback aDone)
{
  if (this->stopping) {
    asio::post(this->io, [done = std::move(aDone)] {
      done(OutboundResult{ Delivery::NotSent, 0, {} });
    });
    return;
  }
  const std::string address = aRequest.address;
  const auto expiresAt = SteadyClock::now() + aRequest.timeLimit;
  this->hosts[address].waiting.push_back(
    { std::move(aRequest), std::move(aMaySend), std::move(aDone), expiresAt });
  this->AssignRequests(address);
}

void
HttpClient::AssignRequests(const std::string& aAddress)
{
  Host& host = this->hosts[aAddress];
  for (const auto& connection : host.connections) {
    if (host.waiting.empty()) {
      return;
    }
    if (connection->idle) {
      connection->idle = false;
      this->idleConnections.erase(connection->idlePosition);
      connection->pendingRequest = std::move(host.waiting.front());
      host.waiting.pop_front();
      connection->signal.Notify();
    }
  }
  const bool mayConnect = host.connections.size() < kConnectionsPerHost;
  if (host.waiting.empty() || !mayConnect || host.isStarved) {
    return;
  }
  // Hosts that wait already come first.
  if (this->starvedHosts.empty() && this->AcquireDescriptor()) {
    this->StartConnection(aAddress);
    return;
  }
  if (this->starvedHosts.empty()) {
    this->starvedDeadline.Set(kStarvedCheckInterval);
  }
  host.isStarved = true;
  this->starvedHosts.push_back(aAddress);
}

bool
HttpClient::AcquireDescriptor()
{
  if (!this->descriptors->HasRoom(DescriptorOwner::Upstreams) &&
      !this->idleConnections.empty()) {
    Connection& longestIdle = *this->idleConnections.front();
    this->idleConnections.pop_front();
    longestIdle.idle = false;
    longestIdle.Expire();
    this->ReleaseDescriptor(longestIdle);
  }
  return this->descriptors->Acquire(DescriptorOwner::Upstreams);
}

void
HttpClient::ReleaseDescriptor(Connection& aConnection)
{
  if (std::exchange(aConnection.ownsDescriptor, false)) {
    this->descriptors->Release(DescriptorOwner::Upstreams);
  }
}

void
HttpClient::ServeStarvedHosts()
{
  while (!this->starvedHosts.empty() && !this->stopping) {
    const std::string address = this->starvedHosts.front();
    Host& host = this->hosts[address];
    if (!host.waiting.empty() && !this->AcquireDescriptor()) {
      return;
    }
    this->starvedHosts.pop_front();
    host.isStarved = false;
    if (!host.waiting.empty()) {
      this->StartConnection(address);
    } else if (host.connections.empty()) {
      this->hosts.erase(address);
    }
  }
  this->starvedDeadline.Clear();
}

void
HttpClient::ExpireStarvedRequests()
{
  const auto now = SteadyClock::now();
  std::vector<Callback> expired;
  for (const std::string& address : this->starvedHosts) {
    std::deque<PendingRequest>& waiting = this->hosts[address].waiting;
    std::erase_if(waiting, [&](PendingRequest& aRequest) {
      const bool isExpired = aRequest.expiresAt <= now;
      if (isExpired) {
        expired.push_back(std::move(aRequest.done));
      }
      return isExpired;
    });
  }
  if (!this->starvedHosts.empty()) {
    this->starvedDeadline.Set(kStarvedCheckInterval);
  }
  this->ServeStarvedHosts();
  for (const Callback& done : expired) {
    done(OutboundResult{ Delivery::NotSent, 0, {} });
  }
}

void
HttpClient::StartConnection(const std::string& aAddress)
{
  Host& host = this->hosts[aAddress];
  auto connection =
    std::make_shared<Connection>(this->io, aAddress, *this->deadlines);
  connection->pendingRequest = std::move(host.waiting.front());
  host.waiting.pop_front();
  host.connections.push_back(connection);
  asio::co_spawn(
    this->io,
    [self = this->shared_from_this(), connection]() -> Awaitable<void> {
      co_await self->Run(connection);
    },
    DetachedWithLog("client"));
}

Awaitable<void>
HttpClient::Run(std::shared_ptr<Connection> aConnection)
{
  while (aConnection->pendingRequest) {
    const auto left = std::chrono::duration_cast<Duration>(
      aConnection->pendingRequest->expiresAt - SteadyClock::now());
    aConnection->expired = false;
    aConnection->deadline.Set(std::max(left, Duration(1)));
    OutboundResult result{ Delivery::NotSent, 0, {} };
    if (left > Duration(0)) {
      result = co_await this->Transfer(*aConnection);
    }
    aConnection->deadline.Clear();
    const Callback done = std::move(aConnection->pendingRequest->done);
    aConnection->pendingRequest.reset();
    const bool failed = result.delivery == Delivery::Unknown;
    if (failed || aConnection->expired || !aConnection->open) {
      aConnection->Discard();
    }
    Host& host = this->hosts[aConnection->address];
    if (!host.waiting.empty() && !this->stopping) {
      aConnection->pendingRequest = std::move(host.waiting.front());
      host.waiting.pop_front();
    }
    try {
      done(std::move(result));
    } catch (...) {
      // The connection and its descriptor stay in use.
      LogHandlerError("answer", std::current_exception());
    }
    if (aConnection->pendingRequest || this->stopping) {
      continue;
    }
    const bool isNeededElsewhere = !this->starvedHosts.empty();
    if (!aConnection->open || isNeededElsewhere) {
      break;
    }
    aConnection->idle = true;
    aConnection->idlePosition =
      this->idleConnections.insert(this->idleConnections.end(), &*aConnection);
    aConnection->deadline.Set(kIdleTimeout);
    co_await aConnection->signal.Wait();
    aConnection->deadline.Clear();
    if (aConnection->idle) {
      aConnection->idle = false;
      this->idleConnections.erase(aConnection->idlePosition);
    }
  }
  aConnection->Close();
  this->RemoveConnection(*aConnection);
}

Awaitable<OutboundResult>
HttpClient::Transfer(Connection& aConnection)
{
  if (aConnection.open && IsClosedByPeer(aConnection.socket)) {
    aConnection.Discard();
  }
  const bool wasKeptOpen = aConnection.open;
  OutboundResult result{ Delivery::NotSent, 0, {} };
  const bool open = wasKeptOpen || co_await this->Open(aConnection);
  // The connection may just have expired.
  if (!open || aConnection.expired || !aConnection.pendingRequest->maySend()) {
    co_return result;
  }
  const OutboundRequest& request = aConnection.pendingRequest->request;
  result = co_await this->Exchange(aConnection, request);
  const bool mayRepeat = request.repeatable && wasKeptOpen &&
                         result.delivery == Delivery::Unknown &&
                         !aConnection.expired;
  if (!mayRepeat) {
    co_return result;
  }
  aConnection.Discard();
  const bool reopened = co_await this->Open(aConnection);
  if (reopened && !aConnection.expired &&
      aConnection.pendingRequest->maySend()) {
    result = co_await this->Exchange(aConnection, request);
  }
  co_return result;
}

Awaitable<bool>
HttpClient::Open(Connection& aConnection)
{
  const auto endpoint = ParseEndpoint(aConnection.address);
  if (!endpoint) {
    co_return false;
  }
  aConnection.Close(); // async_connect opens the socket again
  ErrorValue error;
  {
    Deadline connecting(*this->deadlines,
                        [&aConnection] { aConnection.Close(); });
    connecting.Set(kConnectTimeout);
    co_await aConnection.socket.async_connect(*endpoint, StoreError(error));
  }
  if (error || aConnection.expired) {
    co_return false;
  }
  ++this->connectionsOpened;
  aConnection.socket.set_option(Tcp::no_delay(true), error);
  const int userTimeoutMs = kTcpUserTimeoutMs;
  ::setsockopt(aConnection.socket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &userTimeoutMs,
               sizeof(userTimeoutMs));
  aConnection.open = true;
  co_return true;
}

Awaitable<OutboundResult>
HttpClient::Exchange(Connection& aConnection, const OutboundRequest& aRequest)
{
  std::string text = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  text += "Host: " + aRequest.address + "\r\n";
  for (const api::HttpHeader& header : aRequest.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aRequest.body.size()) +
          "\r\n\r\n" + aRequest.body;
  OutboundResult result;
  ErrorValue error;
  const auto bytes = asio::buffer(text);
  co_await asio::async_write(aConnection.socket, bytes, StoreError(error));
  if (error) {
    co_return result;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  co_await http::async_read(
    aConnection.socket, aConnection.buffer, parser, StoreError(error));
  if (error) {
    co_return result;
  }
  result.delivery = Delivery::Answered;
  result.status = parser.get().result_int();
  result.body = std::move(parser.get().body());
  if (!parser.get().keep_alive()) {
    aConnection.Close();
    aConnection.open = false;
  }
  co_return result;
}

void
HttpClient::RemoveConnection(Connection& aConnection)
{
  const auto host = this->hosts.find(aConnection.address);
  if (host == this->hosts.end()) {
    return;
  }
  std::erase_if(host->second.connections,
                [&](const auto& aItem) { return aItem.get() == &aConnection; });
  this->ReleaseDescriptor(aConnection);
  if (!host->second.waiting.empty() && !this->stopping) {
    this->AssignRequests(aConnection.address);
  } else if (host->second.connections.empty() && !host->second.isStarved) {
    this->hosts.erase(host);
  }
  this->ServeStarvedHosts();
}

void
HttpClient::Stop()
{
  this->stopping = true;
  for (auto& [address, host] : this->hosts) {
    for (const auto& connection : host.connections) {
      connection->Expire();
    }
    for (PendingRequest& pendingRequest : std::exchange(host.waiting, {})) {
      pendingRequest.done(OutboundResult{ Delivery::NotSent, 0, {} });
    }
  }
}

} // namespace hyssoppaddle::node
