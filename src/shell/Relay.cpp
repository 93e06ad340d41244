// Keeps the table of active requests and runs the periodic checks.
#include "shell/Relay.h"

#include "shell/Exchange.h"

namespace hyssoppaddle::shell {

namespace {

// A caller that disconnects while it waits is detected within this time.
// Requests that are answered sooner are never checked.
constexpr std::chrono::milliseconds kSweepInterval{ 250 };

} // namespace

Relay::Relay(asio::io_context& aIo,
             const config::LimitSettings& aLimits,
             std::shared_ptr<DeadlineQueue> aDeadlines,
             std::shared_ptr<Metrics> aMetrics,
             RelayHooks aHooks)
  : io(aIo)
  , limits(aLimits)
  , deadlines(std::move(aDeadlines))
  , metrics(std::move(aMetrics))
  , hooks(std::move(aHooks))
  , pool(aLimits.idleTimeout)
  , sweepTimer(aIo)
{
}

Relay::~Relay() = default;

void
Relay::Start()
{
  this->ArmSweep();
}

void
Relay::Stop()
{
  this->sweepTimer.cancel();
}

void
Relay::ArmSweep()
{
  this->sweepTimer.expires_after(kSweepInterval);
  this->sweepTimer.async_wait(
    [weak = this->weak_from_this()](ErrorValue aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->Sweep();
        self->ArmSweep();
      }
    });
}

void
Relay::Sweep()
{
  const auto now = SteadyClock::now();
  for (const auto& [number, exchange] : this->exchanges) {
    exchange->CheckCaller(now);
  }
  this->pool.Sweep();
}

void
Relay::Add(Exchange& aExchange)
{
  ++this->lastNumber;
  aExchange.head.arrived.request = this->lastNumber;
  this->exchanges.emplace(this->lastNumber, &aExchange);
}

void
Relay::Remove(request::RequestNumber aRequest)
{
  this->exchanges.erase(aRequest);
}

Exchange*
Relay::Find(request::RequestNumber aRequest)
{
  const auto found = this->exchanges.find(aRequest);
  return found == this->exchanges.end() ? nullptr : found->second;
}

void
Relay::Execute(request::StartAttempt aEffect)
{
  if (Exchange* exchange = this->Find(aEffect.request)) {
    this->metrics->Add(Counter::Attempts);
    if (aEffect.attempt > 1) {
      this->metrics->Add(Counter::Retries);
    }
    exchange->Start(std::move(aEffect));
  }
}

void
Relay::Execute(const request::AbandonAttempt& aEffect)
{
  if (Exchange* exchange = this->Find(aEffect.request)) {
    exchange->Abandon(aEffect.attempt);
  }
}

void
Relay::Execute(request::Refuse aEffect)
{
  this->metrics->CountRefusal(CodeOf(aEffect.problem));
  if (Exchange* exchange = this->Find(aEffect.request)) {
    exchange->Refuse(std::move(aEffect));
  }
}

void
Relay::Execute(const request::AbortCaller& aEffect)
{
  if (Exchange* exchange = this->Find(aEffect.request)) {
    exchange->Abort();
  }
}

Awaitable<bool>
Relay::Serve(CallerLink& aCaller, bool aKeepAlive)
{
  this->metrics->Add(Counter::Requests);
  auto head = ReadRelayHead(
    aCaller.Request(), this->limits.replayBytes, this->hooks.keyDigest);
  if (!head) {
    this->metrics->CountRefusal(head.error().code);
    const api::HttpReply reply = ProblemReply(head.error());
    co_return co_await aCaller.Reply(reply, aKeepAlive);
  }
  Exchange exchange(
    this->shared_from_this(), aCaller, std::move(*head), aKeepAlive);
  co_return co_await exchange.Run();
}

} // namespace hyssoppaddle::shell
