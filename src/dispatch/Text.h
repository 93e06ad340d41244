// Text forms of values for the decision log.
#ifndef hyssoppaddle_dispatch_Text_h
#define hyssoppaddle_dispatch_Text_h

#include "dispatch/EndEvidence.h"
#include "dispatch/Instructions.h"

#include <concepts>
#include <string>
#include <string_view>

namespace hyssoppaddle::dispatch {

template<std::integral T>
std::string
Text(T aValue)
{
  return std::to_string(aValue);
}

// In whole milliseconds.
std::string
Text(Duration aValue);
// As JOB.OCCURRENCE.STEP.INDEX.
std::string
Text(const work::TaskRef& aTask);
std::string_view
Text(work::EndKind aKind);
std::string_view
Text(work::JobState aState);
std::string_view
Text(OrderResult aResult);
std::string_view
Text(EndEvidence aEvidence);

} // namespace hyssoppaddle::dispatch

#endif
