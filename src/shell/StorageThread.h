// The one thread that writes and syncs. Everything queued while a sync runs is
// written with the next one.
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

// Called on the Asio thread, in the order of the work.
struct StorageHooks
{
  std::function<void(std::uint64_t aSequence)> written;
  std::function<void(SnapshotWork)> saved;
  std::function<void(Duration)> synced; // time of one batch
};

class StorageThread
{
public:
  // Without a log everything counts as durable at once. aFailed is called on
  // the storage thread after an error and must not return to more work.
  StorageThread(asio::io_context& aIo,
                std::unique_ptr<DurableLog> aLog,
                StorageHooks aHooks,
                std::function<void(const Error&)> aFailed);
  // Finishes what is queued.
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Enqueue(agreement::Persist aPersist);
  void Enqueue(SnapshotWork aSnapshot);

private:
  using Work = std::variant<agreement::Persist, SnapshotWork>;

  void Add(Work aWork);
  void Loop();
  bool Carry(std::vector<Work> aBatch);
  bool WriteRun(std::vector<agreement::Persist>& aRun);
  bool Save(SnapshotWork aSnapshot);
  void Report(Work aWork);

  asio::io_context& io;
  std::unique_ptr<DurableLog> log;
  StorageHooks hooks;
  std::function<void(const Error&)> failed;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Work> queue; // guarded by mutex
  bool stopping = false;   // guarded by mutex
  std::thread thread;
};

} // namespace hyssoppaddle::shell

#endif
