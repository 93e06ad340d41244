// The only thread that writes and syncs. Everything queued during a sync is
// written together before the next sync.
#ifndef hyssoppaddle_shell_StorageThread_h
#define hyssoppaddle_shell_StorageThread_h

#include "base/Time.h"
#include "shell/Asio.h"
#include "shell/DurableLog.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace hyssoppaddle::shell {

struct SnapshotWork
{
  agreement::SnapshotMeta meta;
  std::string bytes;
};

// Called on the Asio thread, in the order in which the work was queued.
struct StorageHooks
{
  std::function<void(std::uint64_t aSequence)> written;
  std::function<void(SnapshotWork)> saved;
  std::function<void(Duration)> synced; // duration of one batch
  // Work is refused for lack of space or descriptors. It is repeated until it
  // succeeds, and until `accepted` is called nothing is reported as written.
  std::function<void(const Error&)> refused = [](const Error&) {};
  std::function<void()> accepted = [] {};
  // A snapshot was refused. It is repeated from time to time and holds up no
  // writes.
  std::function<void(const Error&)> snapshotRefused = [](const Error&) {};
};

class StorageThread
{
public:
  // Without a log, all work is reported as durable immediately. aFailed is
  // called on the storage thread after an error other than a refusal; no
  // further work is done after it.
  StorageThread(asio::io_context& aIo,
                std::unique_ptr<DurableLog> aLog,
                StorageHooks aHooks,
                std::function<void(const Error&)> aFailed);
  // Completes the queued work, except what is refused.
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Enqueue(agreement::Persist aPersist);
  void Enqueue(SnapshotWork aSnapshot);

private:
  using Work = std::variant<agreement::Persist, SnapshotWork>;

  void Add(Work aWork);
  void RunLoop();
  bool WriteBatch(std::vector<Work> aBatch);
  bool WriteRun(std::vector<agreement::Persist>& aRun);
  bool Save(SnapshotWork aSnapshot);
  bool SaveRefusedSnapshot();
  // Returns false when the thread has to stop.
  bool WaitBeforeRetry();
  void Report(Work aWork);

  asio::io_context& io;
  std::unique_ptr<DurableLog> log;
  StorageHooks hooks;
  std::function<void(const Error&)> failed;
  std::mutex mutex;
  std::condition_variable queueChanged;
  std::vector<Work> queue; // guarded by mutex
  bool stopping = false;   // guarded by mutex
  // Used by the thread only. The latest snapshot that was refused, and the time
  // at which it is repeated.
  std::optional<SnapshotWork> refusedSnapshot;
  Time nextSnapshotAttempt{};
  std::thread thread;
};

} // namespace hyssoppaddle::shell

#endif
