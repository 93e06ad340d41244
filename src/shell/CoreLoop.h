// Runs the core: passes it one event at a time with the current time and
// executes the resulting effects in order. Also implements the port through
// which the JSON API accesses the core.
#ifndef hyssoppaddle_shell_CoreLoop_h
#define hyssoppaddle_shell_CoreLoop_h

#include "api/ControlHandler.h"
#include "core/Reducer.h"
#include "shell/ClusterSecret.h"
#include "shell/DecisionLog.h"
#include "shell/Metrics.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace hyssoppaddle::shell {

class InstructionSender;
class PeerNetwork;
class Relay;
class StorageThread;

// The components that execute the effects. Set before the first event.
struct EffectTargets
{
  std::shared_ptr<Relay> relay;
  std::shared_ptr<PeerNetwork> peers;
  std::shared_ptr<InstructionSender> instructions;
  StorageThread* storage = nullptr;
};

class CoreLoop final : public api::CorePort
{
public:
  CoreLoop(core::ReducerOptions aOptions,
           const agreement::RecoveredLog& aRecovered,
           ClusterSecret aSecret,
           std::shared_ptr<Metrics> aMetrics,
           DecisionLog aDecisions);

  void SetTargets(EffectTargets aTargets);

  // Reduces the event and executes its effects. An event that is submitted
  // while effects are being executed is queued.
  void Submit(core::Event aEvent);
  void Tick();
  void BeginStop();

  void SubmitCommand(state::Command aCommand, CommandCallback aDone) override;
  void SubmitConfiguration(agreement::ChangeKind aKind,
                           InstanceId aInstance,
                           CommandCallback aDone) override;
  void Read(ReadCallback aDone) override;
  void Announce(state::Announcement aAnnouncement,
                std::vector<state::TaskReport> aReports,
                AnnouncementCallback aDone) override;
  [[nodiscard]] const core::Reducer& Core() const override;
  [[nodiscard]] Time Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
  [[nodiscard]] std::string KeyDigest(std::string_view aSecret) const override;
  [[nodiscard]] std::string KeyDigestHex(std::string_view aText) const override;
  [[nodiscard]] std::string RandomHex(std::size_t aBytes) const override;

private:
  struct PendingCommand
  {
    CommandCallback done;
    Time since;
  };

  void Process(const core::Event& aEvent);
  void ExecuteEffect(core::Effects aEffects);
  void ExecuteEffect(const core::SendPeer& aEffect);
  void ExecuteEffect(core::WriteStorage aEffect);
  void ExecuteEffect(core::SaveSnapshot aEffect);
  void ExecuteEffect(const core::CommandDecided& aEffect);
  void ExecuteEffect(const core::ReadDecided& aEffect);
  void ExecuteEffect(const core::AnswerAnnouncement& aEffect);
  void ExecuteEffect(core::DeliverInstruction aEffect);
  void ExecuteEffect(const core::LeaderChanged& aEffect);
  void ExecuteEffect(request::Effect aEffect);
  void ExecuteEffect(const planner::LogDecision& aEffect);
  std::uint64_t AddCommand(CommandCallback aDone);

  ClusterSecret secret;
  std::shared_ptr<Metrics> metrics;
  DecisionLog decisions;
  core::Reducer reducer;
  EffectTargets targets;
  std::deque<core::Event> pendingEvents;
  bool processing = false;
  std::uint64_t lastToken = 0;
  std::unordered_map<std::uint64_t, PendingCommand> commands;
  std::unordered_map<std::uint64_t, ReadCallback> reads;
  std::unordered_map<std::uint64_t, AnnouncementCallback> announcements;
};

} // namespace hyssoppaddle::shell

#endif
