// One connection to another entry instance: performs the greeting, sends and
// receives frames, and limits the send queue.
#ifndef hyssoppaddle_shell_PeerLink_h
#define hyssoppaddle_shell_PeerLink_h

#include "shell/ClusterSecret.h"
#include "shell/Deadlines.h"
#include "shell/Metrics.h"
#include "shell/Stream.h"
#include "wire/FrameReader.h"
#include "wire/PeerMessage.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppaddle::shell {

// Data shared by all links of one daemon.
struct PeerIdentity
{
  std::string cluster;
  InstanceId instance;
  std::string boot; // identifies this run of the process
  ClusterSecret secret;
};

// Returns the proof that the sender of aFrom knows the secret. It covers both
// greetings, so it cannot be replayed on another connection or in the other
// direction.
std::string
MakeGreetingProof(const ClusterSecret& aSecret,
                  const wire::Greeting& aFrom,
                  const wire::Greeting& aTo);

class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  PeerLink(std::shared_ptr<const PeerIdentity> aIdentity,
           Socket aSocket,
           asio::ssl::context* aTls,
           std::shared_ptr<DeadlineQueue> aDeadlines,
           std::shared_ptr<Metrics> aMetrics);

  // Performs the TLS handshake and the greeting. aExpected is empty on an
  // accepted connection. Returns the reason if the connection must be closed.
  Awaitable<std::optional<std::string>> Greet(
    asio::ssl::stream_base::handshake_type aRole,
    const InstanceId& aExpected);
  // Reads messages until the connection ends. Returns the reason.
  Awaitable<std::string> Receive(
    const std::function<void(wire::PeerMessage)>& aReceived);

  void Send(const wire::PeerMessage& aMessage);
  void Close();

  [[nodiscard]] const InstanceId& Peer() const { return this->peer; }
  [[nodiscard]] const std::string& PeerBoot() const { return this->peerBoot; }
  [[nodiscard]] std::size_t QueuedBytes() const { return this->queuedBytes; }

private:
  struct QueuedFrame
  {
    std::string frame;
    bool droppable = false; // Raft repeats its own messages
  };

  Awaitable<ErrorValue> WriteNow(const wire::PeerMessage& aMessage);
  Awaitable<std::optional<wire::PeerMessage>> ReadNext();
  Awaitable<std::optional<std::string>> ExchangeGreetings(
    const InstanceId& aExpected);
  [[nodiscard]] std::optional<std::string> Refusal(
    const wire::Greeting& aGreeting,
    const InstanceId& aExpected) const;
  void EnforceQueueLimit();
  void StartWriting();
  Awaitable<void> WriteQueue();

  std::shared_ptr<const PeerIdentity> identity;
  Stream stream;
  std::shared_ptr<DeadlineQueue> deadlines;
  std::shared_ptr<Metrics> metrics;
  wire::FrameReader reader; // limited to a greeting until the peer is known
  std::string readError;    // why ReadNext returned nothing
  InstanceId peer;
  std::string peerBoot;
  std::deque<QueuedFrame> queue;
  std::size_t queuedBytes = 0; // with each frame counted by CountedBytes
  bool writing = false;
  bool closed = false;
};

} // namespace hyssoppaddle::shell

#endif
