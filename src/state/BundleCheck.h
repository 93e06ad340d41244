// Validates the properties of a proposed bundle that the state machine depends
// on. The parser checks more, but it runs on the entry instance; these checks
// run on every replica and reject a bundle from a faulty entry instance too.
#ifndef hyssoppaddle_state_BundleCheck_h
#define hyssoppaddle_state_BundleCheck_h

#include "state/Bundle.h"

#include <string>

namespace hyssoppaddle::state {

// Returns the first problem as a sentence, or an empty string for a valid
// bundle.
std::string
ProblemOf(const Bundle& aBundle);

} // namespace hyssoppaddle::state

#endif
