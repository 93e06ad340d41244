// Tests the batching and failure handling of the storage thread, and the rate
// limit of the decision log.
#include "shell/StorageThread.h"
#include "shell/DecisionLog.h"
#include "support/TestTrace.h"

#include <nlohmann/json.hpp>

#include <future>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::shell;

namespace {

struct FakeDiskState
{
  std::promise<void> firstWriteStarted;
  std::promise<void> firstWriteMayEnd;
  std::vector<std::size_t> batches;
  bool fails = false;
  std::size_t refusals = 0; // of the next writes
  std::size_t snapshotRefusals = 0;
  std::vector<agreement::LogIndex> snapshots;
};

class FakeLog final : public DurableLog
{
public:
  explicit FakeLog(FakeDiskState& aDisk)
    : disk(aDisk)
  {
  }
  agreement::RecoveredLog TakeRecovered() override { return {}; }
  Result<void> Write(std::span<const agreement::Persist> aBatch) override
  {
    this->disk.batches.push_back(aBatch.size());
    if (this->disk.batches.size() == 1) {
      this->disk.firstWriteStarted.set_value();
      this->disk.firstWriteMayEnd.get_future().wait();
    }
    if (this->disk.refusals > 0) {
      --this->disk.refusals;
      return Fail(ErrorCode::OutOfResources, "no space left");
    }
    if (this->disk.fails) {
      return Fail(ErrorCode::IoFailure, "sync failed");
    }
    return {};
  }
  Result<void> SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                            std::string_view) override
  {
    if (this->disk.snapshotRefusals > 0) {
      --this->disk.snapshotRefusals;
      return Fail(ErrorCode::OutOfResources, "no space left");
    }
    this->disk.snapshots.push_back(aMeta.index);
    return {};
  }

private:
  FakeDiskState& disk;
};

agreement::Persist
PersistWithSequence(std::uint64_t aSequence)
{
  agreement::Persist persist;
  persist.sequence = aSequence;
  return persist;
}

} // namespace

// Guards against one sync per entry, and against acknowledgements that are out
// of order or sent before the sync.
Test(StorageThread, WritesQueuedEntriesWithOneSync)
{
  TestTrace trace;
  FakeDiskState disk;
  asio::io_context io;
  std::vector<std::uint64_t> written;
  StorageHooks hooks;
  hooks.written = [&](std::uint64_t aSequence) {
    written.push_back(aSequence);
  };
  hooks.saved = [](const SnapshotWork&) {};
  hooks.synced = [](Duration) {};
  {
    StorageThread storage(
      io, std::make_unique<FakeLog>(disk), hooks, [](const Error&) {});
    storage.Enqueue(PersistWithSequence(1));
    disk.firstWriteStarted.get_future().wait();
    for (std::uint64_t sequence = 2; sequence <= 5; ++sequence) {
      storage.Enqueue(PersistWithSequence(sequence));
    }
    io.poll();
    EXPECT_THAT(trace, written.empty());
    disk.firstWriteMayEnd.set_value();
  }
  io.restart();
  io.run();
  EXPECT_THAT(trace, (disk.batches == std::vector<std::size_t>{ 1, 4 }));
  EXPECT_THAT(trace, (written == std::vector<std::uint64_t>{ 1, 2, 3, 4, 5 }));
}

// Guards against an acknowledgement after a failed sync.
Test(StorageThread, AcknowledgesNothingAfterAFailure)
{
  TestTrace trace;
  FakeDiskState disk;
  disk.fails = true;
  disk.firstWriteMayEnd.set_value();
  asio::io_context io;
  int written = 0;
  std::string problem;
  StorageHooks hooks;
  hooks.written = [&](std::uint64_t) { ++written; };
  hooks.saved = [](const SnapshotWork&) {};
  hooks.synced = [](Duration) {};
  {
    StorageThread storage(
      io, std::make_unique<FakeLog>(disk), hooks, [&](const Error& aError) {
        problem = aError.message;
      });
    storage.Enqueue(PersistWithSequence(1));
    disk.firstWriteStarted.get_future().wait();
    storage.Enqueue(PersistWithSequence(2));
  }
  io.run();
  EXPECT_EQUAL(trace, written, 0);
  EXPECT_EQUAL(trace, problem, "sync failed");
  EXPECT_EQUAL(trace, disk.batches.size(), 1U);
}

// Guards against a process that ends, or acknowledges something, while its disk
// is full: the work is repeated and reported once it is written.
Test(StorageThread, RepeatsRefusedWork)
{
  TestTrace trace;
  FakeDiskState disk;
  disk.refusals = 3;
  disk.snapshotRefusals = 1;
  disk.firstWriteMayEnd.set_value();
  asio::io_context io;
  std::vector<std::string> events;
  StorageHooks hooks;
  const auto work = asio::make_work_guard(io);
  hooks.refused = [&](const Error&) { events.emplace_back("refused"); };
  hooks.accepted = [&] { events.emplace_back("accepted"); };
  hooks.snapshotRefused = [&](const Error&) {
    events.emplace_back("snapshot refused");
  };
  hooks.written = [&](std::uint64_t aSequence) {
    events.push_back("written " + std::to_string(aSequence));
  };
  hooks.saved = [&](const SnapshotWork&) {
    events.emplace_back("saved");
    io.stop();
  };
  hooks.synced = [](Duration) {};
  std::string problem;
  StorageThread storage(io,
                        std::make_unique<FakeLog>(disk),
                        hooks,
                        [&](const Error& aError) { problem = aError.message; });
  storage.Enqueue(PersistWithSequence(1));
  storage.Enqueue(SnapshotWork{ { 1, 1, {} }, "state" });
  storage.Enqueue(PersistWithSequence(2));
  io.run();
  EXPECT_THAT(trace,
              (events == std::vector<std::string>{ "refused",
                                                   "accepted",
                                                   "written 1",
                                                   "snapshot refused",
                                                   "written 2",
                                                   "saved" }));
  EXPECT_EQUAL(trace, problem, "");
  EXPECT_EQUAL(trace, disk.snapshots.size(), 1U);
}

// Guards against a process that cannot stop while its disk is full.
Test(StorageThread, StopsWhileWorkIsRefused)
{
  TestTrace trace;
  FakeDiskState disk;
  disk.refusals = ~std::size_t{ 0 };
  disk.firstWriteMayEnd.set_value();
  asio::io_context io;
  int written = 0;
  StorageHooks hooks;
  hooks.written = [&](std::uint64_t) { ++written; };
  {
    StorageThread storage(
      io, std::make_unique<FakeLog>(disk), hooks, [](const Error&) {});
    storage.Enqueue(PersistWithSequence(1));
    disk.firstWriteStarted.get_future().wait();
  }
  io.run();
  EXPECT_EQUAL(trace, written, 0);
}

// Guards against an unlimited rate of log lines, and against dropping refusals.
Test(DecisionLog, NeverDropsRefusals)
{
  TestTrace trace;
  std::vector<std::string> events;
  std::vector<nlohmann::json> fields;
  DecisionLog log(2,
                  std::make_shared<Metrics>(),
                  [&](std::string_view aEvent, const nlohmann::json& aFields) {
                    events.emplace_back(aEvent);
                    fields.push_back(aFields);
                  });
  const Time start{ Duration(5000000) };
  request::LogDecision route;
  route.kind = "route";
  request::LogDecision refusal;
  refusal.kind = "refuse";
  refusal.refusal = true;
  for (int i = 0; i < 5; ++i) {
    log.Write(route, start);
    log.Write(refusal, start);
  }
  EXPECT_EQUAL(trace, events.size(), 7U);
  log.Tick(start + Duration(999999));
  EXPECT_EQUAL(trace, events.size(), 7U);
  log.Tick(start + Duration(1000000));
  EXPECT_EQUAL(trace, events.back(), "decisions_dropped");
  EXPECT_EQUAL(trace, fields.back().at("lines").get<int>(), 3);
}
