// Byte form of a Configuration, as stored in log entries and snapshot files.
// Kept here so that the replicated log depends on no codec of another part.
#ifndef hyssoppaddle_agreement_ConfigurationCodec_h
#define hyssoppaddle_agreement_ConfigurationCodec_h

#include "agreement/LogEntry.h"

#include <optional>
#include <string>
#include <string_view>

namespace hyssoppaddle::agreement {

// Count of voters, the voters, count of learners, the learners; each name as
// length and bytes; numbers are 32-bit little-endian.
std::string
PackConfiguration(const Configuration& aConfiguration);

// Nothing when aBytes is not exactly one packed configuration.
std::optional<Configuration>
UnpackConfiguration(std::string_view aBytes);

} // namespace hyssoppaddle::agreement

#endif
