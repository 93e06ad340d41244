// The whole replicated state as bytes: a header, then each table as a count and
// its records. Records are parsed one by one, so that decoding needs little
// memory besides the result.
#ifndef hyssoppaddle_wire_SnapshotCodec_h
#define hyssoppaddle_wire_SnapshotCodec_h

#include "base/Result.h"
#include "state/Tables.h"

#include <string>
#include <string_view>

namespace hyssoppaddle::wire {

std::string
EncodeSnapshot(const state::Tables& aTables);

// Malformed for bytes that are no snapshot, Corrupt for records that contradict
// each other.
Result<state::Tables>
DecodeSnapshot(std::string_view aBytes);

} // namespace hyssoppaddle::wire

#endif
