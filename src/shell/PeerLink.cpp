// Implements the greeting and the framing of a peer connection.
#include "shell/PeerLink.h"
#include "shell/HandlerErrors.h"

#include "wire/Codec.h"

#include <hyssoppaddle/Version.h>

#include <algorithm>
#include <array>

#include <netinet/tcp.h>

namespace hyssoppaddle::shell {

namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr Duration kGreetingTimeout{ std::chrono::seconds(5) };
// If a peer accepts no data for this time, the connection is closed.
constexpr Duration kWriteTimeout{ std::chrono::seconds(10) };
constexpr int kTcpUserTimeoutMs = 5000;
constexpr std::size_t kMaxGreetingBytes = 16UL * 1024;
constexpr std::size_t kMaxQueuedBytes = 4UL * 1024 * 1024;
// A frame above the limit of the queue would never be sent.
constexpr std::size_t kMaxCountedBytes = 1024UL * 1024;
constexpr std::size_t kFramesPerWrite = 64;
constexpr std::size_t kReadBytes = 16UL * 1024;

// Share of a frame in the limit of the queue.
std::size_t
CountedBytes(const std::string& aFrame)
{
  return std::min(aFrame.size(), kMaxCountedBytes);
}

void
AppendLengthPrefixed(std::string& aText, std::string_view aPart)
{
  aText += std::to_string(aPart.size());
  aText += ':';
  aText += aPart;
}

// Detects a network partition even when nothing is sent. Without TCP keep-alive
// the connection would stay open.
void
EnableFailureDetection(Socket& aSocket)
{
  ErrorValue ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const auto set = [&aSocket](int aName, int aValue) {
    ::setsockopt(
      aSocket.native_handle(), IPPROTO_TCP, aName, &aValue, sizeof(aValue));
  };
  set(TCP_KEEPIDLE, 2);
  set(TCP_KEEPINTVL, 1);
  set(TCP_KEEPCNT, 3);
  set(TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
}

} // namespace

std::string
MakeGreetingProof(const ClusterSecret& aSecret,
                  const wire::Greeting& aFrom,
                  const wire::Greeting& aTo)
{
  std::string text;
  AppendLengthPrefixed(text, aFrom.cluster);
  for (const wire::Greeting* greeting : { &aFrom, &aTo }) {
    AppendLengthPrefixed(text, greeting->instance.value);
    AppendLengthPrefixed(text, greeting->boot);
    AppendLengthPrefixed(text, greeting->nonce);
  }
  return aSecret.PeerProof(text);
}

PeerLink::PeerLink(std::shared_ptr<const PeerIdentity> aIdentity,
                   Socket aSocket,
                   asio::ssl::context* aTls,
                   std::shared_ptr<DeadlineQueue> aDeadlines,
                   std::shared_ptr<Metrics> aMetrics)
  : identity(std::move(aIdentity))
  , stream(std::move(aSocket), aTls)
  , deadlines(std::move(aDeadlines))
  , metrics(std::move(aMetrics))
  , reader(kMaxGreetingBytes)
{
  EnableFailureDetection(this->stream.LowestLayer());
}

void
PeerLink::Close()
{
  this->closed = true;
  this->stream.Close();
}

Awaitable<std::optional<std::string>>
PeerLink::Greet(asio::ssl::stream_base::handshake_type aRole,
                const InstanceId& aExpected)
{
  Deadline deadline(*this->deadlines, [this] { this->Close(); });
  deadline.Set(kGreetingTimeout);
  const ErrorValue error = co_await this->stream.Handshake(aRole);
  if (error) {
    co_return "TLS: " + error.message();
  }
  co_return co_await this->ExchangeGreetings(aExpected);
}

std::optional<std::string>
PeerLink::Refusal(const wire::Greeting& aGreeting,
                  const InstanceId& aExpected) const
{
  if (aGreeting.protocol != kPeerProtocolVersion) {
    return "unsupported protocol version " + std::to_string(aGreeting.protocol);
  }
  if (aGreeting.cluster != this->identity->cluster) {
    return "the peer belongs to another cluster: " + aGreeting.cluster;
  }
  if (aGreeting.instance == this->identity->instance ||
      aGreeting.instance.empty()) {
    return "the peer has this instance's name or no name";
  }
  if (!aExpected.empty() && aGreeting.instance != aExpected) {
    return "the peer is another instance: " + aGreeting.instance.value;
  }
  if (aGreeting.nonce.size() != kNonceBytes) {
    return "the nonce has the wrong length";
  }
  return std::nullopt;
}

Awaitable<std::optional<std::string>>
PeerLink::ExchangeGreetings(const InstanceId& aExpected)
{
  const wire::Greeting own{ kPeerProtocolVersion,
                            this->identity->cluster,
                            this->identity->instance,
                            this->identity->boot,
                            RandomBytes(kNonceBytes) };
  // The messages are named variables, because g++ 12 destroys a temporary twice
  // if it is created by a conversion inside an awaited call.
  const wire::PeerMessage ownMessage = own;
  co_await this->WriteNow(ownMessage);
  auto first = co_await this->ReadNext();
  const auto* greeting = first ? std::get_if<wire::Greeting>(&*first) : nullptr;
  if (greeting == nullptr) {
    co_return "no greeting received: " + this->readError;
  }
  if (auto refusal = this->Refusal(*greeting, aExpected)) {
    co_return refusal;
  }
  const wire::PeerMessage ownProof = wire::GreetingProof{ MakeGreetingProof(
    this->identity->secret, own, *greeting) };
  co_await this->WriteNow(ownProof);
  auto second = co_await this->ReadNext();
  const auto* proof =
    second ? std::get_if<wire::GreetingProof>(&*second) : nullptr;
  if (proof == nullptr) {
    co_return "no proof received: " + this->readError;
  }
  const std::string expected =
    MakeGreetingProof(this->identity->secret, *greeting, own);
  if (!EqualSecrets(proof->proof, expected)) {
    co_return "the proof is invalid";
  }
  this->peer = greeting->instance;
  this->peerBoot = greeting->boot;
  this->reader.SetMaxBytes(wire::kMaxFrameBytes);
  co_return std::nullopt;
}

Awaitable<ErrorValue>
PeerLink::WriteNow(const wire::PeerMessage& aMessage)
{
  const std::string frame =
    wire::EncodeFrame(wire::EncodePeerMessage(aMessage));
  ErrorValue error;
  co_await asio::async_write(
    this->stream, asio::buffer(frame), StoreError(error));
  this->metrics->Add(Counter::PeerBytesSent, frame.size());
  co_return error;
}

Awaitable<std::optional<wire::PeerMessage>>
PeerLink::ReadNext()
{
  std::string piece(kReadBytes, '\0');
  for (;;) {
    auto payload = this->reader.Next();
    if (!payload) {
      this->readError = payload.error().message;
      co_return std::nullopt;
    }
    if (payload->has_value()) {
      auto message = wire::DecodePeerMessage(**payload);
      if (!message) {
        this->readError = message.error().message;
        co_return std::nullopt;
      }
      co_return std::move(*message);
    }
    ErrorValue error;
    const std::size_t bytesRead = co_await this->stream.async_read_some(
      asio::buffer(piece), StoreError(error));
    this->metrics->Add(Counter::PeerBytesReceived, bytesRead);
    this->reader.Feed(std::string_view(piece).substr(0, bytesRead));
    if (error) {
      this->readError = error.message();
      co_return std::nullopt;
    }
  }
}

Awaitable<std::string>
PeerLink::Receive(const std::function<void(wire::PeerMessage)>& aReceived)
{
  for (;;) {
    auto message = co_await this->ReadNext();
    if (!message || this->closed) {
      co_return this->readError;
    }
    aReceived(std::move(*message));
  }
}

void
PeerLink::Send(const wire::PeerMessage& aMessage)
{
  if (this->closed) {
    return;
  }
  QueuedFrame item;
  item.frame = wire::EncodeFrame(wire::EncodePeerMessage(aMessage));
  item.droppable = std::holds_alternative<wire::RaftMessage>(aMessage);
  this->queuedBytes += CountedBytes(item.frame);
  this->queue.push_back(std::move(item));
  this->EnforceQueueLimit();
  this->StartWriting();
}

void
PeerLink::EnforceQueueLimit()
{
  // Frames that are being written have left the queue, so the ones in the queue
  // can be dropped.
  auto oldest = this->queue.begin();
  while (this->queuedBytes > kMaxQueuedBytes && oldest != this->queue.end()) {
    if (!oldest->droppable) {
      ++oldest;
      continue;
    }
    this->queuedBytes -= CountedBytes(oldest->frame);
    oldest = this->queue.erase(oldest);
    this->metrics->Add(Counter::PeerMessagesDropped);
  }
  if (this->queuedBytes > kMaxQueuedBytes) {
    this->Close();
  }
}

void
PeerLink::StartWriting()
{
  if (this->writing || this->closed) {
    return;
  }
  this->writing = true;
  asio::co_spawn(
    this->stream.get_executor(),
    [self = this->shared_from_this()]() -> Awaitable<void> {
      co_await self->WriteQueue();
    },
    DetachedWithLog("peer link"));
}

Awaitable<void>
PeerLink::WriteQueue()
{
  Deadline writeDeadline(*this->deadlines, [this] { this->Close(); });
  ErrorValue error;
  while (!error && !this->closed && !this->queue.empty()) {
    std::vector<std::string> frames;
    std::vector<asio::const_buffer> buffers;
    while (!this->queue.empty() && frames.size() < kFramesPerWrite) {
      this->queuedBytes -= CountedBytes(this->queue.front().frame);
      frames.push_back(std::move(this->queue.front().frame));
      this->queue.pop_front();
    }
    buffers.reserve(frames.size());
    for (const std::string& frame : frames) {
      buffers.push_back(asio::buffer(frame));
    }
    writeDeadline.Set(kWriteTimeout);
    const std::size_t sent =
      co_await asio::async_write(this->stream, buffers, StoreError(error));
    writeDeadline.Clear();
    this->metrics->Add(Counter::PeerBytesSent, sent);
  }
  this->writing = false;
  if (error) {
    this->Close();
  }
}

} // namespace hyssoppaddle::shell
