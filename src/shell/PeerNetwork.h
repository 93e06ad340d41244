// Connections to all other entry instances: one per pair of instances. A lost
// connection is dialled again after an exponential delay.
#ifndef hyssoppaddle_shell_PeerNetwork_h
#define hyssoppaddle_shell_PeerNetwork_h

#include "base/Random.h"
#include "config/Settings.h"
#include "shell/PeerLink.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppaddle::shell {

struct PeerNetworkOptions
{
  std::string address; // to listen on
  std::optional<config::TlsSettings> tls;
  std::vector<config::PeerSettings> peers; // this instance is skipped
  std::uint64_t seed = 0;                  // for the jitter of the dial delays
  // Together they limit how long a peer stays unconnected after the network
  // between the instances has recovered.
  Duration maxRedialDelay{ std::chrono::seconds(2) };
  Duration connectTimeout{ std::chrono::seconds(2) };
};

struct PeerHooks
{
  std::function<void(const InstanceId&, wire::PeerMessage)> received;
  std::function<void(const InstanceId&)> connected;
  std::function<void(const InstanceId&)> lost;
};

class PeerNetwork : public std::enable_shared_from_this<PeerNetwork>
{
public:
  PeerNetwork(asio::io_context& aIo,
              PeerNetworkOptions aOptions,
              std::shared_ptr<const PeerIdentity> aIdentity,
              std::shared_ptr<DeadlineQueue> aDeadlines,
              std::shared_ptr<Metrics> aMetrics,
              PeerHooks aHooks);
  ~PeerNetwork();

  Result<void> Start();
  [[nodiscard]] std::uint16_t Port() const;
  void Stop();

  // Dials an instance that became known after the start. Does nothing if aPeer
  // is this instance or is already being dialled.
  void AddPeer(const config::PeerSettings& aPeer);
  // Stops dialling the instance and closes its connection.
  void RemovePeer(const InstanceId& aPeer);
  // Closes the connection of an instance that no longer answers. The instance
  // is dialled again.
  void Disconnect(const InstanceId& aPeer, const std::string& aReason);

  // The message is dropped if there is no connection.
  void Send(const InstanceId& aTo, const wire::PeerMessage& aMessage);
  void SendAll(const wire::PeerMessage& aMessage);
  [[nodiscard]] std::size_t Connected() const { return this->links.size(); }
  [[nodiscard]] bool IsConnected(const InstanceId& aPeer) const
  {
    return this->links.contains(aPeer);
  }

private:
  struct DialledPeer;
  struct ActiveLink
  {
    std::shared_ptr<PeerLink> link;
    // Dialled by the instance with the smaller name.
    bool dialledBySmallerName = false;
  };

  Result<void> Listen();
  void Accept();
  void Dial(const config::PeerSettings& aPeer);
  Awaitable<void> DialLoop(const std::shared_ptr<DialledPeer>& aPeer);
  Awaitable<bool> DialOnce(const std::shared_ptr<DialledPeer>& aPeer);
  Awaitable<void> Serve(Socket& aSocket);
  // Receives on a link until it ends. The greeting must be complete.
  Awaitable<void> RunLink(const std::shared_ptr<PeerLink>& aLink,
                          bool aDialledHere);
  [[nodiscard]] bool Install(const std::shared_ptr<PeerLink>& aLink,
                             bool aDialledHere);
  // Takes aLink by value, because the argument may be the pointer in `links`.
  void Drop(std::shared_ptr<PeerLink> aLink, const std::string& aReason);
  void Refuse(const std::string& aRemote, const std::string& aReason);
  std::shared_ptr<PeerLink> MakeLink(Socket aSocket);

  asio::io_context& io;
  PeerNetworkOptions options;
  std::shared_ptr<const PeerIdentity> identity;
  std::shared_ptr<DeadlineQueue> deadlines;
  std::shared_ptr<Metrics> metrics;
  PeerHooks hooks;
  Random random;
  std::shared_ptr<asio::ssl::context> tls;
  Acceptor acceptor;
  std::map<InstanceId, ActiveLink> links;
  std::map<InstanceId, std::shared_ptr<DialledPeer>> dialled;
  std::size_t pendingGreetings = 0; // accepted, proof not yet received
  bool stopping = false;
};

} // namespace hyssoppaddle::shell

#endif
