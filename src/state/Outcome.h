// The result of applying one command to the state machine.
#ifndef hyssoppaddle_state_Outcome_h
#define hyssoppaddle_state_Outcome_h

#include "base/Result.h"
#include "state/Commands.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hyssoppaddle::state {

// Result of a claim attempt.
struct ClaimOutcome
{
  bool granted = false; // true if the request may run
  // State of the earlier claim if this one was not granted.
  ClaimState state = ClaimState::Running;
  std::uint32_t status = 0;
  // Number of grants of this claim so far; FinishClaim must repeat it.
  std::uint32_t attempt = 1;
  bool operator==(const ClaimOutcome&) const = default;
};

struct Outcome
{
  std::optional<Error> error;
  std::string detail; // one sentence for the operator
  std::optional<ClaimOutcome> claim;
  bool repeated = false; // an equal earlier command was already applied
  bool operator==(const Outcome&) const = default;

  [[nodiscard]] bool Ok() const { return !this->error.has_value(); }
};

} // namespace hyssoppaddle::state

#endif
