// Batches the work: consecutive writes share one sync, and snapshots are saved
// in order between them.
#include "shell/StorageThread.h"

#include "shell/Clock.h"

namespace hyssoppaddle::shell {

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
      this->queueChanged.wait(
        lock, [this] { return this->stopping || !this->queue.empty(); });
      if (this->queue.empty()) {
        return;
      }
      batch.swap(this->queue);
    }
    succeeded = this->WriteBatch(std::move(batch));
  }
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
  const Time start = MonotonicNow();
  const auto result = this->log->Write(aRun);
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
  if (!result) {
    this->failed(result.error());
    return false;
  }
  this->Report(std::move(aSnapshot));
  return true;
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
