// The relay of one entry instance: it carries out the effects of the request
// reducer on the requests under way and reports what happens to them.
#ifndef hyssoppaddle_shell_Relay_h
#define hyssoppaddle_shell_Relay_h

#include "config/Settings.h"
#include "request/Events.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"
#include "shell/Metrics.h"
#include "shell/RelayHeaders.h"
#include "shell/UpstreamPool.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace hyssoppaddle::shell {

class Exchange;

// What the relay asks of the rest of the daemon.
struct RelayHooks
{
  std::function<void(request::Event)> submit;
  KeyDigestFunction keyDigest;
  // Connections that an upstream declared; bounds the idle ones kept to it.
  std::function<std::uint32_t(const InstanceId&)> connectionsOf;
  std::function<state::WorkClass(const ServiceId&)> classOf;
};

class Relay : public std::enable_shared_from_this<Relay>
{
public:
  Relay(asio::io_context& aIo,
        const config::LimitSettings& aLimits,
        std::shared_ptr<DeadlineQueue> aDeadlines,
        std::shared_ptr<Metrics> aMetrics,
        RelayHooks aHooks);
  ~Relay();

  // Starts the periodic checks of callers and idle connections.
  void Start();
  void Stop();

  // Effects. Those of requests that have ended are ignored.
  void Execute(request::StartAttempt aEffect);
  void Execute(const request::AbandonAttempt& aEffect);
  void Execute(request::Refuse aEffect);
  void Execute(const request::AbortCaller& aEffect);

  // Serves one request whose header is in aCaller. False when the caller's
  // connection must be closed after it.
  Awaitable<bool> Serve(CallerLink& aCaller, bool aKeep);

  [[nodiscard]] std::size_t Active() const { return this->exchanges.size(); }

private:
  friend class Exchange;
  friend class Attempt;

  void Add(Exchange& aExchange);
  void Remove(request::RequestNumber aRequest);
  Exchange* Find(request::RequestNumber aRequest);
  void ArmSweep();
  void Sweep();

  asio::io_context& io;
  config::LimitSettings limits;
  std::shared_ptr<DeadlineQueue> deadlines;
  std::shared_ptr<Metrics> metrics;
  RelayHooks hooks;
  UpstreamPool pool;
  // Only looked up by number and swept; the order decides nothing.
  std::unordered_map<request::RequestNumber, Exchange*> exchanges;
  request::RequestNumber lastNumber = 0;
  Timer sweepTimer;
};

} // namespace hyssoppaddle::shell

#endif
