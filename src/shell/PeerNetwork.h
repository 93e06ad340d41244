// Connections to all other entry instances: one per pair, made again after an
// exponential delay when it is lost.
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
  std::uint64_t seed = 0;                  // jitter of reconnects
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

  // Dials an instance that was learned after the start. Does nothing when it is
  // this instance or is dialled already.
  void AddPeer(const config::PeerSettings& aPeer);
  // Dials it no more and closes its connection.
  void RemovePeer(const InstanceId& aPeer);
  // Closes a connection that has gone silent; it is dialled again.
  void Disconnect(const InstanceId& aPeer, const std::string& aReason);

  // Dropped when there is no connection.
  void Send(const InstanceId& aTo, const wire::PeerMessage& aMessage);
  void SendAll(const wire::PeerMessage& aMessage);
  [[nodiscard]] std::size_t Connected() const { return this->links.size(); }
  [[nodiscard]] bool IsConnected(const InstanceId& aPeer) const
  {
    return this->links.contains(aPeer);
  }

private:
  struct Dialled;
  struct Live
  {
    std::shared_ptr<PeerLink> link;
    bool dialledBySmaller = false; // by the instance with the smaller name
  };

  Result<void> Listen();
  void Accept();
  void Dial(const config::PeerSettings& aPeer);
  Awaitable<void> DialLoop(const std::shared_ptr<Dialled>& aPeer);
  Awaitable<bool> DialOnce(const std::shared_ptr<Dialled>& aPeer);
  Awaitable<void> Serve(Socket& aSocket);
  // Runs a greeted link until it ends.
  Awaitable<void> RunLink(const std::shared_ptr<PeerLink>& aLink,
                          bool aDialledHere);
  [[nodiscard]] bool Install(const std::shared_ptr<PeerLink>& aLink,
                             bool aDialledHere);
  // By value: the caller's pointer may be the one in `links`.
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
  std::map<InstanceId, Live> links;
  std::map<InstanceId, std::shared_ptr<Dialled>> dialled;
  std::size_t greeting = 0; // accepted connections without a proof yet
  bool stopping = false;
};

} // namespace hyssoppaddle::shell

#endif
