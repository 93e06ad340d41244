// The relay of one entry instance: executes the effects of the request reducer
// on the active requests and reports events of these requests to the reducer.
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

// Functions of the daemon that the relay calls.
struct RelayHooks
{
  std::function<void(request::Event)> submit;
  KeyDigestFunction keyDigest;
  // Number of connections that an upstream announced. Limits the idle
  // connections that are kept open to it.
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

  // Starts the periodic check of callers and idle connections.
  void Start();
  void Stop();

  // Execute an effect. Effects for requests that have ended are ignored.
  void Execute(request::StartAttempt aEffect);
  void Execute(const request::AbandonAttempt& aEffect);
  void Execute(request::Refuse aEffect);
  void Execute(const request::AbortCaller& aEffect);

  // Serves one request whose header has been read. Returns false if the
  // caller's connection must be closed afterwards.
  Awaitable<bool> Serve(CallerLink& aCaller, bool aKeepAlive);

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
  // Used for lookups by number and for sweeps, so the order does not matter.
  std::unordered_map<request::RequestNumber, Exchange*> exchanges;
  request::RequestNumber lastNumber = 0;
  Timer sweepTimer;
};

} // namespace hyssoppaddle::shell

#endif
