// Interface of the log that the storage thread writes: the log store in the
// data folder, or a fake in tests.
#ifndef hyssoppaddle_shell_DurableLog_h
#define hyssoppaddle_shell_DurableLog_h

#include "agreement/Events.h"
#include "agreement/Raft.h"
#include "base/Result.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace hyssoppaddle::config {
struct Settings;
}

namespace hyssoppaddle::shell {

class DurableLog
{
public:
  virtual ~DurableLog() = default;
  virtual agreement::RecoveredLog TakeRecovered() = 0;
  // Writes all entries of aBatch with one sync.
  virtual Result<void> Write(std::span<const agreement::Persist> aBatch) = 0;
  virtual Result<void> SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                                    std::string_view aBytes) = 0;
};

using LogOpener =
  std::function<Result<std::unique_ptr<DurableLog>>(const config::Settings&)>;

// Opens the log store in the data folder of aSettings.
Result<std::unique_ptr<DurableLog>>
OpenDurableLog(const config::Settings& aSettings);

// Called with the number of bytes of an incomplete last write that were
// truncated.
using TornTailHook = std::function<void(std::uint64_t aBytes)>;

// Opens the log store in aFolder, which belongs to instance aOwner of cluster
// aCluster.
Result<std::unique_ptr<DurableLog>>
OpenLogFolder(std::string_view aFolder,
              std::string_view aCluster,
              const InstanceId& aOwner,
              const TornTailHook& aTorn);

} // namespace hyssoppaddle::shell

#endif
