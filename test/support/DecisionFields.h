// Reads fields of decisions in tests.
#ifndef hyssoppaddle_test_support_DecisionFields_h
#define hyssoppaddle_test_support_DecisionFields_h

#include "dispatch/Decision.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace hyssoppaddle::test {

// Returns "missing" when the decision has no such field.
inline std::string
FieldOf(const dispatch::Decision& aDecision, std::string_view aName)
{
  const auto found =
    std::find_if(aDecision.fields.begin(),
                 aDecision.fields.end(),
                 [&](const auto& aField) { return aField.first == aName; });
  return found == aDecision.fields.end() ? "missing" : found->second;
}

} // namespace hyssoppaddle::test

#endif
