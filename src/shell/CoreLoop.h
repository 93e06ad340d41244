// Runs the core: one event at a time with its time, then its effects in order.
// It is also the port through which the JSON API reaches the core.
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

// Those who carry out the effects. Set before the first event.
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

  // Reduces the event and carries out its effects. An event that comes up while
  // effects are carried out waits for its turn.
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

  void Step(const core::Event& aEvent);
  void Carry(core::Effects aEffects);
  void Carry(const core::SendPeer& aEffect);
  void Carry(core::WriteStorage aEffect);
  void Carry(core::SaveSnapshot aEffect);
  void Carry(const core::CommandDecided& aEffect);
  void Carry(const core::ReadDecided& aEffect);
  void Carry(const core::AnswerAnnouncement& aEffect);
  void Carry(core::DeliverInstruction aEffect);
  void Carry(const core::LeaderChanged& aEffect);
  void Carry(request::Effect aEffect);
  void Carry(const planner::LogDecision& aEffect);
  std::uint64_t AddCommand(CommandCallback aDone);

  ClusterSecret secret;
  std::shared_ptr<Metrics> metrics;
  DecisionLog decisions;
  core::Reducer reducer;
  EffectTargets targets;
  std::deque<core::Event> waiting;
  bool running = false;
  std::uint64_t lastToken = 0;
  std::unordered_map<std::uint64_t, PendingCommand> commands;
  std::unordered_map<std::uint64_t, ReadCallback> reads;
  std::unordered_map<std::uint64_t, AnnouncementCallback> announcements;
};

} // namespace hyssoppaddle::shell

#endif
