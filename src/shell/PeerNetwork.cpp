// Dials, accepts and replaces peer connections.
#include "shell/PeerNetwork.h"

#include "shell/Endpoint.h"
#include "shell/HandlerErrors.h"
#include "shell/JsonLog.h"
#include "shell/RedialDelay.h"
#include "shell/TlsContext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hyssoppaddle::shell {

namespace {

// The instance with the larger name waits before its first dial, so that
// usually only the other instance dials.
constexpr Duration kLargerNameDialDelay{ std::chrono::seconds(1) };
// Limits the resources that connections without a proof can use.
constexpr std::size_t kMaxPendingGreetings = 32;

} // namespace

struct PeerNetwork::DialledPeer
{
  DialledPeer(asio::io_context& aIo,
              config::PeerSettings aSettings,
              RedialDelay aDelay)
    : settings(std::move(aSettings))
    , timer(aIo)
    , delay(aDelay)
  {
  }

  config::PeerSettings settings;
  Timer timer;
  RedialDelay delay;
  bool removed = false;
};

PeerNetwork::PeerNetwork(asio::io_context& aIo,
                         PeerNetworkOptions aOptions,
                         std::shared_ptr<const PeerIdentity> aIdentity,
                         std::shared_ptr<DeadlineQueue> aDeadlines,
                         std::shared_ptr<Metrics> aMetrics,
                         PeerHooks aHooks)
  : io(aIo)
  , options(std::move(aOptions))
  , identity(std::move(aIdentity))
  , deadlines(std::move(aDeadlines))
  , metrics(std::move(aMetrics))
  , hooks(std::move(aHooks))
  , random(this->options.seed)
  , acceptor(aIo)
{
}

PeerNetwork::~PeerNetwork() = default;

Result<void>
PeerNetwork::Start()
{
  if (this->options.tls) {
    auto context = MakeTlsContext(*this->options.tls);
    if (!context) {
      return tl::unexpected<Error>(context.error());
    }
    this->tls = *context;
  }
  auto listening = this->Listen();
  if (!listening) {
    return listening;
  }
  this->Accept();
  for (const config::PeerSettings& peer : this->options.peers) {
    if (peer.instance != this->identity->instance) {
      this->Dial(peer);
    }
  }
  return {};
}

Result<void>
PeerNetwork::Listen()
{
  const auto endpoint = ParseEndpoint(this->options.address);
  if (!endpoint) {
    return tl::unexpected<Error>(endpoint.error());
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
  if (error) {
    return Fail(ErrorCode::IoFailure,
                "cannot listen on " + this->options.address + ": " +
                  error.message());
  }
  return {};
}

std::uint16_t
PeerNetwork::Port() const
{
  ErrorValue ignored;
  return this->acceptor.local_endpoint(ignored).port();
}

void
PeerNetwork::Stop()
{
  this->stopping = true;
  ErrorValue ignored;
  this->acceptor.close(ignored);
  for (const auto& [instance, peer] : this->dialled) {
    peer->timer.cancel();
  }
  for (const auto& [instance, active] : this->links) {
    active.link->Close();
  }
}

void
PeerNetwork::AddPeer(const config::PeerSettings& aPeer)
{
  const bool isNew = aPeer.instance != this->identity->instance &&
                     !this->dialled.contains(aPeer.instance);
  if (isNew && !this->stopping) {
    this->Dial(aPeer);
  }
}

void
PeerNetwork::RemovePeer(const InstanceId& aPeer)
{
  const auto found = this->dialled.find(aPeer);
  if (found == this->dialled.end()) {
    return;
  }
  found->second->removed = true;
  found->second->timer.cancel();
  this->dialled.erase(found);
  this->Disconnect(aPeer, "no longer a peer");
}

void
PeerNetwork::Disconnect(const InstanceId& aPeer, const std::string& aReason)
{
  const auto found = this->links.find(aPeer);
  if (found != this->links.end()) {
    this->Drop(found->second.link, aReason);
  }
}

void
PeerNetwork::Send(const InstanceId& aTo, const wire::PeerMessage& aMessage)
{
  const auto found = this->links.find(aTo);
  if (found == this->links.end()) {
    this->metrics->Add(Counter::PeerMessagesDropped);
    return;
  }
  found->second.link->Send(aMessage);
}

void
PeerNetwork::SendAll(const wire::PeerMessage& aMessage)
{
  for (const auto& [instance, active] : this->links) {
    active.link->Send(aMessage);
  }
}

std::shared_ptr<PeerLink>
PeerNetwork::MakeLink(Socket aSocket)
{
  return std::make_shared<PeerLink>(this->identity,
                                    std::move(aSocket),
                                    this->tls.get(),
                                    this->deadlines,
                                    this->metrics);
}

void
PeerNetwork::Accept()
{
  this->acceptor.async_accept(
    [self = this->shared_from_this()](ErrorValue aError, Socket aSocket) {
      if (self->stopping || aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError && self->pendingGreetings < kMaxPendingGreetings) {
        asio::co_spawn(
          self->io,
          [self, socket = std::move(aSocket)]() mutable -> Awaitable<void> {
            co_await self->Serve(socket);
          },
          DetachedWithLog("peers"));
      }
      self->Accept();
    });
}

Awaitable<void>
PeerNetwork::Serve(Socket& aSocket)
{
  ErrorValue ignored;
  const std::string remote = FormatEndpoint(aSocket.remote_endpoint(ignored));
  const auto link = this->MakeLink(std::move(aSocket));
  ++this->pendingGreetings;
  const InstanceId anyInstance;
  const auto refusal =
    co_await link->Greet(asio::ssl::stream_base::server, anyInstance);
  --this->pendingGreetings;
  if (refusal) {
    this->Refuse(remote, *refusal);
    link->Close();
    co_return;
  }
  co_await this->RunLink(link, false);
}

void
PeerNetwork::Refuse(const std::string& aRemote, const std::string& aReason)
{
  if (!this->stopping) {
    Log(LogLevel::Warning,
        "peer_refused",
        { { "remote", aRemote }, { "reason", aReason } });
  }
}

void
PeerNetwork::Dial(const config::PeerSettings& aPeer)
{
  const Duration first = this->identity->instance.value < aPeer.instance.value
                           ? Duration(0)
                           : kLargerNameDialDelay;
  auto peer = std::make_shared<DialledPeer>(
    this->io, aPeer, RedialDelay(first, this->options.maxRedialDelay));
  this->dialled[aPeer.instance] = peer;
  asio::co_spawn(
    this->io,
    [self = this->shared_from_this(), peer]() -> Awaitable<void> {
      co_await self->DialLoop(peer);
    },
    DetachedWithLog("peers"));
}

Awaitable<void>
PeerNetwork::DialLoop(const std::shared_ptr<DialledPeer>& aPeer)
{
  while (!this->stopping && !aPeer->removed) {
    const bool isConnected = this->links.contains(aPeer->settings.instance);
    if (isConnected) {
      // Drop() cancels the wait.
      aPeer->timer.expires_at(SteadyClock::time_point::max());
    } else {
      aPeer->timer.expires_after(aPeer->delay.Current());
    }
    ErrorValue cancelled;
    co_await aPeer->timer.async_wait(StoreError(cancelled));
    if (cancelled || this->stopping || aPeer->removed ||
        this->links.contains(aPeer->settings.instance)) {
      continue;
    }
    const bool greeted = co_await this->DialOnce(aPeer);
    aPeer->delay.Advance(greeted, this->random);
  }
}

Awaitable<bool>
PeerNetwork::DialOnce(const std::shared_ptr<DialledPeer>& aPeer)
{
  const auto endpoint = ParseEndpoint(aPeer->settings.address);
  if (!endpoint) {
    this->Refuse(aPeer->settings.address, endpoint.error().message);
    co_return false;
  }
  Socket socket(this->io);
  ErrorValue error;
  {
    Deadline deadline(*this->deadlines, [&socket] {
      ErrorValue ignored;
      socket.close(ignored);
    });
    deadline.Set(this->options.connectTimeout);
    co_await socket.async_connect(*endpoint, StoreError(error));
  }
  if (error || this->stopping) {
    co_return false;
  }
  const auto link = this->MakeLink(std::move(socket));
  const auto refusal = co_await link->Greet(asio::ssl::stream_base::client,
                                            aPeer->settings.instance);
  if (refusal) {
    this->Refuse(aPeer->settings.address, *refusal);
    link->Close();
    co_return false;
  }
  co_await this->RunLink(link, true);
  co_return true;
}

bool
PeerNetwork::Install(const std::shared_ptr<PeerLink>& aLink, bool aDialledHere)
{
  const bool hasSmallerName =
    this->identity->instance.value < aLink->Peer().value;
  ActiveLink next{ aLink, aDialledHere == hasSmallerName };
  const auto found = this->links.find(aLink->Peer());
  if (found != this->links.end()) {
    // If both sides dialled at the same time, both must keep the same
    // connection.
    const bool keepOld = found->second.dialledBySmallerName &&
                         !next.dialledBySmallerName &&
                         found->second.link->PeerBoot() == aLink->PeerBoot();
    if (keepOld) {
      return false;
    }
    this->Drop(found->second.link, "replaced by a newer connection");
  }
  this->links[aLink->Peer()] = std::move(next);
  return true;
}

Awaitable<void>
PeerNetwork::RunLink(const std::shared_ptr<PeerLink>& aLink, bool aDialledHere)
{
  if (this->stopping || !this->Install(aLink, aDialledHere)) {
    aLink->Close();
    co_return;
  }
  const InstanceId peer = aLink->Peer();
  Log(LogLevel::Info,
      "peer_connected",
      { { "peer", peer.value }, { "boot", aLink->PeerBoot() } });
  this->hooks.connected(peer);
  const std::function<void(wire::PeerMessage)> receive =
    [this, peer](wire::PeerMessage aMessage) {
      this->hooks.received(peer, std::move(aMessage));
    };
  const std::string reason = co_await aLink->Receive(receive);
  this->Drop(aLink, reason);
}

void
// NOLINTNEXTLINE(performance-unnecessary-value-param): see the header
PeerNetwork::Drop(std::shared_ptr<PeerLink> aLink, const std::string& aReason)
{
  aLink->Close();
  const auto found = this->links.find(aLink->Peer());
  if (found == this->links.end() || found->second.link != aLink) {
    return;
  }
  this->links.erase(found);
  Log(LogLevel::Info,
      "peer_lost",
      { { "peer", aLink->Peer().value }, { "reason", aReason } });
  this->hooks.lost(aLink->Peer());
  const auto dialledPeer = this->dialled.find(aLink->Peer());
  if (dialledPeer != this->dialled.end()) {
    dialledPeer->second->timer.cancel();
  }
}

} // namespace hyssoppaddle::shell
