// What every table needs to apply a command: its time, and where to note what
// changed. Also the short forms of outcomes.
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

// An equal earlier command already had this effect.
inline Outcome
AcceptAgain(std::string aDetail)
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
