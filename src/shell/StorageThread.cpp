// Batches the work: consecutive writes share one sync, and snapshots are saved
// in order between them.
#include "shell/StorageThread.h"

#include "shell/Clock.h"

namespace hyssoppaddle::shell {

namespace {

// Refused work is repeated at these intervals. A snapshot can wait longer,
// because it is larger and nobody waits for it.
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
constexpr Duration kSnapshotRetryInterval = std::chrono::seconds(1);

bool
IsRefusal(const Result<void>& aResult)
{
  return !aResult && aResult.error().code == ErrorCode::OutOfResources;
}

} // namespace

StorageThread::StorageThread(asio::io_context& aIo,
                             std::unique_ptr<DurableLog> aLog,
                             StorageHooks aHooks,
                             std::function<void(const Error&)> aFailed)
  : io(aIo)
  , log(std::move(aLog))
  , hooks(std::move(aHooks))
  , failed(std::move(aFailed))
{
  if (this->log) {
    this->thread = std::thread([this] { this->RunLoop(); });
  }
}

StorageThread::~StorageThread()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->queueChanged.notify_one();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
StorageThread::Enqueue(agreement::Persist aPersist)
{
  this->Add(std::move(aPersist));
}

void
StorageThread::Enqueue(SnapshotWork aSnapshot)
{
  this->Add(std::move(aSnapshot));
}

void
StorageThread::Add(Work aWork)
{
  if (!this->log) {
    this->Report(std::move(aWork));
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->queue.push_back(std::move(aWork));
  }
  this->queueChanged.notify_one();
}

void
StorageThread::RunLoop()
{
  bool succeeded = true;
  while (succeeded) {
    std::vector<Work> batch;
    {
      std::unique_lock lock(this->mutex);
      const auto hasWork = [this] {
        return this->stopping || !this->queue.empty();
      };
      if (this->refusedSnapshot) {
        this->queueChanged.wait_for(lock, kSnapshotRetryInterval, hasWork);
      } else {
        this->queueChanged.wait(lock, hasWork);
      }
      if (this->queue.empty() && this->stopping) {
        return;
      }
      batch.swap(this->queue);
    }
    succeeded =
      this->WriteBatch(std::move(batch)) && this->SaveRefusedSnapshot();
  }
}

bool
StorageThread::WaitBeforeRetry()
{
  std::unique_lock lock(this->mutex);
  return !this->queueChanged.wait_for(
    lock, kRetryInterval, [this] { return this->stopping; });
}

bool
StorageThread::WriteBatch(std::vector<Work> aBatch)
{
  std::vector<agreement::Persist> run;
  for (Work& work : aBatch) {
    if (auto* persist = std::get_if<agreement::Persist>(&work)) {
      run.push_back(std::move(*persist));
      continue;
    }
    if (!this->WriteRun(run) ||
        !this->Save(std::move(std::get<SnapshotWork>(work)))) {
      return false;
    }
  }
  return this->WriteRun(run);
}

bool
StorageThread::WriteRun(std::vector<agreement::Persist>& aRun)
{
  if (aRun.empty()) {
    return true;
  }
  Time start = MonotonicNow();
  Result<void> result = this->log->Write(aRun);
  if (IsRefusal(result)) {
    asio::post(this->io,
               [this, error = result.error()] { this->hooks.refused(error); });
    while (IsRefusal(result)) {
      if (!this->WaitBeforeRetry()) {
        return false; // nobody was told that the work is written
      }
      start = MonotonicNow();
      result = this->log->Write(aRun);
    }
    if (result) {
      asio::post(this->io, [this] { this->hooks.accepted(); });
    }
  }
  if (!result) {
    this->failed(result.error());
    return false;
  }
  const Duration elapsed = MonotonicNow() - start;
  asio::post(this->io, [this, elapsed] { this->hooks.synced(elapsed); });
  for (agreement::Persist& persist : aRun) {
    this->Report(std::move(persist));
  }
  aRun.clear();
  return true;
}

bool
StorageThread::Save(SnapshotWork aSnapshot)
{
  const auto result = this->log->SaveSnapshot(aSnapshot.meta, aSnapshot.bytes);
  if (IsRefusal(result)) {
    asio::post(this->io, [this, error = result.error()] {
      this->hooks.snapshotRefused(error);
    });
    this->refusedSnapshot = std::move(aSnapshot);
    this->nextSnapshotAttempt = MonotonicNow() + kSnapshotRetryInterval;
    return true;
  }
  if (!result) {
    this->failed(result.error());
    return false;
  }
  this->Report(std::move(aSnapshot));
  return true;
}

bool
StorageThread::SaveRefusedSnapshot()
{
  if (!this->refusedSnapshot || MonotonicNow() < this->nextSnapshotAttempt) {
    return true;
  }
  SnapshotWork snapshot = std::move(*this->refusedSnapshot);
  this->refusedSnapshot.reset();
  return this->Save(std::move(snapshot));
}

void
StorageThread::Report(Work aWork)
{
  if (const auto* persist = std::get_if<agreement::Persist>(&aWork)) {
    asio::post(this->io, [this, sequence = persist->sequence] {
      this->hooks.written(sequence);
    });
    return;
  }
  asio::post(this->io,
             [this, snapshot = std::move(std::get<SnapshotWork>(aWork))] {
               this->hooks.saved(snapshot);
             });
}

} // namespace hyssoppaddle::shell
