// MessagePack encoding of the job state machine.
#include "wire/Decode.h"
#include "work/WorkSchema.h"

namespace hyssoppaddle::work {

namespace {

constexpr std::size_t kMaxBatchBytes = 16UL * 1024 * 1024;
constexpr std::size_t kMaxTableBytes = 256UL * 1024 * 1024;

} // namespace

std::string
EncodeBatch(const Batch& aBatch)
{
  return wire::Encode(aBatch);
}

Result<Batch>
DecodeBatch(std::string_view aBytes)
{
  return wire::Decode<Batch>(aBytes, kMaxBatchBytes, "batch");
}

std::string
EncodeTables(const WorkTables& aTables)
{
  return wire::Encode(aTables);
}

Result<WorkTables>
DecodeTables(std::string_view aBytes)
{
  return wire::Decode<WorkTables>(aBytes, kMaxTableBytes, "work tables");
}

} // namespace hyssoppaddle::work
