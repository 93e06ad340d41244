// HTTP client that sends requests to many addresses over persistent
// connections, with a small pool of connections per address and a budget of
// descriptors for all of them.
#ifndef hyssoppaddle_node_HttpClient_h
#define hyssoppaddle_node_HttpClient_h

#include "node/Protocol.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppaddle {
class DescriptorBudget;
}

namespace hyssoppaddle::node {

class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
  using Callback = std::function<void(OutboundResult)>;

  HttpClient(shell::asio::io_context& aIo,
             std::shared_ptr<shell::DeadlineQueue> aDeadlines,
             std::shared_ptr<DescriptorBudget> aDescriptors);
  ~HttpClient();

  // Calls aDone exactly once, never before Send returns. aMaySend is evaluated
  // immediately before the first byte is sent, because the request may have
  // waited for a connection, or the process may have been paused, since the
  // decision to send it. When no descriptor is left, the connection that has
  // been idle for longest is closed, or the request waits for one.
  void Send(OutboundRequest aRequest,
            std::function<bool()> aMaySend,
            Callback aDone);
  // Fails the waiting requests and closes all connections.
  void Stop();
  [[nodiscard]] std::uint64_t ConnectionsOpened() const
  {
    return this->connectionsOpened;
  }

private:
  struct PendingRequest
  {
    OutboundRequest request;
    std::function<bool()> maySend;
    Callback done;
    shell::SteadyClock::time_point expiresAt;
  };
  struct Connection;
  struct Host
  {
    std::deque<PendingRequest> waiting;
    std::vector<std::shared_ptr<Connection>> connections;
    bool isStarved = false; // listed in starvedHosts
  };

  void AssignRequests(const std::string& aAddress);
  [[nodiscard]] bool AcquireDescriptor();
  void ReleaseDescriptor(Connection& aConnection);
  // Lets the hosts that wait for a descriptor connect as far as there are any.
  void ServeStarvedHosts();
  void ExpireStarvedRequests();
  void StartConnection(const std::string& aAddress);
  shell::Awaitable<void> Run(std::shared_ptr<Connection> aConnection);
  shell::Awaitable<bool> Open(Connection& aConnection);
  // Sends the pending request of the connection, over a new one if need be.
  shell::Awaitable<OutboundResult> Transfer(Connection& aConnection);
  shell::Awaitable<OutboundResult> Exchange(Connection& aConnection,
                                            const OutboundRequest& aRequest);
  void RemoveConnection(Connection& aConnection);

  shell::asio::io_context& io;
  std::shared_ptr<shell::DeadlineQueue> deadlines;
  std::shared_ptr<DescriptorBudget> descriptors;
  std::map<std::string, Host> hosts;
  // The one that has been idle for longest is first.
  std::list<Connection*> idleConnections;
  // Addresses whose requests wait for a descriptor, in order of arrival.
  std::deque<std::string> starvedHosts;
  shell::Deadline starvedDeadline; // set while starvedHosts is not empty
  std::uint64_t connectionsOpened = 0;
  bool stopping = false;
};

} // namespace hyssoppaddle::node

#endif
