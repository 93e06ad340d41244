// HTTP/1.1 listener with keep-alive and limits on what a caller may send.
// Invalid input is answered with one problem reply.
#ifndef hyssoppaddle_shell_HttpServer_h
#define hyssoppaddle_shell_HttpServer_h

#include "api/ControlHandler.h"
#include "base/DescriptorBudget.h"
#include "base/MemoryBudget.h"
#include "base/Result.h"
#include "config/Settings.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"
#include "shell/Metrics.h"
#include "shell/ProgressQueue.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace hyssoppaddle::shell {

class Relay;

using LocalHandler = std::function<void(api::HttpRequest, api::ReplyCallback)>;

// Called when a client is refused or its connection is closed for what it sends
// or does not read. aCause is a stable code in snake case.
using RefusalHook =
  std::function<void(std::string_view aCause, std::string_view aClient)>;

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
  // For requests and answers longer than a few KiB. Null: they are bounded one
  // by one only.
  std::shared_ptr<MemoryBudget> memory;
  MemoryOwner memoryOwner = MemoryOwner::Callers;
  // The handler does not need the bodies, so they are not read.
  bool ignoresBodies = false;
  std::uint32_t headerFields = 128; // of one request
  // A body, and an answer that the client reads, must advance by 64 KiB or
  // reach its end within this time.
  Duration progressTimeout = std::chrono::seconds(10);
  RefusalHook onRefusal = [](std::string_view, std::string_view) {};
  // When no descriptor is left, the connection that has been idle for longest
  // is closed. One that was idle for less than this may be about to carry the
  // next request, which would be lost with it.
  Duration minIdleBeforeClose = std::chrono::seconds(1);
  // The same for connections in the middle of a request or an answer. When
  // memory runs out, or none is idle, the one without progress for longest is
  // closed.
  Duration minStallBeforeClose = std::chrono::seconds(3);
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
  // Connections that are open only to be refused, at most.
  [[nodiscard]] std::size_t MaxRefused() const;
  // Closes a connection that is idle or stalled, if there is one.
  void MakeRoom();
  // Returns false if no connection has been idle for long enough.
  bool CloseLongestIdle();
  // Closes the slowest session of aQueue unless it advanced a short time ago.
  // Returns whether it did.
  bool CloseSlowest(const ProgressQueue& aQueue, std::string_view aCause);
  void CountRefusal(std::string_view aCause, std::string_view aClient);

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
  // Subsets of `sessions` in the middle of a request or an answer: all, and
  // those that hold memory of the budget.
  ProgressQueue unfinished;
  ProgressQueue memoryHolders;
  bool stopping = false;
};

} // namespace hyssoppaddle::shell

#endif
