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
};

class StorageThread
{
public:
  // Without a log, all work is reported as durable immediately. aFailed is
  // called on the storage thread after an error; no further work is done after
  // it.
  StorageThread(asio::io_context& aIo,
                std::unique_ptr<DurableLog> aLog,
                StorageHooks aHooks,
                std::function<void(const Error&)> aFailed);
  // Completes the queued work.
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
  void Report(Work aWork);

  asio::io_context& io;
  std::unique_ptr<DurableLog> log;
  StorageHooks hooks;
  std::function<void(const Error&)> failed;
  std::mutex mutex;
  std::condition_variable queueChanged;
  std::vector<Work> queue; // guarded by mutex
  bool stopping = false;   // guarded by mutex
  std::thread thread;
};

} // namespace hyssoppaddle::shell

#endif
