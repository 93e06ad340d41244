// Components of the daemon. Each one may refer to those declared before it.
#ifndef hyssoppaddle_shell_DaemonImpl_h
#define hyssoppaddle_shell_DaemonImpl_h

#include "shell/CoreLoop.h"
#include "shell/Daemon.h"
#include "shell/Deadlines.h"
#include "shell/HttpServer.h"
#include "shell/InstructionSender.h"
#include "shell/PeerNetwork.h"
#include "shell/Relay.h"
#include "shell/StorageThread.h"

#include <optional>

namespace hyssoppaddle::shell {

struct Daemon::Impl
{
  Impl(config::Settings aSettings, DaemonParts aParts);

  Result<void> Start();
  void BeginStop();
  void Finish();

  // Set-up, implemented in DaemonImpl.cpp.
  Result<agreement::RecoveredLog> OpenLog();
  void MakeCore(const agreement::RecoveredLog& aRecovered,
                ClusterSecret aSecret);
  void MakeStorage();
  void MakeRelay();
  void MakeServers();
  void MakePeers(const ClusterSecret& aSecret);
  void ArmTick();
  void ArmStopCheck();
  void CheckStop();
  void RequestJoin();
  void HandleLocal(api::HttpRequest aRequest, api::ReplyCallback aReply);
  [[nodiscard]] api::HttpReply MetricsReply() const;
  [[nodiscard]] api::HttpReply HealthReply(bool aHealthy) const;

  config::Settings settings;
  DaemonParts parts;
  asio::io_context io{ 1 };
  std::string boot;
  std::shared_ptr<DeadlineQueue> deadlines;
  std::shared_ptr<Metrics> metrics;
  std::unique_ptr<DurableLog> log;
  std::unique_ptr<CoreLoop> core;
  std::unique_ptr<api::ControlHandler> handler;
  std::unique_ptr<StorageThread> storage;
  std::shared_ptr<Relay> relay;
  std::shared_ptr<PeerNetwork> peers;
  std::shared_ptr<InstructionSender> instructions;
  std::shared_ptr<HttpServer> callers;
  std::shared_ptr<HttpServer> control;
  Timer tickTimer{ io };
  Timer stopTimer{ io };
  asio::signal_set signals{ io };
  SteadyClock::time_point stopPhaseStart;
  SteadyClock::time_point nextJoinRequest;
  bool stopping = false;
  bool closingListeners = false;
};

} // namespace hyssoppaddle::shell

#endif
