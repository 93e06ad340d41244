// Snapshot layout: [name, format, now], then for every table in fixed order
// [table number, record count] and that many records. Maps are written as
// [key, record].
#include "wire/SnapshotCodec.h"

#include "wire/RecordSchema.h"
#include "wire/SnapshotCheck.h"
#include "wire/Tree.h"
#include "wire/Unpack.h"

#include <exception>

namespace hyssoppaddle::wire {

namespace {

struct Header
{
  std::string name;
  std::uint32_t format = 0;
  WallTime now;
};

struct TableHeader
{
  std::uint32_t table = 0;
  std::uint64_t count = 0;
};

constexpr const char* kFormatName = "hyssoppaddle-state";
constexpr std::uint32_t kFormatVersion = 1;

// Table numbers in a snapshot, in the order in which the tables are written.
enum TableNumber : std::uint32_t
{
  Members = 1,
  Joins,
  Bundles,
  Keys,
  Claims,
  Jobs,
  Upstreams,
  Instances,
  Waves,
  Entries,
  Outcomes,
};

} // namespace

HYSSOPPADDLE_SCHEMA(Header, aIt.name, aIt.format, aIt.now);
HYSSOPPADDLE_SCHEMA(TableHeader, aIt.table, aIt.count);

namespace {

template<typename Records>
void
WriteTable(Packer& aPacker, TableNumber aTable, const Records& aRecords)
{
  Write(aPacker, TableHeader{ aTable, aRecords.size() });
  for (const auto& record : aRecords) {
    Write(aPacker, record);
  }
}

class Reader
{
public:
  explicit Reader(std::string_view aBytes)
    : bytes(aBytes)
  {
  }

  template<typename T>
  bool Next(T& aValue)
  {
    const auto handle = ParseNext(this->bytes, this->offset);
    return handle.has_value() && Read(handle->get(), aValue);
  }

  bool NextTable(TableNumber aTable, std::uint64_t& aCount)
  {
    TableHeader header;
    // Every record takes at least one byte.
    const bool good = this->Next(header) && header.table == aTable &&
                      header.count <= this->bytes.size() - this->offset;
    aCount = header.count;
    return good;
  }

  template<typename Key, typename T>
  bool Table(TableNumber aTable, std::map<Key, T>& aRecords)
  {
    std::uint64_t count = 0;
    if (!this->NextTable(aTable, count)) {
      return false;
    }
    for (; count > 0; --count) {
      const auto handle = ParseNext(this->bytes, this->offset);
      if (!handle.has_value() || !ReadEntry(handle->get(), aRecords)) {
        return false;
      }
    }
    return true;
  }

  bool Table(TableNumber aTable, std::deque<state::CachedOutcome>& aRecords)
  {
    std::uint64_t count = 0;
    if (!this->NextTable(aTable, count)) {
      return false;
    }
    for (; count > 0; --count) {
      if (!this->Next(aRecords.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  [[nodiscard]] bool AtEnd() const
  {
    return this->offset == this->bytes.size();
  }

private:
  std::string_view bytes;
  std::size_t offset = 0;
};

bool
ReadRecords(Reader& aReader, SnapshotRecords& aRecords)
{
  return aReader.Table(Members, aRecords.members) &&
         aReader.Table(Joins, aRecords.joins) &&
         aReader.Table(Bundles, aRecords.bundles) &&
         aReader.Table(Keys, aRecords.keys) &&
         aReader.Table(Claims, aRecords.claims) &&
         aReader.Table(Jobs, aRecords.jobs) &&
         aReader.Table(Upstreams, aRecords.upstreams) &&
         aReader.Table(Instances, aRecords.instances) &&
         aReader.Table(Waves, aRecords.waves) &&
         aReader.Table(Entries, aRecords.entries) &&
         aReader.Table(Outcomes, aRecords.outcomes) && aReader.AtEnd();
}

void
Load(SnapshotRecords& aRecords, state::Tables& aTables)
{
  aTables.members.Load(std::move(aRecords.members), std::move(aRecords.joins));
  aTables.bundles.Load(std::move(aRecords.bundles));
  aTables.keys.Load(std::move(aRecords.keys));
  aTables.claims.Load(std::move(aRecords.claims));
  aTables.jobs.Load(std::move(aRecords.jobs));
  aTables.upstreams.Load(std::move(aRecords.upstreams));
  aTables.instances.Load(std::move(aRecords.instances));
  aTables.waves.Load(std::move(aRecords.waves));
  aTables.permits.Load(std::move(aRecords.entries));
  aTables.outcomes.Load(std::move(aRecords.outcomes));
}

Result<state::Tables>
DecodeOrThrow(std::string_view aBytes)
{
  Reader reader(aBytes);
  Header header;
  if (!reader.Next(header) || header.name != kFormatName) {
    return Fail(ErrorCode::Malformed, "the bytes are no snapshot");
  }
  if (header.format != kFormatVersion) {
    return Fail(ErrorCode::Malformed,
                "the snapshot has format " + std::to_string(header.format) +
                  "; this version reads " + std::to_string(kFormatVersion));
  }
  SnapshotRecords records;
  if (!ReadRecords(reader, records)) {
    return Fail(ErrorCode::Malformed,
                "the snapshot ends early or has a record of the wrong type");
  }
  if (const std::string problem = ProblemOf(records); !problem.empty()) {
    return Fail(ErrorCode::Corrupt, problem);
  }
  state::Tables tables;
  tables.now = header.now;
  Load(records, tables);
  return tables;
}

} // namespace

std::string
EncodeSnapshot(const state::Tables& aTables)
{
  ByteSink sink;
  Packer packer(sink);
  Write(packer, Header{ kFormatName, kFormatVersion, aTables.now });
  WriteTable(packer, Members, aTables.members.Members());
  WriteTable(packer, Joins, aTables.members.Joins());
  WriteTable(packer, Bundles, aTables.bundles.Records());
  WriteTable(packer, Keys, aTables.keys.Records());
  WriteTable(packer, Claims, aTables.claims.Records());
  WriteTable(packer, Jobs, aTables.jobs.Records());
  WriteTable(packer, Upstreams, aTables.upstreams.Records());
  WriteTable(packer, Instances, aTables.instances.Records());
  WriteTable(packer, Waves, aTables.waves.Records());
  WriteTable(packer, Entries, aTables.permits.Records());
  WriteTable(packer, Outcomes, aTables.outcomes.Records());
  return std::move(sink.bytes);
}

Result<state::Tables>
DecodeSnapshot(std::string_view aBytes)
{
  try {
    return DecodeOrThrow(aBytes);
  } catch (const std::exception& error) {
    return Fail(ErrorCode::Malformed, error.what());
  }
}

} // namespace hyssoppaddle::wire
