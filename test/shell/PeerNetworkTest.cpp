// The greeting and the frames between entry instances, with a raw peer that
// breaks the rules.
#include "shell/PeerNetwork.h"
#include "shell/RelayWorld.h"
#include "support/TestTrace.h"
#include "wire/Codec.h"

#include <hyssoppaddle/Version.h>

#include <future>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

const shell::ClusterSecret kSecret(std::string(32, 's'));

// One network named "b" on its own thread.
class Network
{
public:
  Network()
  {
    shell::PeerNetworkOptions options;
    options.address = "127.0.0.1:0";
    shell::PeerHooks hooks;
    hooks.received = [this](const InstanceId& aFrom, wire::PeerMessage) {
      ++this->received;
      this->first.set_value(aFrom.value);
    };
    hooks.connected = [](const InstanceId&) {};
    hooks.lost = [this](const InstanceId&) { this->lost.set_value(); };
    this->network = std::make_shared<shell::PeerNetwork>(
      this->io,
      options,
      std::make_shared<shell::PeerIdentity>(
        shell::PeerIdentity{ "test", InstanceId("b"), "boot-b", kSecret }),
      std::make_shared<shell::DeadlineQueue>(this->io),
      this->metrics,
      hooks);
    this->started = this->network->Start().has_value();
    this->port = this->network->Port();
    this->thread = std::thread([this] { this->io.run(); });
  }

  ~Network()
  {
    this->io.stop();
    this->thread.join();
  }

  asio::io_context io;
  std::shared_ptr<shell::Metrics> metrics = std::make_shared<shell::Metrics>();
  std::shared_ptr<shell::PeerNetwork> network;
  bool started = false;
  std::uint16_t port = 0;
  std::atomic<int> received{ 0 };
  std::promise<std::string> first;
  std::promise<void> lost;
  std::thread thread;
};

class RawPeer
{
public:
  explicit RawPeer(std::uint16_t aPort)
    : client(aPort)
  {
  }

  void Send(const wire::PeerMessage& aMessage)
  {
    this->client.Send(wire::EncodeFrame(wire::EncodePeerMessage(aMessage)));
  }

  // The next message; nothing once the network has closed the connection.
  std::optional<wire::PeerMessage> Read()
  {
    for (;;) {
      const auto payload = this->reader.Next();
      if (payload && payload->has_value()) {
        return *wire::DecodePeerMessage(**payload);
      }
      std::array<char, 4096> piece{};
      boost::system::error_code error;
      const auto got = this->client.Raw().read_some(asio::buffer(piece), error);
      if (error) {
        return std::nullopt;
      }
      this->reader.Feed({ piece.data(), got });
    }
  }

  // Greets with aOwn and proves with aSecret.
  void Greet(const wire::Greeting& aOwn, const shell::ClusterSecret& aSecret)
  {
    this->Send(aOwn);
    const auto other = this->Read();
    if (other) {
      this->Send(wire::GreetingProof{ shell::GreetingProofOf(
        aSecret, aOwn, std::get<wire::Greeting>(*other)) });
    }
  }

  RawClient client;

private:
  wire::FrameReader reader;
};

wire::Greeting
GoodGreeting()
{
  return { kPeerProtocolVersion,
           "test",
           InstanceId("a"),
           "boot-a",
           std::string(16, 'n') };
}

// True when the network closes the connection after this greeting.
bool
IsClosedAfter(Network& aNetwork,
              const wire::Greeting& aGreeting,
              const shell::ClusterSecret& aSecret)
{
  RawPeer peer(aNetwork.port);
  peer.Greet(aGreeting, aSecret);
  while (peer.Read()) {
  }
  return true;
}

} // namespace

// Guards against messages of a stranger that reach the core: each must be
// refused before its first message counts.
Test(PeerNetwork, RefusesStrangers)
{
  TestTrace trace;
  Network network;
  EXPECT_THAT(trace, network.started);
  trace.Section("an unknown protocol version", [&] {
    auto greeting = GoodGreeting();
    greeting.protocol = 99;
    EXPECT_THAT(trace, IsClosedAfter(network, greeting, kSecret));
  });
  trace.Section("another cluster", [&] {
    auto greeting = GoodGreeting();
    greeting.cluster = "other";
    EXPECT_THAT(trace, IsClosedAfter(network, greeting, kSecret));
  });
  trace.Section("this instance's own name", [&] {
    auto greeting = GoodGreeting();
    greeting.instance = InstanceId("b");
    EXPECT_THAT(trace, IsClosedAfter(network, greeting, kSecret));
  });
  trace.Section("a proof with another secret", [&] {
    const shell::ClusterSecret other(std::string(32, 'x'));
    EXPECT_THAT(trace, IsClosedAfter(network, GoodGreeting(), other));
  });
  trace.Section("a message before the proof", [&] {
    RawPeer peer(network.port);
    peer.Send(GoodGreeting());
    peer.Send(wire::JoinRequest{});
    while (peer.Read()) {
    }
  });
  EXPECT_EQUAL(trace, network.received.load(), 0);
}

// Guards against a stream that is read out of step after a wrong length, and
// against a lost connection that nobody notices.
Test(PeerNetwork, ClosesBrokenStreams)
{
  TestTrace trace;
  Network network;
  RawPeer peer(network.port);
  peer.Greet(GoodGreeting(), kSecret);
  trace.Section("a good message arrives", [&] {
    peer.Send(wire::JoinRequest{});
    EXPECT_EQUAL(trace, network.first.get_future().get(), "a");
  });
  trace.Section("a frame that is too long ends the connection", [&] {
    peer.client.Send(std::string("\xff\xff\xff\xff", 4));
    while (peer.Read()) {
    }
    network.lost.get_future().wait();
  });
  EXPECT_EQUAL(trace, network.received.load(), 1);
}

// Guards against memory that grows with a peer that reads nothing.
Test(PeerNetwork, BoundsTheQueueOfASlowPeer)
{
  TestTrace trace;
  Network network;
  RawPeer peer(network.port);
  peer.Greet(GoodGreeting(), kSecret);
  peer.Send(wire::JoinRequest{});
  network.first.get_future().wait();
  agreement::SnapshotChunk chunk;
  chunk.data.assign(16384, 'x');
  std::promise<std::uint64_t> dropped;
  asio::post(network.io, [&] {
    // 64 MiB, many times the bound of the queue.
    for (int i = 0; i < 4096; ++i) {
      network.network->Send(InstanceId("a"), wire::RaftMessage{ chunk });
    }
    dropped.set_value(
      network.metrics->Value(shell::Counter::PeerMessagesDropped));
  });
  const std::uint64_t count = dropped.get_future().get();
  // 4 MiB of chunks are kept, the rest is dropped.
  EXPECT_THAT(trace, count > 4096 - 300);
}
