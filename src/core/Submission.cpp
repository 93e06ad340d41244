// Decides which commands may be resent.
#include "core/Submission.h"

#include <type_traits>
#include <variant>

namespace hyssoppaddle::core {

namespace {

// Commands that report facts are idempotent: applying one twice gives the same
// state as applying it once.
template<typename T>
inline constexpr bool kIsIdempotentReport =
  std::is_same_v<T, state::RegisterEntry> ||
  std::is_same_v<T, state::FinishClaim> ||
  std::is_same_v<T, state::UpdateUpstream> ||
  std::is_same_v<T, state::MarkUpstreamSilent> ||
  std::is_same_v<T, state::ReportTasks> ||
  std::is_same_v<T, state::ReturnPermits>;

} // namespace

bool
IsSafeToResend(const state::Command& aCommand)
{
  if (!aCommand.requestId.empty()) {
    return true;
  }
  return std::visit(
    [](const auto& aBody) {
      return kIsIdempotentReport<std::decay_t<decltype(aBody)>>;
    },
    aCommand.body);
}

} // namespace hyssoppaddle::core
