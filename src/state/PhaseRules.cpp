// The phase graph as a table.
#include "state/PhaseRules.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::state {

namespace {

using enum InstancePhase;

struct Step
{
  InstancePhase from;
  InstancePhase to;

  bool operator==(const Step&) const = default;
};

// Expected becomes Serving only by an announcement. Moving is reached from
// Serving only through Draining, so that no move interrupts a request; Expected
// and Lost instances run nothing and can move at once.
constexpr std::array kSteps{
  Step{ Expected, Lost },     Step{ Expected, Moving },
  Step{ Serving, Draining },  Step{ Serving, Lost },
  Step{ Draining, Serving },  Step{ Draining, Stopped },
  Step{ Draining, Moving },   Step{ Draining, Lost },
  Step{ Stopped, Serving },   Step{ Stopped, Rebooting },
  Step{ Stopped, Soaking },   Step{ Stopped, Moving },
  Step{ Stopped, Lost },      Step{ Rebooting, Soaking },
  Step{ Rebooting, Stopped }, Step{ Rebooting, Lost },
  Step{ Soaking, Serving },   Step{ Soaking, Draining },
  Step{ Soaking, Lost },      Step{ Moving, Serving },
  Step{ Moving, Soaking },    Step{ Moving, Stopped },
  Step{ Moving, Rebooting },  Step{ Moving, Expected },
  Step{ Moving, Lost },       Step{ Lost, Soaking },
  Step{ Lost, Stopped },      Step{ Lost, Rebooting },
  Step{ Lost, Moving },
};

} // namespace

bool
CanFollow(InstancePhase aFrom, InstancePhase aTo)
{
  return std::ranges::find(kSteps, Step{ aFrom, aTo }) != kSteps.end();
}

std::optional<InstancePhase>
PhaseAfterServing(InstancePhase aPhase, StopPurpose aPurpose, bool aIsNewBoot)
{
  switch (aPhase) {
    case Expected:
      return Serving;
    case Lost:
      return Soaking;
    case Rebooting:
      return aIsNewBoot ? std::optional(Soaking) : std::nullopt;
    case Draining:
      // Without a purpose the upstream left by itself and is back now.
      return aPurpose == StopPurpose::None ? std::optional(Soaking)
                                           : std::nullopt;
    case Serving:
    case Stopped:
    case Soaking:
    case Moving:
      return std::nullopt;
  }
  return std::nullopt;
}

bool
IsLostWhenSilent(InstancePhase aPhase)
{
  return aPhase == Serving || aPhase == Soaking || aPhase == Draining ||
         aPhase == Moving;
}

std::string_view
ToString(InstancePhase aPhase)
{
  switch (aPhase) {
    case Expected:
      return "expected";
    case Serving:
      return "serving";
    case Draining:
      return "draining";
    case Stopped:
      return "stopped";
    case Rebooting:
      return "rebooting";
    case Soaking:
      return "soaking";
    case Moving:
      return "moving";
    case Lost:
      return "lost";
  }
  return "unknown";
}

} // namespace hyssoppaddle::state
