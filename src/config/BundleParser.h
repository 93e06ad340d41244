// Parses and validates a bundle file (JSON with comments).
#ifndef hyssoppaddle_config_BundleParser_h
#define hyssoppaddle_config_BundleParser_h

#include "base/Finding.h"
#include "state/Bundle.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace hyssoppaddle::config {

// Returns the bundle, or all findings ordered by position. Checks references,
// duplicate names, ranges and that each instance is in exactly one pool.
tl::expected<state::Bundle, Findings>
ParseBundle(std::string_view aText);

// BLAKE2b-256 of the text in lower-case hexadecimal.
std::string
BundleDigest(std::string_view aText);

} // namespace hyssoppaddle::config

#endif
