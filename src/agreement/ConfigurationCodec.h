// Binary encoding of a Configuration in log entries and snapshot files. Defined
// here so that the replicated log does not depend on the codecs in src/wire.
#ifndef hyssoppaddle_agreement_ConfigurationCodec_h
#define hyssoppaddle_agreement_ConfigurationCodec_h

#include "agreement/LogEntry.h"

#include <optional>
#include <string>
#include <string_view>

namespace hyssoppaddle::agreement {

// Layout: number of voters, the voters, number of learners, the learners. Each
// name is its length followed by its bytes. Numbers are 32-bit little-endian.
std::string
PackConfiguration(const Configuration& aConfiguration);

// Returns nothing unless aBytes is exactly one packed configuration.
std::optional<Configuration>
UnpackConfiguration(std::string_view aBytes);

} // namespace hyssoppaddle::agreement

#endif
