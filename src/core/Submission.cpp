// Which commands may be resent.
#include "core/Submission.h"

#include <type_traits>
#include <variant>

namespace hyssoppaddle::core {

namespace {

// Reports of facts: applying one twice gives the state of applying it once.
template<typename T>
inline constexpr bool kIsReport =
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
    [](const auto& aBody) { return kIsReport<std::decay_t<decltype(aBody)>>; },
    aCommand.body);
}

} // namespace hyssoppaddle::core
