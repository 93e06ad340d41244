// Internal components of a node, declared in the order of their dependencies.
#ifndef hyssoppaddle_node_NodeImpl_h
#define hyssoppaddle_node_NodeImpl_h

#include "agreement/Membership.h"
#include "base/DescriptorBudget.h"
#include "base/MemoryBudget.h"
#include "dispatch/Dispatcher.h"
#include "node/CallHandler.h"
#include "node/CallMeter.h"
#include "node/CallQueue.h"
#include "node/CallRouter.h"
#include "node/Cluster.h"
#include "node/HandoverPolicy.h"
#include "node/HttpClient.h"
#include "node/LineLog.h"
#include "node/LoopMeter.h"
#include "node/Node.h"
#include "node/OrderPermission.h"
#include "node/Protocol.h"
#include "node/RefusalLog.h"
#include "node/Replica.h"
#include "node/SpeedProbe.h"
#include "node/StopSequence.h"
#include "node/TakeoverMeter.h"
#include "shell/HttpServer.h"
#include "shell/PeerNetwork.h"
#include "shell/StorageThread.h"

#include <csignal>

namespace hyssoppaddle::node {

struct Node::Impl
{
  Impl(NodeSettings aSettings,
       std::unique_ptr<Protocol> aProtocol,
       Reloader aReload);

  Result<void> Start();

  // Node.cpp: construction of the components.
  Result<void> OpenLog();
  void MakeReplica(bool aFoundsCluster);
  void MakeLeaderParts();
  void MakeRouter();
  void MakePeers();
  void MakeServers();
  [[nodiscard]] std::shared_ptr<shell::HttpServer> MakeServer(
    const std::string& aAddress,
    std::optional<DescriptorOwner> aOwner,
    shell::LocalHandler aHandler);

  // NodeEvents.cpp: messages, calls, and output of the dispatcher.
  void OnPeerMessage(const InstanceId& aFrom, wire::PeerMessage aMessage);
  void On(const InstanceId& aFrom, wire::RaftMessage& aMessage);
  void On(const InstanceId& aFrom, wire::JoinRequest& aMessage);
  void On(const InstanceId& aFrom, wire::RemoteCall& aMessage);
  void On(const InstanceId& aFrom, wire::RemoteReply& aMessage);
  void On(const InstanceId& aFrom, wire::NodeStatus& aMessage);
  void OnCall(api::HttpRequest aRequest,
              bool aControl,
              api::ReplyCallback aDone);
  [[nodiscard]] Call DecodeCall(const api::HttpRequest& aRequest) const;
  [[nodiscard]] bool MayHaveWaitedInPause(const api::HttpRequest& aRequest);
  // Must be called only while this node leads.
  void EnqueueCall(wire::RemoteCall aCall,
                   CallRouter::RoutedReplyCallback aDone);
  void DiscardCall(const QueuedCall& aCall, CallQueue::DiscardReason aReason);
  void ScheduleCalls();
  void ServeCalls();
  void HandleCall(QueuedCall aCall);
  void ScheduleOutputProcessing();
  void ProcessDispatcherOutput();
  void ProposeDispatcherCommands(std::vector<work::Command> aCommands);
  void Execute(const dispatch::Instruction& aInstruction);
  void HandleAnswer(const dispatch::Instruction& aInstruction,
                    const OutboundResult& aResult);
  void Propose(std::vector<work::Command> aCommands,
               Replica::ProposalCallback aDone);
  [[nodiscard]] bool MaySendInstructions(Time aNow) const;

  // NodeMemory.cpp: bounds of what calls take.
  // False when the call, or the answer to it, would exceed them.
  [[nodiscard]] bool HasMemoryFor(const api::HttpRequest& aRequest);
  [[nodiscard]] bool IsBulkRead(const api::HttpRequest& aRequest) const;
  // Counts the call as open until the result is called.
  api::ReplyCallback CountUntilAnswered(const api::HttpRequest& aRequest,
                                        api::ReplyCallback aDone);
  void RefuseForMemory(const api::HttpRequest& aRequest,
                       const api::ReplyCallback& aDone);
  void LogClientRefusal(std::string_view aCause, std::string_view aClient);
  void ReleaseFreeMemory();
  [[nodiscard]] std::string MemoryMetrics() const;

  // After an exception in a handler. What this node keeps only in memory can be
  // incomplete, so another one should lead.
  void OnHandlerError();

  // NodeLeadership.cpp: taking office and handing it over.
  void CheckLeadership();
  void ConfirmLeadership(Time aNow);
  // Orders end with the first offer to another voter.
  void TransferLeadership(InstanceId aTo, Time aNow);
  void MeasureSpeed(Time aNow);
  void ReportSpeed(Time aNow);
  void RecordSpeedReport(const InstanceId& aFrom,
                         const wire::RemoteReply& aReport);
  void HandOverIfSlow(Time aNow);
  void HandOverIfStorageRefuses(Time aNow);
  void MeasureTakeover(Time aNow);
  [[nodiscard]] LeaderAbsence Absence(Time aNow) const;
  void CheckElectable(Time aNow);
  [[nodiscard]] InstanceId CallTarget();
  // Routes the waiting calls if CallTarget has changed since the last call.
  void RouteWaitingCalls();

  // NodeTimers.cpp: periodic tasks, stop and reload.
  void ArmTick();
  void Tick();
  void StepReplica(const agreement::Event& aEvent, Time aNow);
  void TickDispatcher(Time aNow);
  // Must be called first in every handler that can send an order to an
  // upstream.
  void DetectPause(Time aNow);
  [[nodiscard]] wire::NodeStatus MakeStatus(Time aNow) const;
  void SendStatus(Time aNow);
  void DialLinkTargets();
  void RequestJoin(Time aNow);
  void ChangeReplicas(Time aNow);
  void FoundClusterIfDue();
  void ArmSignals();
  void BeginStop();
  void CheckStop(Time aNow);
  void Finish();
  void Reload();
  [[nodiscard]] bool IsReady(Time aNow) const;
  [[nodiscard]] api::HttpReply MetricsReply() const;
  void LogDescriptorShortage(Time aNow);
  void LogThrottled(const dispatch::Decision& aDecision);
  void LogUnthrottled(const dispatch::Decision& aDecision);

  NodeSettings settings;
  std::unique_ptr<Protocol> protocol;
  Reloader reload;
  InstanceId self; // this node's peer address
  shell::asio::io_context io{ 1 };
  std::shared_ptr<shell::DeadlineQueue> deadlines;
  std::shared_ptr<shell::Metrics> metrics;
  std::shared_ptr<DescriptorBudget> descriptors;
  std::shared_ptr<MemoryBudget> memory;
  LineLog log;
  LoopMeter loopMeter;
  CallMeter callMeter;
  CallQueue callQueue; // empty while this node does not lead
  SpeedProbe speedProbe;
  HandoverPolicy handover;
  Cluster cluster;
  agreement::Membership membership;
  std::unique_ptr<shell::DurableLog> durableLog;
  agreement::RecoveredLog recovered;
  // Whether the data folder was empty at process start.
  bool dataFolderWasEmpty = false;
  std::unique_ptr<Replica> replica; // null without a disk
  std::unique_ptr<shell::StorageThread> storage;
  // The disk takes no writes for now: votes and entries wait for it.
  bool storageRefuses = false;
  std::unique_ptr<dispatch::Dispatcher> dispatcher; // null without a disk
  std::unique_ptr<CallHandler> handler;             // null without a disk
  std::unique_ptr<CallRouter> router;
  std::shared_ptr<HttpClient> client;
  std::shared_ptr<shell::PeerNetwork> peers;
  std::shared_ptr<shell::HttpServer> callersServer;
  std::shared_ptr<shell::HttpServer> controlServer;
  std::shared_ptr<shell::HttpServer> readyServer;
  std::shared_ptr<shell::HttpServer> metricsServer;
  shell::Timer tickTimer{ io };
  Time tickDueAt{};
  shell::asio::signal_set signals{ io, SIGTERM, SIGINT, SIGHUP };

  bool outputProcessingScheduled = false;
  bool callsScheduled = false;
  Time lastHandlerAt{};             // time at which a handler last ran
  std::optional<Time> pauseEndedAt; // end of the last long gap
  OrderPermission orderPermission;
  Time nextStatusAt{};
  Time nextJoinRequest{};
  Time nextSpeedReport{};
  Time nextReplicaChange{};
  // Term for which the dispatcher runs as leader; 0 when it does not.
  std::uint64_t dispatcherTerm = 0;
  // Commands of rejected proposals, to be proposed again.
  std::vector<work::Command> rejectedCommands;
  InstanceId lastLoggedLeader; // leader last reported in the log
  InstanceId lastCallTarget;   // node to which calls were routed last
  Time callTargetLostAt{};     // when lastCallTarget became empty
  // Whether the replicas that are connected can elect a leader, and since when.
  bool canElect = false;
  Time electableSince{};
  TakeoverMeter takeover;
  StopSequence stop;
  // Of transfers before a stop, and of those while the disk takes no writes.
  Time nextTransferAttempt{};
  std::uint64_t loggedDescriptorRefusals = 0;
  Time descriptorShortageEndsAt{}; // unless refusals follow; zero: none
  RefusalLog refusalLog;
  std::size_t forwardedBytes = 0; // of the bodies of open calls
  std::size_t bulkReads = 0;      // open calls with a long answer
};

// In bytes.
std::size_t
MemoryLimit(const NodeSettings& aSettings);

} // namespace hyssoppaddle::node

#endif
