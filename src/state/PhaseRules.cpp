// The phase graph as a table of allowed transitions.
#include "state/PhaseRules.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::state {

namespace {

using enum InstancePhase;

struct PhaseTransition
{
  InstancePhase from;
  InstancePhase to;

  bool operator==(const PhaseTransition&) const = default;
};

// An Expected instance becomes Serving only by an announcement. A Serving
// instance must drain before it becomes Moving, so that no move interrupts a
// request. Expected and Lost instances run no work and can move immediately.
constexpr std::array kTransitions{
  PhaseTransition{ Expected, Lost },     PhaseTransition{ Expected, Moving },
  PhaseTransition{ Serving, Draining },  PhaseTransition{ Serving, Lost },
  PhaseTransition{ Draining, Serving },  PhaseTransition{ Draining, Stopped },
  PhaseTransition{ Draining, Moving },   PhaseTransition{ Draining, Lost },
  PhaseTransition{ Stopped, Serving },   PhaseTransition{ Stopped, Rebooting },
  PhaseTransition{ Stopped, Soaking },   PhaseTransition{ Stopped, Moving },
  PhaseTransition{ Stopped, Lost },      PhaseTransition{ Rebooting, Soaking },
  PhaseTransition{ Rebooting, Stopped }, PhaseTransition{ Rebooting, Lost },
  PhaseTransition{ Soaking, Serving },   PhaseTransition{ Soaking, Draining },
  PhaseTransition{ Soaking, Lost },      PhaseTransition{ Moving, Serving },
  PhaseTransition{ Moving, Soaking },    PhaseTransition{ Moving, Stopped },
  PhaseTransition{ Moving, Rebooting },  PhaseTransition{ Moving, Expected },
  PhaseTransition{ Moving, Lost },       PhaseTransition{ Lost, Soaking },
  PhaseTransition{ Lost, Stopped },      PhaseTransition{ Lost, Rebooting },
  PhaseTransition{ Lost, Moving },
};

} // namespace

bool
IsAllowedTransition(InstancePhase aFrom, InstancePhase aTo)
{
  return std::ranges::find(kTransitions, PhaseTransition{ aFrom, aTo }) !=
         kTransitions.end();
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
      // If the stop has no purpose, the upstream had announced its own
      // departure and has now returned.
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
