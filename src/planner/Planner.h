// Decisions of the leader: permit allocation, shares, placement, maintenance
// waves, moves between pools and repair. The planner reads the replicated state
// and proposes commands, which the log records.
#ifndef hyssoppaddle_planner_Planner_h
#define hyssoppaddle_planner_Planner_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Commands.h"
#include "state/FleetState.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::planner {

// This instance became leader. All statistics that are not replicated start
// empty.
struct BecameLeader
{};

struct LostLeadership
{};

// The replicated state changed.
struct StateChanged
{
  state::Changes changes;
};

// An entry instance renewed its permits.
struct EntryRenewed
{
  InstanceId entry;
  std::string boot;
  std::vector<wire::TeamDemand> demand;
};

// Usage of tasks as reported by an upstream, before it is in the log.
struct UsageReported
{
  InstanceId instance;
  std::vector<state::TaskReport> reports;
};

// A command proposed by this planner was refused by the state machine, or it
// was lost.
struct CommandRefused
{
  state::CommandBody command;
  std::string reason;
};

struct Tick
{};

using Event = std::variant<BecameLeader,
                           LostLeadership,
                           StateChanged,
                           EntryRenewed,
                           UsageReported,
                           CommandRefused,
                           Tick>;

// Asks for a command to be appended to the log.
struct ProposeCommand
{
  state::CommandBody command;
};

enum class InstructionKind : std::uint8_t
{
  StartTask,
  StopTask,
  Drain,
  Reboot,
};

// Sent to an upstream over HTTP, at least once. The upstream ignores old
// epochs.
struct Instruction
{
  InstanceId instance;
  // Boot ID of the upstream that the instruction is meant for, filled in by the
  // reducer. Any other boot ignores the instruction, so that a resend cannot
  // start a task or reboot an instance twice.
  std::string boot;
  InstructionKind kind = InstructionKind::StartTask;
  JobId job;
  std::uint64_t epoch = 0;
  state::StopMode mode = state::StopMode::Stop;
  Duration lease{ 0 }; // the worker counts it from the arrival of the start
  bool resume = false; // continue from the checkpoint
};

struct SendInstruction
{
  Instruction instruction;
};

// One line of the decision log.
struct LogDecision
{
  std::string kind; // "place", "wave", "move", "repair", "permits", "share"
  std::string subject;
  TeamId team;
  PoolId pool;
  std::vector<std::string> candidates;
  std::string chosen;
  std::string rule;
  std::string reason;
  bool refusal = false;
};

using Effect = std::variant<ProposeCommand, SendInstruction, LogDecision>;
using Effects = std::vector<Effect>;

struct PlannerOptions
{
  std::uint64_t seed = 0;
  Duration permitLease{ std::chrono::seconds(20) };
  Duration maxDeadline{ std::chrono::seconds(60) };
  Duration taskLease{ std::chrono::seconds(30) };
  std::size_t maxDecisionsPerStep = 64; // limits the work per event
};

class Planner
{
public:
  // aState must outlive this object.
  Planner(PlannerOptions aOptions, const state::FleetState& aState);
  ~Planner();
  Planner(Planner&&) noexcept;
  Planner& operator=(Planner&&) noexcept;

  Effects Step(const Event& aEvent, Time aNow, WallTime aWallNow);

  // Permits to recall from an entry instance with its next renewal.
  [[nodiscard]] std::vector<wire::TeamDemand> Recalls(
    const InstanceId& aEntry) const;
  // Instructions to the instance that are not yet carried out. The answers to
  // its announcements carry them as well.
  [[nodiscard]] std::vector<Instruction> PendingInstructions(
    const InstanceId& aInstance,
    Time aNow) const;

  // Sentences for `explain`: the current state, what it waits for, and what
  // allows it to continue.
  [[nodiscard]] std::vector<std::string> ExplainJob(const JobId& aJob) const;
  [[nodiscard]] std::vector<std::string> ExplainInstance(
    const InstanceId& aInstance) const;
  [[nodiscard]] std::vector<std::string> ExplainTeam(const TeamId& aTeam) const;
  [[nodiscard]] std::vector<std::string> ExplainWave() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::planner

#endif
