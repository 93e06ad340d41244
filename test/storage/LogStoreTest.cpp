// Tests of the durable log on a file layer with fault injection.
#include "storage/LogStore.h"
#include "storage/FakeFileLayer.h"
#include "storage/Format.h"
#include "support/TestTrace.h"

#include <array>

using namespace hyssoppaddle;
using agreement::EntryKind;
using agreement::HardState;
using agreement::LogEntry;
using agreement::LogIndex;
using agreement::Persist;
using agreement::RecoveredLog;
using agreement::SnapshotMeta;
using storage::LogStore;
using test::FakeDisk;
using test::OpenFake;
using test::TestTrace;

namespace {

Result<LogStore>
OpenStore(FakeDisk& aDisk,
          const std::string& aOwner = "a",
          std::size_t aSegmentBytes = 400)
{
  return LogStore::Open(OpenFake(aDisk),
                        { "cluster", InstanceId(aOwner), aSegmentBytes });
}

Persist
Entries(LogIndex aFrom, LogIndex aTo, agreement::Term aTerm)
{
  Persist persist;
  persist.hardState = HardState{ aTerm, InstanceId("a"), false };
  for (LogIndex index = aFrom; index <= aTo; ++index) {
    persist.entries.push_back(
      { index, aTerm, EntryKind::Command, "payload " + std::to_string(index) });
  }
  return persist;
}

bool
Write(LogStore& aStore, const Persist& aPersist)
{
  return aStore.Write({ &aPersist, 1 }).has_value();
}

RecoveredLog
Reopen(TestTrace& aTrace, FakeDisk& aDisk)
{
  Result<LogStore> store = OpenStore(aDisk);
  EXPECT_EQUAL(aTrace, store ? "" : store.error().message, "");
  return store->TakeRecovered();
}

// Highest indexes that a store has reported as written.
struct Durable
{
  LogIndex last = 0;
  LogIndex snapshot = 0;
};

void
WriteUntilCrash(FakeDisk& aDisk, Durable& aDurable)
{
  Result<LogStore> store = OpenStore(aDisk);
  if (!store) {
    return;
  }
  const RecoveredLog log = store->TakeRecovered();
  LogIndex index =
    log.entries.empty() ? log.snapshotMeta.index : log.entries.back().index;
  const LogIndex end = index + 40;
  while (++index <= end && Write(*store, Entries(index, index, 1))) {
    aDurable.last = index;
    const SnapshotMeta meta{ index, 1, {} };
    if (index % 9 == 0 && store->SaveSnapshot(meta, "state")) {
      aDurable.snapshot = index;
    }
  }
}

void
ExpectKept(TestTrace& aTrace, FakeDisk& aDisk, const Durable& aDurable)
{
  const RecoveredLog log = Reopen(aTrace, aDisk);
  EXPECT_THAT(aTrace, log.snapshotMeta.index >= aDurable.snapshot);
  const LogIndex last =
    log.entries.empty() ? log.snapshotMeta.index : log.entries.back().index;
  EXPECT_THAT(aTrace, last >= aDurable.last);
  EXPECT_THAT(aTrace, aDurable.last == 0 || log.hardState.term == 1);
  EXPECT_THAT(aTrace, aDurable.last == 0 || log.voteStateIntact);
}

std::string
LastSegment(const FakeDisk& aDisk)
{
  std::string last;
  for (const auto& [name, file] : aDisk.names) {
    last = storage::ParseSegmentName(name) ? name : last;
  }
  return last;
}

} // namespace

// Guards against a replica that votes after its folder was lost, also if it
// crashed between the creation of the folder and its first vote.
Test(LogStore, EmptyFolderHasNoVoteState)
{
  TestTrace trace;
  FakeDisk disk;
  trace.Section("an empty folder is opened twice without a write", [&] {
    EXPECT_EQUAL(trace, Reopen(trace, disk).voteStateIntact, false);
    EXPECT_EQUAL(trace, Reopen(trace, disk).voteStateIntact, false);
  });
  trace.Section("a vote is written", [&] {
    {
      Result<LogStore> store = OpenStore(disk);
      EXPECT_THAT(trace, Write(*store, Entries(1, 2, 3)));
    }
    const RecoveredLog log = Reopen(trace, disk);
    EXPECT_EQUAL(trace, log.voteStateIntact, true);
    EXPECT_EQUAL(trace, log.hardState.term, 3U);
    EXPECT_EQUAL(trace, log.entries.size(), 2U);
  });
  trace.Section("a replica in recovery restarts", [&] {
    {
      Result<LogStore> store = OpenStore(disk);
      Persist persist;
      persist.hardState = HardState{ 4, InstanceId(), true };
      EXPECT_THAT(trace, Write(*store, persist));
    }
    EXPECT_EQUAL(trace, Reopen(trace, disk).voteStateIntact, false);
  });
}

// Guards against use of one folder by two processes or two instances.
Test(LogStore, RefusesAnotherOwner)
{
  TestTrace trace;
  FakeDisk disk;
  {
    const Result<LogStore> first = OpenStore(disk);
    trace.Section("a second process opens the folder", [&] {
      const Result<LogStore> second = OpenStore(disk);
      EXPECT_THAT(trace, !second);
      EXPECT_EQUAL(trace, second.error().code, ErrorCode::Conflict);
    });
  }
  trace.Section("another instance opens the folder", [&] {
    const Result<LogStore> other = OpenStore(disk, "b");
    EXPECT_THAT(trace, !other);
    EXPECT_EQUAL(trace, other.error().code, ErrorCode::Conflict);
  });
}

// Guards against the loss of synced records, and against a store that cannot be
// opened, after a crash at any point of a write, rotation, snapshot or removal.
Test(LogStore, CrashAtEveryOperationLosesNothingSynced)
{
  TestTrace trace;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (std::size_t stop = 0; stop < 140; ++stop) {
      Random random(seed * 1000 + stop);
      FakeDisk disk;
      Durable durable;
      disk.operationsUntilCrash = stop;
      WriteUntilCrash(disk, durable);
      for (int crash = 1; crash <= 4; ++crash) {
        trace.Section("seed " + std::to_string(seed) + ", crash " +
                        std::to_string(crash) + " after operation " +
                        std::to_string(stop),
                      [&] {
                        disk.Crash(random);
                        ExpectKept(trace, disk, durable);
                        disk.operationsUntilCrash = random.Below(30);
                        WriteUntilCrash(disk, durable);
                      });
      }
    }
  }
}

// Guards against a store that silently drops acknowledged entries because a
// byte of an older record changed, and against an error message that does not
// name the file.
Test(LogStore, DamageInTheMiddleIsRefused)
{
  TestTrace trace;
  FakeDisk disk;
  {
    Result<LogStore> store = OpenStore(disk, "a", 100000);
    for (LogIndex index = 1; index <= 6; ++index) {
      EXPECT_THAT(trace, Write(*store, Entries(index, index, 1)));
    }
  }
  const std::string name = LastSegment(disk);
  const std::string sound = disk.names[name]->content;
  const std::size_t lastFrame = sound.rfind("HYPF");
  trace.Section("each byte before the last frame is changed in turn", [&] {
    for (std::size_t at = 0; at < lastFrame; ++at) {
      disk.names[name]->content = sound;
      disk.names[name]->content[at] ^= 0x10;
      const Result<LogStore> store = OpenStore(disk, "a", 100000);
      EXPECT_THAT(trace, !store);
      EXPECT_EQUAL(trace, store.error().code, ErrorCode::Corrupt);
      EXPECT_THAT(trace, store.error().message.find(name) == 0);
    }
  });
  trace.Section("the last frame is cut at each byte", [&] {
    for (std::size_t size = lastFrame; size < sound.size(); ++size) {
      disk.names[name]->content = sound.substr(0, size);
      const Result<LogStore> store = OpenStore(disk, "a", 100000);
      EXPECT_THAT(trace, store.has_value());
      EXPECT_EQUAL(trace, store->TornBytes(), size - lastFrame);
      EXPECT_EQUAL(trace, disk.names[name]->content.size(), lastFrame);
    }
  });
}

// Guards against opening a folder with a damaged snapshot, a damaged segment or
// owner record, or a missing segment.
Test(LogStore, DamagedFilesAreNamed)
{
  TestTrace trace;
  FakeDisk disk;
  {
    Result<LogStore> store = OpenStore(disk);
    EXPECT_THAT(trace, Write(*store, Entries(1, 30, 1)));
    EXPECT_THAT(trace, store->SaveSnapshot({ 5, 1, {} }, "state").has_value());
    EXPECT_THAT(trace, Write(*store, Entries(31, 31, 1)));
    EXPECT_THAT(trace, Write(*store, Entries(32, 32, 1)));
  }
  const auto refuses = [&](FakeDisk aDisk, const std::string& aName) {
    const auto report = storage::Verify(*OpenFake(aDisk));
    EXPECT_EQUAL(trace, report.sound, false);
    EXPECT_THAT(trace, report.problem.find(aName) == 0);
  };
  const auto withFlippedByte = [&](const std::string& aName) {
    FakeDisk copy = disk;
    copy.names[aName] = std::make_shared<FakeDisk::File>(*disk.names[aName]);
    copy.names[aName]->content[9] ^= 1;
    return copy;
  };
  trace.Section("a sound folder verifies", [&] {
    const auto report = storage::Verify(*OpenFake(disk));
    EXPECT_EQUAL(trace, report.problem, "");
    EXPECT_EQUAL(trace, report.snapshotIndex, 5U);
    EXPECT_EQUAL(trace, report.lastIndex, 32U);
    EXPECT_EQUAL(trace, report.entries, 27U);
  });
  trace.Section("each file is damaged in turn", [&] {
    for (const std::string& name : { storage::SnapshotName(5),
                                     storage::SegmentName(1),
                                     std::string(storage::kOwnerName) }) {
      refuses(withFlippedByte(name), name);
    }
  });
  trace.Section("the first segment is missing", [&] {
    FakeDisk copy = disk;
    copy.names.erase(storage::SegmentName(1));
    refuses(copy, storage::SegmentName(2));
  });
}

// Guards against a store that accepts writes after a failed sync, when it is
// unknown what reached the disk.
Test(LogStore, AcceptsNothingAfterAFailure)
{
  TestTrace trace;
  FakeDisk disk;
  Result<LogStore> store = OpenStore(disk);
  EXPECT_THAT(trace, Write(*store, Entries(1, 3, 1)));
  disk.syncsUntilFailure = 0;
  EXPECT_THAT(trace, !Write(*store, Entries(4, 4, 1)));
  EXPECT_THAT(trace, !Write(*store, Entries(5, 5, 1)));
  EXPECT_THAT(trace, !store->SaveSnapshot({ 3, 1, {} }, "state"));
}

// Guards against a store that gives up, or loses or repeats a record, after a
// write that was refused and whose effect on the disk is known.
Test(LogStore, ContinuesAfterARefusedWrite)
{
  TestTrace trace;
  const auto refuse = [](FakeDisk& aDisk, bool aFull) {
    aDisk.hasDescriptors = aFull;
    if (aFull) {
      aDisk.capacity = aDisk.UsedBytes() + 10;
    }
  };
  const auto accept = [](FakeDisk& aDisk) {
    aDisk.hasDescriptors = true;
    aDisk.capacity = ~std::size_t{ 0 };
  };
  for (const bool full : { true, false }) {
    // With small segments the write has to start a segment, too.
    for (const std::size_t segmentBytes : { 100U, 100000U }) {
      if (!full && segmentBytes > 100) {
        continue; // an open segment needs no further descriptor
      }
      trace.Section(full ? "the disk is full" : "no descriptor is left", [&] {
        FakeDisk disk;
        Result<LogStore> store = OpenStore(disk, "a", segmentBytes);
        Persist first = Entries(1, 3, 1);
        first.sequence = 1;
        EXPECT_THAT(trace, Write(*store, first));
        Persist second = Entries(4, 6, 1);
        second.sequence = 2;
        refuse(disk, full);
        for (int attempt = 0; attempt < 3; ++attempt) {
          const auto refused = store->Write({ &second, 1 });
          EXPECT_THAT(trace, !refused);
          EXPECT_THAT(trace, refused.error().code == ErrorCode::OutOfResources);
        }
        trace.Section("the process ends meanwhile", [&] {
          FakeDisk copy;
          for (const auto& [name, file] : disk.names) {
            copy.names[name] = std::make_shared<FakeDisk::File>(*file);
          }
          EXPECT_EQUAL(trace, Reopen(trace, copy).entries.size(), 3U);
        });
        accept(disk);
        std::array<Persist, 2> batch{ second, Entries(7, 7, 1) };
        EXPECT_THAT(trace, store->Write(batch).has_value());
        store = Fail(ErrorCode::Unavailable, "closed");
        const RecoveredLog log = Reopen(trace, disk);
        EXPECT_EQUAL(trace, log.entries.size(), 7U);
        EXPECT_EQUAL(trace, log.entries.back().index, 7U);
      });
    }
  }
  trace.Section("a snapshot is refused behind entries of its batch", [&] {
    FakeDisk disk;
    Result<LogStore> store = OpenStore(disk, "a", 100000);
    std::array<Persist, 2> batch{ Entries(1, 3, 1), Persist{} };
    batch[1].snapshotMeta = SnapshotMeta{ 10, 1, {} };
    batch[1].snapshotBytes = "state";
    refuse(disk, false);
    EXPECT_THAT(trace, !store->Write(batch));
    EXPECT_EQUAL(trace, disk.names.contains(storage::SnapshotName(10)), false);
    accept(disk);
    EXPECT_THAT(trace, store->Write(batch).has_value());
    store = Fail(ErrorCode::Unavailable, "closed");
    EXPECT_EQUAL(trace, Reopen(trace, disk).snapshotMeta.index, 10U);
  });
  trace.Section("a snapshot of the state is refused", [&] {
    FakeDisk disk;
    Result<LogStore> store = OpenStore(disk, "a", 100000);
    EXPECT_THAT(trace, Write(*store, Entries(1, 3, 1)));
    refuse(disk, true);
    EXPECT_THAT(trace,
                !store->SaveSnapshot({ 3, 1, {} }, "more than ten bytes"));
    EXPECT_EQUAL(trace, disk.UsedBytes() + 10, disk.capacity);
    accept(disk);
    EXPECT_THAT(trace, Write(*store, Entries(4, 4, 1)));
    EXPECT_THAT(trace, store->SaveSnapshot({ 3, 1, {} }, "state").has_value());
  });
  trace.Section("other work may not overtake a refused batch", [&] {
    FakeDisk disk;
    Result<LogStore> store = OpenStore(disk, "a", 100000);
    Persist refused = Entries(1, 1, 1);
    refused.sequence = 1;
    Persist other = Entries(2, 2, 1);
    other.sequence = 2;
    refuse(disk, true);
    EXPECT_THAT(trace, !Write(*store, refused));
    accept(disk);
    EXPECT_THAT(trace, !Write(*store, other));
    EXPECT_THAT(trace, !Write(*store, refused));
  });
}

// Guards against truncated or replaced entries that reappear after a restart,
// and against segments that are never removed.
Test(LogStore, TruncationsAndSnapshotsAreReplayed)
{
  TestTrace trace;
  FakeDisk disk;
  {
    Result<LogStore> store = OpenStore(disk);
    EXPECT_THAT(trace, Write(*store, Entries(1, 20, 1)));
    Persist conflict = Entries(15, 16, 2);
    conflict.truncateFrom = 15;
    EXPECT_THAT(trace, Write(*store, conflict));
  }
  trace.Section("entries are replaced", [&] {
    const RecoveredLog log = Reopen(trace, disk);
    EXPECT_EQUAL(trace, log.entries.size(), 16U);
    EXPECT_EQUAL(trace, log.entries.back().term, 2U);
  });
  trace.Section("a snapshot beyond the log is installed", [&] {
    {
      Result<LogStore> store = OpenStore(disk);
      std::array<Persist, 2> batch{ Persist{}, Entries(101, 103, 3) };
      batch[0].snapshotMeta =
        SnapshotMeta{ 100, 3, { { InstanceId("a") }, {} } };
      batch[0].snapshotBytes = "state";
      EXPECT_THAT(trace, store->Write(batch).has_value());
    }
    const RecoveredLog log = Reopen(trace, disk);
    EXPECT_EQUAL(trace, log.snapshotMeta.index, 100U);
    EXPECT_EQUAL(trace, log.snapshotMeta.configuration.voters.size(), 1U);
    EXPECT_EQUAL(trace, log.snapshotBytes, "state");
    EXPECT_EQUAL(trace, log.entries.size(), 3U);
    EXPECT_EQUAL(trace, disk.names.contains(storage::SegmentName(1)), false);
  });
}
