// Creates the components of a node and connects them.
#include "node/NodeImpl.h"

#include "node/Clock.h"
#include "node/LogLimits.h"
#include "shell/Clock.h"
#include "shell/HandlerErrors.h"
#include "shell/JsonLog.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <cstdlib>
#include <sys/resource.h>

namespace hyssoppaddle::node {

namespace {

using namespace shell;

// The nodes of a deployment communicate on a private network, so the peer
// handshake uses no shared secret.
constexpr const char* kClusterName = "fleet";
constexpr std::size_t kBootIdBytes = 16;
// Nodes connect to few others over short distances, and callers wait until the
// link to the leader is restored.
constexpr Duration kMaxRedialDelay = std::chrono::milliseconds(400);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
constexpr int kStorageFailedExitCode = 12;
// The load balancer and the collector of the metrics open a few at a time.
// Their connections are not part of the budget of descriptors.
constexpr std::uint32_t kMaxProbeConnections = 32;
// Where the system sets no limit for descriptors.
constexpr std::uint64_t kMaxDescriptors = 1000000;
constexpr std::uint64_t kMaxBodyBytes = 4ULL * 1024 * 1024;

std::uint64_t
RandomSeed()
{
  std::uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  return seed;
}

std::size_t
DescriptorLimit(const NodeSettings& aSettings)
{
  if (aSettings.descriptors != 0) {
    return aSettings.descriptors;
  }
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMaxDescriptors;
  }
  return std::min<std::uint64_t>(limit.rlim_cur, kMaxDescriptors);
}

// Chosen so that an election completes within the time limits of most callers.
agreement::RaftTimes
ElectionTimeouts()
{
  agreement::RaftTimes times;
  times.voterHeartbeat = std::chrono::milliseconds(150);
  times.learnerHeartbeat = std::chrono::milliseconds(300);
  times.minElectionTimeout = std::chrono::milliseconds(900);
  times.maxElectionTimeout = std::chrono::milliseconds(1400);
  times.restartGrace = std::chrono::milliseconds(500);
  return times;
}

} // namespace

Node::Impl::Impl(NodeSettings aSettings,
                 std::unique_ptr<Protocol> aProtocol,
                 Reloader aReload)
  : settings(std::move(aSettings))
  , protocol(std::move(aProtocol))
  , reload(std::move(aReload))
  , self(this->settings.peersAddress)
  , deadlines(std::make_shared<DeadlineQueue>(this->io))
  , metrics(std::make_shared<Metrics>())
  , descriptors(
      std::make_shared<DescriptorBudget>(DescriptorLimit(this->settings)))
  , memory(std::make_shared<MemoryBudget>(MemoryLimit(this->settings)))
  , log(this->settings.name,
        this->settings.decisionLinesPerSecond,
        WriteToStandardOutput)
  , loopMeter(SuspendAwareNow)
  , callQueue(
      [this](const QueuedCall& aCall, CallQueue::DiscardReason aReason) {
        this->DiscardCall(aCall, aReason);
      },
      this->memory->PartOfCalls())
  , speedProbe([] { return TimeFixedComputation(SuspendAwareNow); })
  , cluster(this->self, !this->settings.dataFolder.empty())
  , membership(this->self, this->settings.tolerance)
  , client(std::make_shared<HttpClient>(this->io,
                                        this->deadlines,
                                        this->descriptors))
  , stop(this->settings.gracePeriod)
{
}

Result<void>
Node::Impl::Start()
{
  if (sodium_init() < 0) {
    return Fail(ErrorCode::Unavailable, "libsodium could not be initialized");
  }
  // Components shared with the daemon log only warnings and errors.
  StartLogging("hyssoppaddle", LogLevel::Warning);
  MakeStandardOutputNonBlocking();
  this->cluster.SetSeeds(this->settings.seeds);
  if (Result<void> opened = this->OpenLog(); !opened) {
    return opened;
  }
  if (!this->settings.dataFolder.empty()) {
    this->MakeReplica(this->settings.firstStart && this->dataFolderWasEmpty &&
                      this->cluster.IsFounder());
  }
  this->MakeRouter();
  this->MakePeers();
  this->MakeServers();
  Result<void> started = this->peers->Start();
  for (const auto& server : { this->controlServer,
                              this->callersServer,
                              this->readyServer,
                              this->metricsServer }) {
    if (started && server) {
      started = server->Start();
    }
  }
  if (!started) {
    return started;
  }
  this->callTargetLostAt = SuspendAwareNow();
  this->takeover.OnLeaderLost(this->callTargetLostAt);
  this->DialLinkTargets();
  this->ArmSignals();
  this->ArmTick();
  this->LogUnthrottled(
    { "started",
      {},
      { { "self", this->self.value },
        { "disk", this->settings.dataFolder.empty() ? "no" : "yes" },
        { "first_start", this->settings.firstStart ? "yes" : "no" },
        { "folder", this->dataFolderWasEmpty ? "empty" : "in use" },
        { "seeds", std::to_string(this->settings.seeds.size()) } } });
  this->log.Flush();
  return {};
}

Result<void>
Node::Impl::OpenLog()
{
  if (this->settings.dataFolder.empty()) {
    return {};
  }
  auto opened = OpenLogFolder(this->settings.dataFolder,
                              kClusterName,
                              this->self,
                              [this](std::uint64_t aBytes) {
                                this->LogUnthrottled(
                                  { "torn_log_tail_truncated",
                                    {},
                                    { { "bytes", std::to_string(aBytes) } } });
                              });
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  this->durableLog = std::move(*opened);
  this->recovered = this->durableLog->TakeRecovered();
  this->dataFolderWasEmpty = !this->recovered.voteStateIntact;
  return {};
}

void
Node::Impl::MakeReplica(bool aFoundsCluster)
{
  agreement::Configuration initial;
  // Only a replica whose log is empty is made a second time.
  agreement::RecoveredLog recoveredLog = std::exchange(this->recovered, {});
  if (aFoundsCluster) {
    initial.voters = { this->self };
  }
  // At the first start no vote can have been cast and lost.
  recoveredLog.voteStateIntact =
    recoveredLog.voteStateIntact || this->settings.firstStart;
  ReplicaHooks hooks;
  hooks.send = [this](const InstanceId& aTo, agreement::Message aMessage) {
    this->peers->Send(aTo, wire::RaftMessage{ std::move(aMessage) });
  };
  hooks.persist = [this](agreement::Persist aPersist) {
    this->storage->Enqueue(std::move(aPersist));
  };
  hooks.saveSnapshot = [this](agreement::SnapshotMeta aMeta,
                              std::string aBytes) {
    this->storage->Enqueue(SnapshotWork{ std::move(aMeta), std::move(aBytes) });
  };
  hooks.applied = [this](const work::Batch& aBatch,
                         std::span<const work::Verdict> aVerdicts) {
    const LoopMeter::Scope scope(this->loopMeter, LoopPart::Apply);
    this->dispatcher->Applied(
      aBatch, aVerdicts, SuspendAwareNow(), WallClockNow());
  };
  hooks.restored = [this] {
    this->dispatcher->OnStateRestored(SuspendAwareNow());
  };
  hooks.roleChanged = [this](const agreement::RoleChanged& aRole) {
    this->cluster.OnRole(aRole.leader, aRole.term, SuspendAwareNow());
    this->LogThrottled(
      { "role_changed",
        {},
        { { "term", std::to_string(aRole.term) },
          { "leader", aRole.leader.value },
          { "leads",
            aRole.role == agreement::Role::Leader ? "yes" : "no" } } });
    this->nextStatusAt = Time{}; // send the new status at once
    if (aRole.role == agreement::Role::Leader) {
      this->takeover.OnElected(SuspendAwareNow());
    }
  };
  hooks.unreadable = [this](const Error& aError) {
    this->LogUnthrottled(
      { "log_unreadable", {}, { { "reason", aError.message } } });
  };
  this->replica = std::make_unique<Replica>(
    agreement::Raft(this->self,
                    std::move(initial),
                    std::move(recoveredLog),
                    RandomSeed(),
                    SuspendAwareNow(),
                    ElectionTimeouts(),
                    LogLimits(MemoryLimit(this->settings))),
    std::move(hooks));
  this->MakeLeaderParts();
  if (this->storage) {
    return;
  }
  StorageHooks storageHooks;
  storageHooks.written = [this](std::uint64_t aSequence) {
    this->StepReplica(agreement::Persisted{ aSequence }, SuspendAwareNow());
    this->ScheduleOutputProcessing();
  };
  storageHooks.saved = [this](SnapshotWork aSnapshot) {
    this->StepReplica(agreement::SnapshotTaken{ std::move(aSnapshot.meta),
                                                std::move(aSnapshot.bytes) },
                      SuspendAwareNow());
    this->ScheduleOutputProcessing();
  };
  storageHooks.synced = [this](Duration aElapsed) {
    this->metrics->Observe(Timing::StorageSync, aElapsed);
    this->metrics->Add(Counter::StorageBatches);
  };
  storageHooks.refused = [this](const Error& aError) {
    this->storageRefuses = true;
    this->LogUnthrottled(
      { "storage_refused", {}, { { "reason", aError.message } } });
  };
  storageHooks.accepted = [this] {
    this->storageRefuses = false;
    this->LogUnthrottled({ "storage_accepts", {}, {} });
  };
  storageHooks.snapshotRefused = [this](const Error& aError) {
    this->LogUnthrottled(
      { "snapshot_refused", {}, { { "reason", aError.message } } });
  };
  this->storage = std::make_unique<StorageThread>(
    this->io,
    std::move(this->durableLog),
    std::move(storageHooks),
    [this](const Error& aError) {
      // It is unknown what was written to disk, so this process must not
      // continue.
      const std::string line = "{\"event\":\"storage_failed\",\"node\":\"" +
                               this->settings.name + "\",\"reason\":\"" +
                               aError.message + "\"}\n";
      (void)WriteToStandardOutput(line);
      std::_Exit(kStorageFailedExitCode);
    });
}

void
Node::Impl::MakeLeaderParts()
{
  this->dispatcher = std::make_unique<dispatch::Dispatcher>(
    this->settings.dispatch, this->replica->State());
  this->dispatcher->OnStateRestored(SuspendAwareNow());
  CallHandler::Callbacks callbacks;
  callbacks.propose = [this](std::vector<work::Command> aCommands,
                             Replica::ProposalCallback aDone) {
    this->Propose(std::move(aCommands), std::move(aDone));
  };
  callbacks.confirm = [this](Replica::ReadCallback aDone) {
    this->replica->Confirm(SuspendAwareNow(), std::move(aDone));
  };
  callbacks.logDecision = [this](const dispatch::Decision& aDecision) {
    this->LogThrottled(aDecision);
  };
  callbacks.now = SuspendAwareNow;
  this->handler = std::make_unique<CallHandler>(this->replica->State(),
                                                *this->dispatcher,
                                                this->settings.controlAddress,
                                                std::move(callbacks),
                                                this->settings.dataCentres);
}

void
Node::Impl::MakeRouter()
{
  CallRouter::Callbacks callbacks;
  callbacks.leader = [this] { return this->CallTarget(); };
  callbacks.absence = [this](Time aNow) { return this->Absence(aNow); };
  callbacks.send = [this](const InstanceId& aTo,
                          const wire::RemoteCall& aCall) {
    this->peers->Send(aTo, aCall);
  };
  callbacks.handleLocally = [this](wire::RemoteCall aCall,
                                   CallRouter::RoutedReplyCallback aDone) {
    this->EnqueueCall(std::move(aCall), std::move(aDone));
  };
  callbacks.encode = [this](const Reply& aReply) {
    return this->protocol->Encode(aReply);
  };
  callbacks.logDecision = [this](const dispatch::Decision& aDecision) {
    this->LogThrottled(aDecision);
  };
  callbacks.lateReply = [this] { this->callMeter.RecordLateReply(); };
  callbacks.foreignReply = [this] { this->callMeter.RecordForeignReply(); };
  this->router = std::make_unique<CallRouter>(
    this->self, RandomSeed(), std::move(callbacks));
}

void
Node::Impl::MakePeers()
{
  PeerNetworkOptions options;
  options.address = this->settings.peersAddress;
  options.seed = RandomSeed();
  options.maxRedialDelay = kMaxRedialDelay;
  options.connectTimeout = kConnectTimeout;
  PeerHooks hooks;
  hooks.received = [this](const InstanceId& aFrom, wire::PeerMessage aMessage) {
    this->OnPeerMessage(aFrom, std::move(aMessage));
  };
  hooks.connected = [this](const InstanceId& aPeer) {
    this->LogUnthrottled({ "peer_connected", {}, { { "peer", aPeer.value } } });
    const Time now = SuspendAwareNow();
    this->cluster.RecordContact(aPeer, now);
    this->CheckElectable(now);
    this->peers->Send(aPeer, this->MakeStatus(now));
    if (this->replica) {
      this->StepReplica(agreement::LinkRestored{ aPeer }, now);
    }
    this->ScheduleOutputProcessing();
  };
  hooks.lost = [this](const InstanceId& aPeer) {
    this->LogUnthrottled({ "peer_lost", {}, { { "peer", aPeer.value } } });
    const Time now = SuspendAwareNow();
    this->cluster.RemoveNode(aPeer);
    this->CheckElectable(now);
    this->router->OnPeerLost(aPeer);
    if (this->replica) {
      this->StepReplica(agreement::LinkLost{ aPeer }, now);
    }
    this->ScheduleOutputProcessing();
  };
  this->peers = std::make_shared<PeerNetwork>(
    this->io,
    std::move(options),
    std::make_shared<PeerIdentity>(PeerIdentity{
      kClusterName,
      this->self,
      RandomHex(kBootIdBytes),
      ClusterSecret(std::string(ClusterSecret::kSecretLength, '\0')) }),
    this->deadlines,
    this->metrics,
    std::move(hooks));
}

std::shared_ptr<HttpServer>
Node::Impl::MakeServer(const std::string& aAddress,
                       std::optional<DescriptorOwner> aOwner,
                       LocalHandler aHandler)
{
  if (aAddress.empty()) {
    return nullptr;
  }
  HttpServerOptions options;
  options.address = aAddress;
  options.limits.bodyBytes = kMaxBodyBytes;
  options.listener = api::Listener::Control;
  if (aOwner) {
    // The budget alone limits the connections.
    options.limits.callerConnections = ~std::uint32_t{ 0 };
    options.descriptors = this->descriptors;
    options.owner = *aOwner;
    options.memory = this->memory;
    options.memoryOwner = *aOwner == DescriptorOwner::Callers
                            ? MemoryOwner::Callers
                            : MemoryOwner::Control;
  } else {
    options.limits.callerConnections = kMaxProbeConnections;
    options.ignoresBodies = true;
  }
  options.onRefusal = [this](std::string_view aCause,
                             std::string_view aClient) {
    this->LogClientRefusal(aCause, aClient);
  };
  return std::make_shared<HttpServer>(this->io,
                                      std::move(options),
                                      this->deadlines,
                                      this->metrics,
                                      nullptr,
                                      std::move(aHandler));
}

void
Node::Impl::MakeServers()
{
  const auto calls = [this](bool aControl) {
    return
      [this, aControl](api::HttpRequest aRequest, api::ReplyCallback aDone) {
        this->OnCall(std::move(aRequest), aControl, std::move(aDone));
      };
  };
  this->callersServer = this->MakeServer(
    this->settings.callersAddress, DescriptorOwner::Callers, calls(false));
  this->controlServer = this->MakeServer(
    this->settings.controlAddress, DescriptorOwner::Control, calls(true));
  this->readyServer =
    this->MakeServer(this->settings.readyAddress,
                     std::nullopt,
                     [this](const api::HttpRequest& /*aRequest*/,
                            const api::ReplyCallback& aDone) {
                       api::HttpReply reply;
                       reply.status =
                         this->IsReady(SuspendAwareNow()) ? 200 : 503;
                       reply.contentType = "text/plain";
                       aDone(std::move(reply));
                     });
  this->metricsServer = this->MakeServer(
    this->settings.metricsAddress,
    std::nullopt,
    [this](const api::HttpRequest& /*aRequest*/,
           const api::ReplyCallback& aDone) { aDone(this->MetricsReply()); });
}

Node::Node(NodeSettings aSettings,
           std::unique_ptr<Protocol> aProtocol,
           Reloader aReload)
  : impl(std::make_unique<Impl>(std::move(aSettings),
                                std::move(aProtocol),
                                std::move(aReload)))
{
}

Node::~Node() = default;

Result<void>
Node::Start()
{
  return this->impl->Start();
}

void
Node::Run()
{
  shell::RunGuarded(this->impl->io, [this] { this->impl->OnHandlerError(); });
}

} // namespace hyssoppaddle::node
