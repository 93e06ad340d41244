// Marks repeated calls and checks refusals of them.
#include "node/RepeatedCall.h"

#include <algorithm>
#include <string_view>

namespace hyssoppaddle::node {

namespace {

constexpr std::string_view kFieldName = "may-have-run";

} // namespace

void
MarkRepeated(wire::RemoteCall& aCall)
{
  if (!IsRepeated(aCall)) {
    aCall.fields.push_back({ std::string(kFieldName), "yes" });
  }
}

bool
IsRepeated(const wire::RemoteCall& aCall)
{
  return std::any_of(
    aCall.fields.begin(), aCall.fields.end(), [](const auto& aField) {
      return aField.name == kFieldName;
    });
}

Outcome
OutcomeOfRepeated(Outcome aOutcome)
{
  const bool isBySetup =
    aOutcome == Outcome::UnknownKey || aOutcome == Outcome::NoSuchQueue;
  return isBySetup ? Outcome::Undecided : aOutcome;
}

} // namespace hyssoppaddle::node
