// Encoding of the whole replicated state: a header, then each table as a record
// count and its records. Records are parsed one at a time, so that decoding
// needs little memory besides the result.
#ifndef hyssoppaddle_wire_SnapshotCodec_h
#define hyssoppaddle_wire_SnapshotCodec_h

#include "base/Result.h"
#include "state/Tables.h"

#include <string>
#include <string_view>

namespace hyssoppaddle::wire {

std::string
EncodeSnapshot(const state::Tables& aTables);

// Fails with Malformed for bytes that are not a snapshot, and with Corrupt for
// records that are inconsistent with each other.
Result<state::Tables>
DecodeSnapshot(std::string_view aBytes);

} // namespace hyssoppaddle::wire

#endif
