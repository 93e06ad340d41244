// In-memory log of one replica: the entries after a base position, and the
// configurations set by these entries and by the snapshot.
#ifndef hyssoppaddle_agreement_ReplicaLog_h
#define hyssoppaddle_agreement_ReplicaLog_h

#include "agreement/LogEntry.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace hyssoppaddle::agreement {

class ReplicaLog
{
public:
  ReplicaLog() = default;
  // aConfiguration is in force at aBase.
  ReplicaLog(LogIndex aBaseIndex, Term aBaseTerm, Configuration aConfiguration);

  [[nodiscard]] LogIndex BaseIndex() const { return this->baseIndex; }
  [[nodiscard]] LogIndex LastIndex() const;
  [[nodiscard]] Term LastTerm() const;
  // Returns nothing for an index below the base or above the last entry.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex aIndex) const;
  // aIndex must be above the base and at most the last index.
  [[nodiscard]] const LogEntry& At(LogIndex aIndex) const;
  // First index of the consecutive entries that have the same term as aIndex.
  [[nodiscard]] LogIndex FirstOfTerm(LogIndex aIndex) const;

  // Entries from aFrom on within both limits. Contains the first entry even if
  // it alone exceeds aMaxBytes.
  [[nodiscard]] std::vector<LogEntry> Slice(LogIndex aFrom,
                                            std::size_t aMaxEntries,
                                            std::size_t aMaxBytes) const;

  // The index of aEntry must follow the last one.
  void Append(LogEntry aEntry);
  // Also restores the configuration that was in force before aFrom.
  void TruncateFrom(LogIndex aFrom);
  // Drops entries up to aIndex, which must be in the log.
  void CompactTo(LogIndex aIndex);
  // Lowest index after which both limits hold for the entries up to aLast,
  // which must be in the log.
  [[nodiscard]] LogIndex CompactionIndex(LogIndex aLast,
                                         std::size_t aMaxEntries,
                                         std::size_t aMaxBytes) const;
  // Memory of the entries.
  [[nodiscard]] std::size_t Bytes() const { return this->bytes; }

  [[nodiscard]] const Configuration& ActiveConfiguration() const;
  // Index of the entry that set the active configuration; 0 for the initial
  // one.
  [[nodiscard]] LogIndex ConfigurationIndex() const;
  // Configuration in force at aIndex, which must not be below the base.
  [[nodiscard]] const Configuration& ConfigurationAt(LogIndex aIndex) const;

private:
  struct ConfigurationRecord
  {
    LogIndex index = 0;
    Configuration configuration;
  };

  LogIndex baseIndex = 0;
  Term baseTerm = 0;
  std::deque<LogEntry> entries; // entries[i].index == baseIndex + 1 + i
  std::size_t bytes = 0;        // sum of SizeInMemory of the entries
  // Ascending by index and never empty; the first is in force at the base.
  std::vector<ConfigurationRecord> configurations{ ConfigurationRecord{} };
};

} // namespace hyssoppaddle::agreement

#endif
