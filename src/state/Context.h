// The arguments that every table needs to apply a command: the command's time
// and the change set to update. Also contains helpers that build outcomes.
#ifndef hyssoppaddle_state_Context_h
#define hyssoppaddle_state_Context_h

#include "base/Time.h"
#include "state/FleetState.h"
#include "state/Outcome.h"

#include <string>
#include <utility>

namespace hyssoppaddle::state {

struct Context
{
  WallTime now;
  Changes& changes;
};

inline Outcome
Accept(std::string aDetail = {})
{
  Outcome outcome;
  outcome.detail = std::move(aDetail);
  return outcome;
}

// Accepts a command that has no effect, because an equal earlier command was
// already applied.
inline Outcome
AcceptRepeated(std::string aDetail)
{
  Outcome outcome = Accept(std::move(aDetail));
  outcome.repeated = true;
  return outcome;
}

inline Outcome
Refuse(ErrorCode aCode, std::string aMessage)
{
  Outcome outcome;
  outcome.error = Error{ aCode, std::move(aMessage) };
  return outcome;
}

} // namespace hyssoppaddle::state

#endif
