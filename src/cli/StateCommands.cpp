// state verify and state export: read the data folder of a stopped daemon.
#include "cli/CommandLine.h"
#include "cli/StateJson.h"
#include "cli/Subcommands.h"
#include "state/FleetState.h"
#include "storage/FileLayer.h"
#include "storage/LogStore.h"
#include "wire/Codec.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <iostream>
#include <memory>

namespace hyssoppaddle::cli {

namespace {

Result<std::unique_ptr<storage::FileLayer>>
OpenExistingFolder(const std::string& aFolder)
{
  if (!std::filesystem::is_directory(aFolder)) {
    return Fail(ErrorCode::NotFound, aFolder + " is not a folder");
  }
  return storage::OpenPosixFolder(aFolder);
}

} // namespace

int
VerifyState(Arguments aArguments)
{
  CommandLine line("state verify", "FOLDER", "Verify a data folder");
  line.AddFlag("json", "Print the report as JSON");
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  auto files = OpenExistingFolder(line.Positional()[0]);
  if (!files) {
    std::cerr << "hyssoppaddle: " << files.error().message << '\n';
    return ExitCode::Usage;
  }
  const storage::VerifyReport report = storage::Verify(**files);
  const nlohmann::json body{ { "sound", report.sound },
                             { "entries", report.entries },
                             { "snapshot_index", report.snapshotIndex },
                             { "last_index", report.lastIndex },
                             { "torn_bytes", report.tornBytes },
                             { "problem", report.problem } };
  if (line.Flag("json")) {
    std::cout << body.dump(2) << '\n';
  } else {
    for (const auto& [name, value] : body.items()) {
      std::cout << name << ": " << value << '\n';
    }
  }
  return report.sound ? ExitCode::Done : ExitCode::Refused;
}

int
ExportState(Arguments aArguments)
{
  CommandLine line("state export",
                   "FOLDER",
                   "Print the state of a stopped instance as JSON. Entries "
                   "after the snapshot are applied as if committed.");
  line.AddText("cluster", "Name of the cluster that owns the folder");
  line.AddText("instance", "Name of the instance that owns the folder");
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  auto files = OpenExistingFolder(line.Positional()[0]);
  if (!files) {
    std::cerr << "hyssoppaddle: " << files.error().message << '\n';
    return ExitCode::Usage;
  }
  storage::LogStoreOptions options;
  options.cluster = line.Text("cluster");
  options.owner = InstanceId(line.Text("instance"));
  auto store = storage::LogStore::Open(std::move(*files), options);
  if (!store) {
    std::cerr << "hyssoppaddle: " << store.error().message << '\n';
    return ExitCode::Refused;
  }
  const agreement::RecoveredLog log = store->TakeRecovered();
  state::FleetState state;
  if (log.snapshotMeta.index > 0 && !state.Restore(log.snapshotBytes)) {
    std::cerr << "hyssoppaddle: the snapshot cannot be read\n";
    return ExitCode::Refused;
  }
  for (const agreement::LogEntry& entry : log.entries) {
    if (entry.kind == agreement::EntryKind::Command) {
      if (const auto command = wire::DecodeCommand(entry.payload)) {
        state.Apply(*command);
      }
    }
  }
  std::cout << StateJson(state).dump(2) << '\n';
  return ExitCode::Done;
}

} // namespace hyssoppaddle::cli
