// Runs the daemon: periodic work and the graceful stop.
#include "shell/Daemon.h"

#include "agreement/Membership.h"
#include "shell/DaemonImpl.h"
#include "shell/JsonLog.h"

#include <nlohmann/json.hpp>

#include <csignal>

namespace hyssoppaddle::shell {

namespace {

// Resolution of the core's timeouts. The shortest timeout is 100 ms.
constexpr std::chrono::milliseconds kTickInterval{ 20 };
constexpr std::chrono::milliseconds kStopCheckInterval{ 50 };
// Time after the last request for returning permits and handing over the
// leadership.
constexpr std::chrono::milliseconds kHandOverDelay{ 500 };
// Limit for connections that are still writing their last answer.
constexpr std::chrono::seconds kLastAnswersTimeout{ 2 };
constexpr std::chrono::seconds kJoinInterval{ 5 };

} // namespace

void
Daemon::Impl::ArmTick()
{
  this->tickTimer.expires_after(kTickInterval);
  this->tickTimer.async_wait([this](ErrorValue aError) {
    if (!aError) {
      this->core->Tick();
      this->RequestJoin();
      this->ArmTick();
    }
  });
}

void
Daemon::Impl::RequestJoin()
{
  const auto now = SteadyClock::now();
  if (now < this->nextJoinRequest) {
    return;
  }
  this->nextJoinRequest = now + kJoinInterval;
  if (agreement::Membership::MustJoin(this->core->Core().Log(),
                                      this->settings.instance)) {
    this->peers->SendAll(
      wire::JoinRequest{ !this->settings.dataFolder.empty() });
  }
}

void
Daemon::Impl::BeginStop()
{
  if (this->stopping) {
    return;
  }
  // /readyz reports this to the load balancer before the first request is
  // refused.
  this->stopping = true;
  this->stopPhaseStart = SteadyClock::now();
  Log(LogLevel::Info, "stopping", nlohmann::json::object());
  this->core->BeginStop();
  this->ArmStopCheck();
}

void
Daemon::Impl::ArmStopCheck()
{
  this->stopTimer.expires_after(kStopCheckInterval);
  this->stopTimer.async_wait([this](ErrorValue aError) {
    if (!aError) {
      this->CheckStop();
    }
  });
}

void
Daemon::Impl::CheckStop()
{
  const auto elapsed = SteadyClock::now() - this->stopPhaseStart;
  if (this->closingListeners) {
    const bool hasNoConnections =
      this->callers->Connections() + this->control->Connections() == 0;
    if (hasNoConnections || elapsed > kLastAnswersTimeout) {
      this->Finish();
      return;
    }
  } else if ((this->core->Core().IsDrained() && elapsed > kHandOverDelay) ||
             elapsed > this->settings.limits.requestTimeout) {
    this->closingListeners = true;
    this->stopPhaseStart = SteadyClock::now();
    this->callers->Stop();
    this->control->Stop();
  }
  this->ArmStopCheck();
}

void
Daemon::Impl::Finish()
{
  this->peers->Stop();
  this->relay->Stop();
  this->tickTimer.cancel();
  this->signals.cancel();
  this->storage.reset();
  Log(LogLevel::Info, "stopped", nlohmann::json::object());
  this->io.stop();
}

void
Daemon::Impl::HandleLocal(api::HttpRequest aRequest, api::ReplyCallback aReply)
{
  const bool isControl = aRequest.listener == api::Listener::Control;
  if (isControl && aRequest.target == "/metrics") {
    aReply(this->MetricsReply());
  } else if (isControl && aRequest.target == "/healthz") {
    aReply(this->HealthReply(true));
  } else if (isControl && aRequest.target == "/readyz") {
    aReply(this->HealthReply(!this->stopping &&
                             this->core->Core().IsReady(this->core->Now())));
  } else {
    this->handler->Handle(std::move(aRequest), std::move(aReply));
  }
}

api::HttpReply
Daemon::Impl::MetricsReply() const
{
  const core::Reducer& reducer = this->core->Core();
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  const std::vector<Gauge> gauges{
    { "requests_active",
      "Requests under way.",
      number(reducer.Requests().Active()) },
    { "peers_connected", "Peer links.", number(this->peers->Connected()) },
    { "caller_connections",
      "Connections of callers.",
      number(this->callers->Connections()) },
    { "applied_index", "Last entry applied.", number(reducer.AppliedIndex()) },
    { "commit_index",
      "Last entry committed.",
      number(reducer.Log().CommitIndex()) },
    { "term", "Term of the log.", number(reducer.Log().CurrentTerm()) },
    { "is_leader",
      "1 on the leader.",
      reducer.Log().CurrentRole() == agreement::Role::Leader ? 1.0 : 0.0 },
    { "bundle_version",
      "Bundle in force here.",
      number(reducer.State().ActiveBundle().version) },
  };
  return {
    200, "text/plain; version=0.0.4", {}, this->metrics->Render(gauges)
  };
}

api::HttpReply
Daemon::Impl::HealthReply(bool aHealthy) const
{
  return {
    aHealthy ? 200U : 503U, "text/plain", {}, aHealthy ? "ok\n" : "not ready\n"
  };
}

Daemon::Daemon(config::Settings aSettings, DaemonParts aParts)
  : impl(std::make_unique<Impl>(std::move(aSettings), std::move(aParts)))
{
}

Daemon::~Daemon() = default;

Result<void>
Daemon::Start()
{
  return this->impl->Start();
}

void
Daemon::Run()
{
  this->impl->signals.add(SIGTERM);
  this->impl->signals.add(SIGINT);
  this->impl->signals.async_wait([this](ErrorValue aError, int) {
    if (!aError) {
      this->impl->BeginStop();
    }
  });
  Log(LogLevel::Info,
      "started",
      { { "instance", this->impl->settings.instance.value },
        { "boot", this->impl->boot },
        { "callers_port", this->CallersPort() },
        { "control_port", this->ControlPort() },
        { "peers_port", this->PeersPort() } });
  this->impl->io.run();
}

void
Daemon::RequestStop()
{
  asio::post(this->impl->io, [this] { this->impl->BeginStop(); });
}

std::uint16_t
Daemon::CallersPort() const
{
  return this->impl->callers->Port();
}

std::uint16_t
Daemon::ControlPort() const
{
  return this->impl->control->Port();
}

std::uint16_t
Daemon::PeersPort() const
{
  return this->impl->peers->Port();
}

} // namespace hyssoppaddle::shell
