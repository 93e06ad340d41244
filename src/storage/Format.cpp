// File formats of the data folder.
#include "storage/Format.h"

#include "agreement/ConfigurationCodec.h"
#include "storage/Bytes.h"

#include <hyssoppaddle/Version.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>
#include <xxhash.h>

namespace hyssoppaddle::storage {

namespace {

constexpr std::uint32_t kSegmentMagic = 0x4c505948;  // "HYPL"
constexpr std::uint32_t kFrameMagic = 0x46505948;    // "HYPF"
constexpr std::uint32_t kSnapshotMagic = 0x53505948; // "HYPS"
constexpr std::uint32_t kOwnerMagic = 0x4f505948;    // "HYPO"
constexpr std::size_t kFrameHeaderBytes = 16;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSegmentSuffix = ".seg";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kSnapshotSuffix = ".snap";

enum class RecordKind : std::uint8_t
{
  HardState = 1,
  Truncate = 2,
  Entry = 3,
};

std::uint64_t
Checksum(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string
NumberedName(std::string_view aPrefix,
             std::uint64_t aNumber,
             std::string_view aSuffix)
{
  // Fixed width, so that the order of names is the order of numbers.
  constexpr std::size_t kNumberWidth = 20;
  const std::string digits = std::to_string(aNumber);
  std::string name(aPrefix);
  name.append(kNumberWidth - digits.size(), '0');
  name += digits;
  name += aSuffix;
  return name;
}

std::optional<std::uint64_t>
ParseNumbered(std::string_view aName,
              std::string_view aPrefix,
              std::string_view aSuffix)
{
  if (!aName.starts_with(aPrefix) || !aName.ends_with(aSuffix) ||
      aName.size() <= aPrefix.size() + aSuffix.size()) {
    return std::nullopt;
  }
  aName.remove_prefix(aPrefix.size());
  aName.remove_suffix(aSuffix.size());
  constexpr std::uint64_t kDecimalBase = 10;
  std::uint64_t number = 0;
  for (const char digit : aName) {
    if (digit < '0' || digit > '9') {
      return std::nullopt;
    }
    number = number * kDecimalBase + static_cast<std::uint64_t>(digit - '0');
  }
  return number;
}

// Magic, version, body, and a checksum of all preceding bytes.
std::string
EncodeEnvelope(std::uint32_t aMagic, std::string_view aBody)
{
  std::string bytes;
  PutNumber(bytes, aMagic);
  PutNumber(bytes, kStorageFormatVersion);
  bytes += aBody;
  PutNumber(bytes, Checksum(bytes, 0));
  return bytes;
}

std::optional<std::string_view>
DecodeEnvelope(std::uint32_t aMagic, std::string_view aBytes)
{
  if (aBytes.size() < kChecksumBytes) {
    return std::nullopt;
  }
  const std::string_view checkedBytes =
    aBytes.substr(0, aBytes.size() - kChecksumBytes);
  ByteReader tail{ aBytes.substr(checkedBytes.size()) };
  if (tail.Number<std::uint64_t>() != Checksum(checkedBytes, 0)) {
    return std::nullopt;
  }
  ByteReader head{ checkedBytes };
  const bool known = head.Number<std::uint32_t>() == aMagic &&
                     head.Number<std::uint32_t>() == kStorageFormatVersion;
  return known ? std::optional(head.rest) : std::nullopt;
}

void
Put(std::string& aBody, const agreement::HardState& aState)
{
  PutNumber(aBody, static_cast<std::uint8_t>(RecordKind::HardState));
  PutNumber<std::uint64_t>(aBody, aState.term);
  PutText(aBody, aState.votedFor.value);
  PutNumber<std::uint8_t>(aBody, aState.recovering ? 1 : 0);
}

void
Put(std::string& aBody, const TruncateRecord& aRecord)
{
  PutNumber(aBody, static_cast<std::uint8_t>(RecordKind::Truncate));
  PutNumber<std::uint64_t>(aBody, aRecord.from);
}

void
Put(std::string& aBody, const agreement::LogEntry& aEntry)
{
  PutNumber(aBody, static_cast<std::uint8_t>(RecordKind::Entry));
  PutNumber<std::uint64_t>(aBody, aEntry.index);
  PutNumber<std::uint64_t>(aBody, aEntry.term);
  PutNumber(aBody, static_cast<std::uint8_t>(aEntry.kind));
  PutText(aBody, aEntry.payload);
}

Record
TakeHardState(ByteReader& aReader)
{
  agreement::HardState state;
  state.term = aReader.Number<std::uint64_t>();
  state.votedFor = InstanceId(std::string(aReader.Text()));
  state.recovering = aReader.Number<std::uint8_t>() != 0;
  return state;
}

Record
TakeEntry(ByteReader& aReader)
{
  agreement::LogEntry entry;
  entry.index = aReader.Number<std::uint64_t>();
  entry.term = aReader.Number<std::uint64_t>();
  const auto kind = aReader.Number<std::uint8_t>();
  aReader.ok = aReader.ok &&
               kind <= static_cast<std::uint8_t>(agreement::EntryKind::Empty);
  entry.kind = static_cast<agreement::EntryKind>(kind);
  entry.payload = std::string(aReader.Text());
  return entry;
}

std::optional<Record>
TakeRecord(ByteReader& aReader)
{
  switch (static_cast<RecordKind>(aReader.Number<std::uint8_t>())) {
    case RecordKind::HardState:
      return TakeHardState(aReader);
    case RecordKind::Truncate:
      return TruncateRecord{ aReader.Number<std::uint64_t>() };
    case RecordKind::Entry:
      return TakeEntry(aReader);
  }
  return std::nullopt;
}

} // namespace

std::string
SegmentName(std::uint64_t aNumber)
{
  return NumberedName(kSegmentPrefix, aNumber, kSegmentSuffix);
}

std::string
SnapshotName(agreement::LogIndex aIndex)
{
  return NumberedName(kSnapshotPrefix, aIndex, kSnapshotSuffix);
}

std::optional<std::uint64_t>
ParseSegmentName(std::string_view aName)
{
  return ParseNumbered(aName, kSegmentPrefix, kSegmentSuffix);
}

std::optional<std::uint64_t>
ParseSnapshotName(std::string_view aName)
{
  return ParseNumbered(aName, kSnapshotPrefix, kSnapshotSuffix);
}

std::string
EncodeSegmentHeader(std::uint64_t aNumber)
{
  std::string number;
  PutNumber(number, aNumber);
  return EncodeEnvelope(kSegmentMagic, number);
}

HeaderState
CheckSegmentHeader(std::string_view aBytes, std::uint64_t aNumber)
{
  if (aBytes.size() < kSegmentHeaderBytes) {
    return HeaderState::Torn;
  }
  const std::string_view header = aBytes.substr(0, kSegmentHeaderBytes);
  if (header == EncodeSegmentHeader(aNumber)) {
    return HeaderState::Valid;
  }
  ByteReader tail{ header.substr(kSegmentHeaderBytes - kChecksumBytes) };
  const bool sound =
    tail.Number<std::uint64_t>() ==
    Checksum(header.substr(0, kSegmentHeaderBytes - kChecksumBytes), 0);
  return sound ? HeaderState::Mismatched : HeaderState::Torn;
}

void
PutRecord(std::string& aBody, const Record& aRecord)
{
  std::visit([&](const auto& aTyped) { Put(aBody, aTyped); }, aRecord);
}

std::string
EncodeFrame(std::string_view aBody, std::uint64_t aSegment)
{
  std::string frame;
  PutNumber(frame, kFrameMagic);
  PutNumber(frame, static_cast<std::uint32_t>(aBody.size()));
  PutNumber(frame, Checksum(aBody, aSegment));
  frame += aBody;
  return frame;
}

std::optional<Frame>
DecodeFrame(std::string_view aBytes, std::uint64_t aSegment)
{
  ByteReader header{ aBytes };
  const auto magic = header.Number<std::uint32_t>();
  const auto size = header.Number<std::uint32_t>();
  const auto checksum = header.Number<std::uint64_t>();
  if (!header.ok || magic != kFrameMagic || size > header.rest.size()) {
    return std::nullopt;
  }
  const std::string_view body = header.rest.substr(0, size);
  if (Checksum(body, aSegment) != checksum) {
    return std::nullopt;
  }
  Frame frame;
  frame.bytes = kFrameHeaderBytes + size;
  ByteReader reader{ body };
  while (!reader.rest.empty()) {
    std::optional<Record> record = TakeRecord(reader);
    if (!record || !reader.ok) {
      return std::nullopt;
    }
    frame.records.push_back(std::move(*record));
  }
  return frame;
}

std::string
EncodeSnapshot(const agreement::SnapshotMeta& aMeta, std::string_view aBytes)
{
  std::string body;
  PutNumber<std::uint64_t>(body, aMeta.index);
  PutNumber<std::uint64_t>(body, aMeta.term);
  PutText(body, agreement::PackConfiguration(aMeta.configuration));
  PutText(body, aBytes);
  return EncodeEnvelope(kSnapshotMagic, body);
}

std::optional<SnapshotFile>
DecodeSnapshot(std::string_view aBytes)
{
  const std::optional<std::string_view> body =
    DecodeEnvelope(kSnapshotMagic, aBytes);
  if (!body) {
    return std::nullopt;
  }
  ByteReader reader{ *body };
  SnapshotFile file;
  file.meta.index = reader.Number<std::uint64_t>();
  file.meta.term = reader.Number<std::uint64_t>();
  auto configuration = agreement::UnpackConfiguration(reader.Text());
  file.bytes = std::string(reader.Text());
  if (!reader.ok || !reader.rest.empty() || !configuration) {
    return std::nullopt;
  }
  file.meta.configuration = std::move(*configuration);
  return file;
}

std::string
EncodeOwner(const OwnerRecord& aOwner)
{
  std::string body;
  PutText(body, aOwner.cluster);
  PutText(body, aOwner.instance.value);
  PutText(body, aOwner.identity);
  return EncodeEnvelope(kOwnerMagic, body);
}

std::optional<OwnerRecord>
DecodeOwner(std::string_view aBytes)
{
  const std::optional<std::string_view> body =
    DecodeEnvelope(kOwnerMagic, aBytes);
  if (!body) {
    return std::nullopt;
  }
  ByteReader reader{ *body };
  OwnerRecord owner;
  owner.cluster = std::string(reader.Text());
  owner.instance = InstanceId(std::string(reader.Text()));
  owner.identity = std::string(reader.Text());
  if (!reader.ok || !reader.rest.empty()) {
    return std::nullopt;
  }
  return owner;
}

} // namespace hyssoppaddle::storage
