// Creates the components of the daemon and connects them.
#include "shell/DaemonImpl.h"

#include "shell/ClusterSecret.h"
#include "shell/JsonLog.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace hyssoppaddle::shell {

namespace {

constexpr std::size_t kBootIdBytes = 16;

std::uint64_t
RandomSeed()
{
  std::uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  return seed;
}

agreement::Configuration
InitialConfiguration(const config::Settings& aSettings)
{
  agreement::Configuration initial;
  for (const config::PeerSettings& peer : aSettings.peers) {
    (peer.voter ? initial.voters : initial.learners).push_back(peer.instance);
  }
  std::sort(initial.voters.begin(), initial.voters.end());
  std::sort(initial.learners.begin(), initial.learners.end());
  return initial;
}

[[noreturn]] void
StopAfterStorageFailure(const Error& aError)
{
  Log(LogLevel::Error, "storage_failed", { { "reason", aError.message } });
  std::_Exit(kStorageFailedExitCode);
}

HttpServerOptions
ServerOptions(const config::Settings& aSettings, api::Listener aListener)
{
  const bool callers = aListener == api::Listener::Callers;
  HttpServerOptions options;
  options.address =
    callers ? aSettings.callersAddress : aSettings.controlAddress;
  options.tls = callers ? aSettings.callersTls : aSettings.controlTls;
  options.limits = aSettings.limits;
  options.listener = aListener;
  return options;
}

} // namespace

Daemon::Impl::Impl(config::Settings aSettings, DaemonParts aParts)
  : settings(std::move(aSettings))
  , parts(std::move(aParts))
  , deadlines(std::make_shared<DeadlineQueue>(this->io))
  , metrics(std::make_shared<Metrics>())
{
}

Result<void>
Daemon::Impl::Start()
{
  if (sodium_init() < 0) {
    return Fail(ErrorCode::Unavailable, "libsodium could not be initialized");
  }
  this->boot = RandomHex(kBootIdBytes);
  auto secret = ClusterSecret::Load(this->settings.clusterSecretFile);
  if (!secret) {
    return tl::unexpected<Error>(secret.error());
  }
  const auto recovered = this->OpenLog();
  if (!recovered) {
    return tl::unexpected<Error>(recovered.error());
  }
  this->MakeCore(*recovered, *secret);
  this->MakeStorage();
  this->MakeRelay();
  this->MakePeers(*secret);
  this->MakeServers();
  this->core->SetTargets(
    { this->relay, this->peers, this->instructions, this->storage.get() });
  Result<void> started = this->peers->Start();
  if (started) {
    started = this->control->Start();
  }
  if (started) {
    started = this->callers->Start();
  }
  if (started) {
    this->relay->Start();
    this->ArmTick();
  }
  return started;
}

Result<agreement::RecoveredLog>
Daemon::Impl::OpenLog()
{
  if (this->settings.dataFolder.empty()) {
    return agreement::RecoveredLog{};
  }
  auto opened = this->parts.openLog(this->settings);
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  this->log = std::move(*opened);
  return this->log->TakeRecovered();
}

void
Daemon::Impl::MakeCore(const agreement::RecoveredLog& aRecovered,
                       ClusterSecret aSecret)
{
  core::ReducerOptions options;
  options.self = this->settings.instance;
  options.dataCentre = this->settings.dataCentre;
  options.boot = this->boot;
  options.seed = RandomSeed();
  options.initial = InitialConfiguration(this->settings);
  options.request.maxDeadline = this->settings.limits.requestTimeout;
  DecisionLog decisions(
    this->settings.decisionLinesPerSecond,
    this->metrics,
    [](std::string_view aEvent, const nlohmann::json& aFields) {
      Log(LogLevel::Info, aEvent, aFields);
    });
  this->core = std::make_unique<CoreLoop>(std::move(options),
                                          aRecovered,
                                          std::move(aSecret),
                                          this->metrics,
                                          std::move(decisions));
  this->handler = this->parts.makeHandler(*this->core);
}

void
Daemon::Impl::MakeStorage()
{
  StorageHooks hooks;
  hooks.written = [this](std::uint64_t aSequence) {
    this->core->Submit(core::StorageWritten{ aSequence });
  };
  hooks.saved = [this](SnapshotWork aSnapshot) {
    this->core->Submit(core::SnapshotSaved{ std::move(aSnapshot.meta),
                                            std::move(aSnapshot.bytes) });
  };
  hooks.synced = [this](Duration aElapsed) {
    this->metrics->Observe(Timing::StorageSync, aElapsed);
    this->metrics->Add(Counter::StorageBatches);
  };
  hooks.refused = [](const Error& aError) {
    Log(LogLevel::Warning, "storage_refused", { { "reason", aError.message } });
  };
  hooks.accepted = [] { Log(LogLevel::Info, "storage_accepts", {}); };
  hooks.snapshotRefused = [](const Error& aError) {
    Log(
      LogLevel::Warning, "snapshot_refused", { { "reason", aError.message } });
  };
  this->storage = std::make_unique<StorageThread>(
    this->io, std::move(this->log), std::move(hooks), StopAfterStorageFailure);
}

void
Daemon::Impl::MakeRelay()
{
  RelayHooks hooks;
  hooks.submit = [this](request::Event aEvent) {
    this->core->Submit(std::move(aEvent));
  };
  hooks.keyDigest = [this](std::string_view aSecret) {
    return this->core->KeyDigest(aSecret);
  };
  hooks.connectionsOf = [this](const InstanceId& aUpstream) {
    const auto& upstreams = this->core->Core().State().Upstreams();
    const auto found = upstreams.find(aUpstream);
    return found == upstreams.end() ? 0U
                                    : found->second.announcement.connections;
  };
  hooks.classOf = [this](const ServiceId& aService) {
    const auto* service = this->core->Core().State().FindService(aService);
    return service == nullptr ? state::WorkClass::Print : service->workClass;
  };
  this->relay = std::make_shared<Relay>(this->io,
                                        this->settings.limits,
                                        this->deadlines,
                                        this->metrics,
                                        std::move(hooks));
  this->instructions = std::make_shared<InstructionSender>(
    this->io, this->deadlines, this->metrics);
}

void
Daemon::Impl::MakePeers(const ClusterSecret& aSecret)
{
  PeerNetworkOptions options;
  options.address = this->settings.peersAddress;
  options.tls = this->settings.peersTls;
  options.peers = this->settings.peers;
  options.seed = RandomSeed();
  PeerHooks hooks;
  hooks.received = [this](const InstanceId& aFrom, wire::PeerMessage aMessage) {
    this->core->Submit(core::PeerReceived{ aFrom, std::move(aMessage) });
  };
  hooks.connected = [](const InstanceId&) {};
  hooks.lost = [this](const InstanceId& aPeer) {
    this->core->Submit(core::PeerLost{ aPeer });
  };
  this->peers = std::make_shared<PeerNetwork>(
    this->io,
    std::move(options),
    std::make_shared<PeerIdentity>(PeerIdentity{
      this->settings.cluster, this->settings.instance, this->boot, aSecret }),
    this->deadlines,
    this->metrics,
    std::move(hooks));
}

void
Daemon::Impl::MakeServers()
{
  const auto local = [this](api::HttpRequest aRequest,
                            api::ReplyCallback aReply) {
    this->HandleLocal(std::move(aRequest), std::move(aReply));
  };
  this->callers = std::make_shared<HttpServer>(
    this->io,
    ServerOptions(this->settings, api::Listener::Callers),
    this->deadlines,
    this->metrics,
    this->relay,
    local);
  this->control = std::make_shared<HttpServer>(
    this->io,
    ServerOptions(this->settings, api::Listener::Control),
    this->deadlines,
    this->metrics,
    nullptr,
    local);
}

} // namespace hyssoppaddle::shell
