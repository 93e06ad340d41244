// Adapts storage::LogStore to the DurableLog interface.
#include "shell/DurableLog.h"

#include "config/Settings.h"
#include "shell/JsonLog.h"
#include "storage/FileLayer.h"
#include "storage/LogStore.h"

#include <nlohmann/json.hpp>

namespace hyssoppaddle::shell {

namespace {

class StoredLog final : public DurableLog
{
public:
  explicit StoredLog(storage::LogStore aStore)
    : store(std::move(aStore))
  {
  }

  agreement::RecoveredLog TakeRecovered() override
  {
    return this->store.TakeRecovered();
  }

  Result<void> Write(std::span<const agreement::Persist> aBatch) override
  {
    return this->store.Write(aBatch);
  }

  Result<void> SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                            std::string_view aBytes) override
  {
    return this->store.SaveSnapshot(aMeta, aBytes);
  }

private:
  storage::LogStore store;
};

} // namespace

Result<std::unique_ptr<DurableLog>>
OpenDurableLog(const config::Settings& aSettings)
{
  return OpenLogFolder(aSettings.dataFolder,
                       aSettings.cluster,
                       aSettings.instance,
                       [](std::uint64_t aBytes) {
                         Log(LogLevel::Warning,
                             "torn_log_tail_truncated",
                             { { "bytes", aBytes } });
                       });
}

Result<std::unique_ptr<DurableLog>>
OpenLogFolder(std::string_view aFolder,
              std::string_view aCluster,
              const InstanceId& aOwner,
              const TornTailHook& aTorn)
{
  auto files = storage::OpenPosixFolder(aFolder);
  if (!files) {
    return tl::unexpected<Error>(files.error());
  }
  storage::LogStoreOptions options;
  options.cluster = aCluster;
  options.owner = aOwner;
  auto store = storage::LogStore::Open(std::move(*files), options);
  if (!store) {
    return tl::unexpected<Error>(store.error());
  }
  if (store->TornBytes() > 0) {
    aTorn(store->TornBytes());
  }
  return std::make_unique<StoredLog>(std::move(*store));
}

} // namespace hyssoppaddle::shell
