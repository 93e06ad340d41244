// HTTP client that sends requests to many addresses over persistent
// connections, with a small pool of connections per address.
#ifndef hyssoppaddle_node_HttpClient_h
#define hyssoppaddle_node_HttpClient_h

#include "node/Protocol.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppaddle::node {

class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
  using Callback = std::function<void(OutboundResult)>;

  HttpClient(shell::asio::io_context& aIo,
             std::shared_ptr<shell::DeadlineQueue> aDeadlines);
  ~HttpClient();

  // Calls aDone exactly once, never before Send returns. aMaySend is evaluated
  // immediately before the first byte is sent, because the request may have
  // waited for a connection, or the process may have been paused, since the
  // decision to send it.
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
  };

  void AssignRequests(const std::string& aAddress);
  void StartConnection(const std::string& aAddress);
  shell::Awaitable<void> Run(std::shared_ptr<Connection> aConnection);
  shell::Awaitable<bool> Open(Connection& aConnection);
  shell::Awaitable<OutboundResult> Exchange(Connection& aConnection,
                                            const OutboundRequest& aRequest);
  void RemoveConnection(const Connection& aConnection);

  shell::asio::io_context& io;
  std::shared_ptr<shell::DeadlineQueue> deadlines;
  std::map<std::string, Host> hosts;
  std::uint64_t connectionsOpened = 0;
  bool stopping = false;
};

} // namespace hyssoppaddle::node

#endif
