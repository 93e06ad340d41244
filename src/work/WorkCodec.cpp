// MessagePack encoding of the job state machine.
#include "wire/Decode.h"
#include "work/WorkSchema.h"

namespace hyssoppaddle::work {

// The tables as written before the field instanceOrders existed.
struct WorkTablesV1
{
  WallTime now{};
  Setup setup;
  std::map<JobId, Job> jobs;
  std::map<InstanceId, Upstream> upstreams;
  std::map<InstanceId, EndedBoot> endedBoots;
  std::map<std::uint64_t, Wave> waves;
};

} // namespace hyssoppaddle::work

namespace hyssoppaddle::wire {

HYSSOPPADDLE_SCHEMA(work::WorkTablesV1,
                    aIt.now,
                    aIt.setup,
                    aIt.jobs,
                    aIt.upstreams,
                    aIt.endedBoots,
                    aIt.waves);

} // namespace hyssoppaddle::wire

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
  auto tables = wire::Decode<WorkTables>(aBytes, kMaxTableBytes, "work tables");
  if (tables) {
    return tables;
  }
  auto first =
    wire::Decode<WorkTablesV1>(aBytes, kMaxTableBytes, "work tables");
  if (!first) {
    return tables; // reports why the current format could not be read
  }
  WorkTables read;
  read.now = first->now;
  read.setup = std::move(first->setup);
  read.jobs = std::move(first->jobs);
  read.upstreams = std::move(first->upstreams);
  read.endedBoots = std::move(first->endedBoots);
  read.waves = std::move(first->waves);
  return read;
}

} // namespace hyssoppaddle::work
