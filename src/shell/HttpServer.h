// HTTP/1.1 listener with keep-alive and limits on what a caller may send.
// Invalid input is answered with one problem reply.
#ifndef hyssoppaddle_shell_HttpServer_h
#define hyssoppaddle_shell_HttpServer_h

#include "api/ControlHandler.h"
#include "base/DescriptorBudget.h"
#include "base/Result.h"
#include "config/Settings.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"
#include "shell/Metrics.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace hyssoppaddle::shell {

class HttpSession;
class Relay;

using LocalHandler = std::function<void(api::HttpRequest, api::ReplyCallback)>;

// Limit for the body of a request that is answered locally and not relayed.
inline constexpr std::uint64_t kMaxLocalBodyBytes = 4ULL * 1024 * 1024;

struct HttpServerOptions
{
  std::string address; // port 0 selects any free port
  std::optional<config::TlsSettings> tls;
  config::LimitSettings limits;
  api::Listener listener = api::Listener::Callers;
  // Null: `limits` alone bounds the connections.
  std::shared_ptr<DescriptorBudget> descriptors;
  DescriptorOwner owner = DescriptorOwner::Callers;
  // When no descriptor is left, the connection that has been idle for longest
  // is closed. One that was idle for less than this may be about to carry the
  // next request, which would be lost with it.
  Duration minIdleBeforeClose = std::chrono::seconds(1);
};

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  // aRelay serves /services/ and is null on the control listener.
  HttpServer(asio::io_context& aIo,
             HttpServerOptions aOptions,
             std::shared_ptr<DeadlineQueue> aDeadlines,
             std::shared_ptr<Metrics> aMetrics,
             std::shared_ptr<Relay> aRelay,
             LocalHandler aHandler);
  ~HttpServer();

  Result<void> Start();
  [[nodiscard]] std::uint16_t Port() const;
  // Stops accepting connections and closes idle ones. The others are closed
  // after their current answer.
  void Stop();
  [[nodiscard]] std::size_t Connections() const;

private:
  friend class HttpSession;

  void Accept();
  // Accepts the connections that wait already.
  void AcceptWaiting();
  void StartSession(Socket aSocket);
  [[nodiscard]] bool AcquireDescriptor();
  // Closes no connection if none has been idle for long enough.
  void CloseLongestIdle();

  asio::io_context& io;
  HttpServerOptions options;
  std::shared_ptr<DeadlineQueue> deadlines;
  std::shared_ptr<Metrics> metrics;
  std::shared_ptr<Relay> relay;
  LocalHandler handler;
  std::shared_ptr<asio::ssl::context> tls;
  Acceptor acceptor;
  Timer retryTimer;
  std::unordered_set<HttpSession*> sessions;
  std::size_t refusedSessions = 0; // of `sessions`: only told that they are
  // A subset of `sessions`; the one that has been idle for longest is first.
  std::list<HttpSession*> idleSessions;
  bool stopping = false;
};

} // namespace hyssoppaddle::shell

#endif
