// The answer of the state machine to one command.
#ifndef hyssoppaddle_state_Outcome_h
#define hyssoppaddle_state_Outcome_h

#include "base/Result.h"
#include "state/Commands.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hyssoppaddle::state {

// What a claim attempt found.
struct ClaimOutcome
{
  bool granted = false; // this request may run
  ClaimState state =
    ClaimState::Running; // of the earlier claim when not granted
  std::uint32_t status = 0;
  // Number of this grant of the claim; FinishClaim must repeat it.
  std::uint32_t attempt = 1;
  bool operator==(const ClaimOutcome&) const = default;
};

struct Outcome
{
  std::optional<Error> error;
  std::string detail; // one plain sentence for the operator
  std::optional<ClaimOutcome> claim;
  bool repeated = false; // the stored outcome of an equal earlier command
  bool operator==(const Outcome&) const = default;

  [[nodiscard]] bool Ok() const { return !this->error.has_value(); }
};

} // namespace hyssoppaddle::state

#endif
