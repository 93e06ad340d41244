// In-memory log of one replica.
#include "agreement/ReplicaLog.h"

#include "agreement/ConfigurationCodec.h"

#include <utility>

namespace hyssoppaddle::agreement {

ReplicaLog::ReplicaLog(LogIndex aBaseIndex,
                       Term aBaseTerm,
                       Configuration aConfiguration)
  : baseIndex(aBaseIndex)
  , baseTerm(aBaseTerm)
  , configurations{ { aBaseIndex, std::move(aConfiguration) } }
{
}

LogIndex
ReplicaLog::LastIndex() const
{
  return this->baseIndex + this->entries.size();
}

Term
ReplicaLog::LastTerm() const
{
  return this->entries.empty() ? this->baseTerm : this->entries.back().term;
}

std::optional<Term>
ReplicaLog::TermAt(LogIndex aIndex) const
{
  if (aIndex == this->baseIndex) {
    return this->baseTerm;
  }
  if (aIndex < this->baseIndex || aIndex > this->LastIndex()) {
    return std::nullopt;
  }
  return this->At(aIndex).term;
}

const LogEntry&
ReplicaLog::At(LogIndex aIndex) const
{
  return this->entries[aIndex - this->baseIndex - 1];
}

LogIndex
ReplicaLog::FirstOfTerm(LogIndex aIndex) const
{
  const std::optional<Term> term = this->TermAt(aIndex);
  LogIndex first = aIndex;
  while (first > this->baseIndex + 1 && this->At(first - 1).term == term) {
    --first;
  }
  return first;
}

std::vector<LogEntry>
ReplicaLog::Slice(LogIndex aFrom,
                  std::size_t aMaxEntries,
                  std::size_t aMaxBytes) const
{
  std::vector<LogEntry> slice;
  std::size_t payloads = 0;
  for (LogIndex index = aFrom; index <= this->LastIndex(); ++index) {
    const LogEntry& entry = this->At(index);
    payloads += entry.payload.size();
    const bool full = slice.size() >= aMaxEntries || payloads > aMaxBytes;
    if (!slice.empty() && full) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void
ReplicaLog::Append(LogEntry aEntry)
{
  if (aEntry.kind == EntryKind::Configuration) {
    // A payload that does not decode is ignored. All replicas decode the same
    // bytes, so all ignore it.
    if (auto configuration = UnpackConfiguration(aEntry.payload)) {
      this->configurations.push_back(
        { aEntry.index, std::move(*configuration) });
    }
  }
  this->bytes += SizeInMemory(aEntry);
  this->entries.push_back(std::move(aEntry));
}

void
ReplicaLog::TruncateFrom(LogIndex aFrom)
{
  while (this->LastIndex() >= aFrom && !this->entries.empty()) {
    this->bytes -= SizeInMemory(this->entries.back());
    this->entries.pop_back();
  }
  while (this->configurations.size() > 1 &&
         this->configurations.back().index >= aFrom) {
    this->configurations.pop_back();
  }
}

void
ReplicaLog::CompactTo(LogIndex aIndex)
{
  while (this->baseIndex < aIndex && !this->entries.empty()) {
    this->baseTerm = this->entries.front().term;
    this->baseIndex = this->entries.front().index;
    this->bytes -= SizeInMemory(this->entries.front());
    this->entries.pop_front();
  }
  while (this->configurations.size() > 1 &&
         this->configurations[1].index <= this->baseIndex) {
    this->configurations.erase(this->configurations.begin());
  }
}

LogIndex
ReplicaLog::CompactionIndex(LogIndex aLast,
                            std::size_t aMaxEntries,
                            std::size_t aMaxBytes) const
{
  LogIndex index = aLast;
  std::size_t kept = 0;
  while (index > this->baseIndex && aLast - index < aMaxEntries) {
    kept += SizeInMemory(this->At(index));
    if (kept > aMaxBytes) {
      break;
    }
    --index;
  }
  return index;
}

const Configuration&
ReplicaLog::ActiveConfiguration() const
{
  return this->configurations.back().configuration;
}

LogIndex
ReplicaLog::ConfigurationIndex() const
{
  return this->configurations.back().index;
}

const Configuration&
ReplicaLog::ConfigurationAt(LogIndex aIndex) const
{
  std::size_t found = 0;
  for (std::size_t i = 1; i < this->configurations.size(); ++i) {
    if (this->configurations[i].index <= aIndex) {
      found = i;
    }
  }
  return this->configurations[found].configuration;
}

} // namespace hyssoppaddle::agreement
