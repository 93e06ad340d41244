// The checks of a proposed bundle that the state machine depends on. The parser
// makes many more; these hold even for a bundle from a faulty entry instance.
#ifndef hyssoppaddle_state_BundleCheck_h
#define hyssoppaddle_state_BundleCheck_h

#include "state/Bundle.h"

#include <string>

namespace hyssoppaddle::state {

// First problem found, as a sentence; empty when there is none.
std::string
ProblemOf(const Bundle& aBundle);

} // namespace hyssoppaddle::state

#endif
