// Fuzzes the restoration of snapshots. A restored state must accept commands,
// and a snapshot of it must restore to a state with the same snapshot.
#include "state/FleetState.h"

#include <cstdlib>

namespace {

using namespace hyssoppaddle;
using namespace hyssoppaddle::state;

void
ApplyCommandsToAllRecords(FleetState& aState)
{
  Command command;
  command.at = aState.Now() + Duration(30LL * 3600 * 1000000);
  const auto apply = [&](CommandBody aBody) {
    command.body = std::move(aBody);
    aState.Apply(command);
  };
  const auto members = aState.Members();
  const auto jobs = aState.Jobs();
  const auto upstreams = aState.Upstreams();
  const auto instances = aState.Instances();
  const auto entries = aState.Entries();
  for (const auto& [name, record] : jobs) {
    apply(EndTask{ name, record.epoch, TaskState::Unknown, "" });
    apply(CancelJobs{ record.team, { name } });
  }
  for (const auto& [name, record] : upstreams) {
    apply(MarkUpstreamSilent{ name, record.announcement.boot, ~0ULL });
  }
  for (const auto& [name, record] : instances) {
    apply(SetInstancePhase{
      name, record.phase, InstancePhase::Stopped, StopPurpose::None, "" });
  }
  for (const auto& [name, record] : entries) {
    apply(RegisterEntry{ name, "another boot" });
  }
  for (const auto& [name, record] : members) {
    apply(LeaveMember{ name });
  }
  command.at += Duration(30LL * 3600 * 1000000);
  apply(ProposeMember{ MemberId("m") });
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  FleetState state;
  if (!state.Restore(bytes).has_value()) {
    return 0;
  }
  const std::string snapshot = state.Snapshot();
  FleetState copy;
  if (!copy.Restore(snapshot).has_value() || copy.Snapshot() != snapshot) {
    std::abort();
  }
  ApplyCommandsToAllRecords(state);
  return 0;
}
