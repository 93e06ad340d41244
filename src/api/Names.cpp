// Tables of the text forms of enumerations.
#include "api/Names.h"

#include <array>
#include <utility>

namespace hyssoppaddle::api {

namespace {

template<typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

template<typename Enum, std::size_t Size>
std::string_view
Lookup(const NameTable<Enum, Size>& aTable, Enum aValue)
{
  for (const auto& [value, name] : aTable) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

template<typename Enum, std::size_t Size>
std::optional<Enum>
Find(const NameTable<Enum, Size>& aTable, std::string_view aText)
{
  for (const auto& [value, name] : aTable) {
    if (name == aText) {
      return value;
    }
  }
  return std::nullopt;
}

constexpr NameTable<state::InstancePhase, 8> kPhases{ {
  { state::InstancePhase::Expected, "expected" },
  { state::InstancePhase::Serving, "serving" },
  { state::InstancePhase::Draining, "draining" },
  { state::InstancePhase::Stopped, "stopped" },
  { state::InstancePhase::Rebooting, "rebooting" },
  { state::InstancePhase::Soaking, "soaking" },
  { state::InstancePhase::Moving, "moving" },
  { state::InstancePhase::Lost, "lost" },
} };

constexpr NameTable<state::JobState, 7> kJobStates{ {
  { state::JobState::Waiting, "waiting" },
  { state::JobState::Placed, "placed" },
  { state::JobState::Done, "done" },
  { state::JobState::Failed, "failed" },
  { state::JobState::Cancelled, "cancelled" },
  { state::JobState::CannotRun, "cannot_run" },
  { state::JobState::OutcomeUnknown, "outcome_unknown" },
} };

constexpr NameTable<state::TaskState, 9> kTaskStates{ {
  { state::TaskState::Placed, "placed" },
  { state::TaskState::Running, "running" },
  { state::TaskState::Throttled, "throttled" },
  { state::TaskState::Checkpointed, "checkpointed" },
  { state::TaskState::Done, "done" },
  { state::TaskState::Failed, "failed" },
  { state::TaskState::Stopped, "stopped" },
  { state::TaskState::NotRun, "not_run" },
  { state::TaskState::Unknown, "unknown" },
} };

constexpr NameTable<state::UpstreamState, 3> kUpstreamStates{ {
  { state::UpstreamState::Serving, "serving" },
  { state::UpstreamState::Departing, "departing" },
  { state::UpstreamState::Silent, "silent" },
} };

constexpr NameTable<state::WaveState, 3> kWaveStates{ {
  { state::WaveState::Running, "running" },
  { state::WaveState::Paused, "paused" },
  { state::WaveState::Finished, "finished" },
} };

constexpr NameTable<state::WorkClass, 3> kWorkClasses{ {
  { state::WorkClass::Preview, "preview" },
  { state::WorkClass::Print, "print" },
  { state::WorkClass::Archive, "archive" },
} };

} // namespace

std::string_view
NameOf(state::InstancePhase aPhase)
{
  return Lookup(kPhases, aPhase);
}

std::string_view
NameOf(state::JobState aState)
{
  return Lookup(kJobStates, aState);
}

std::string_view
NameOf(state::TaskState aState)
{
  return Lookup(kTaskStates, aState);
}

std::string_view
NameOf(state::UpstreamState aState)
{
  return Lookup(kUpstreamStates, aState);
}

std::string_view
NameOf(state::WaveState aState)
{
  return Lookup(kWaveStates, aState);
}

std::string_view
NameOf(state::WorkClass aClass)
{
  return Lookup(kWorkClasses, aClass);
}

std::optional<state::TaskState>
ParseTaskState(std::string_view aText)
{
  return Find(kTaskStates, aText);
}

std::optional<state::WorkClass>
ParseWorkClass(std::string_view aText)
{
  return Find(kWorkClasses, aText);
}

} // namespace hyssoppaddle::api
