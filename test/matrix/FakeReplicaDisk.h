// In-memory stand-in for the durable state of one entry instance. It survives a
// crash of the instance; writes that have not completed by then are lost.
#ifndef hyssoppaddle_test_matrix_FakeReplicaDisk_h
#define hyssoppaddle_test_matrix_FakeReplicaDisk_h

#include "agreement/Events.h"
#include "agreement/Raft.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::test {

class FakeReplicaDisk
{
public:
  void Write(const agreement::Persist& aPersist)
  {
    this->isEmpty = false;
    if (aPersist.hardState) {
      this->log.hardState = *aPersist.hardState;
    }
    if (aPersist.snapshotMeta) {
      this->SaveSnapshot(*aPersist.snapshotMeta, aPersist.snapshotBytes);
    }
    if (aPersist.truncateFrom) {
      this->DropFrom(*aPersist.truncateFrom);
    }
    for (const agreement::LogEntry& entry : aPersist.entries) {
      this->DropFrom(entry.index);
      this->log.entries.push_back(entry);
    }
  }

  void SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                    const std::string& aBytes)
  {
    this->log.snapshotMeta = aMeta;
    this->log.snapshotBytes = aBytes;
    std::erase_if(this->log.entries, [&](const agreement::LogEntry& aEntry) {
      return aEntry.index <= aMeta.index;
    });
  }

  void Erase() { *this = FakeReplicaDisk(); }

  [[nodiscard]] agreement::RecoveredLog Recover() const
  {
    agreement::RecoveredLog recovered = this->log;
    recovered.voteStateIntact = !this->isEmpty;
    return recovered;
  }

private:
  agreement::RecoveredLog log;
  bool isEmpty = true;

  void DropFrom(agreement::LogIndex aIndex)
  {
    std::erase_if(this->log.entries,
                  [aIndex](const agreement::LogEntry& aEntry) {
                    return aEntry.index >= aIndex;
                  });
  }
};

} // namespace hyssoppaddle::test

#endif
