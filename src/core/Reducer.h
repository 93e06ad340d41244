// The top-level reducer of a daemon. It dispatches every event to agreement,
// state, request and planner, and turns their effects into events for each
// other or into effects for the shell.
#ifndef hyssoppaddle_core_Reducer_h
#define hyssoppaddle_core_Reducer_h

#include "agreement/Raft.h"
#include "base/Time.h"
#include "core/Events.h"
#include "planner/Planner.h"
#include "request/RequestReducer.h"
#include "state/FleetState.h"

#include <memory>
#include <string>
#include <vector>

namespace hyssoppaddle::core {

struct ReducerOptions
{
  InstanceId self;
  DataCentreId dataCentre;
  std::string boot; // unique per process start
  std::uint64_t seed = 0;
  agreement::Configuration initial;
  agreement::RaftTimes raftTimes;
  agreement::RaftLimits raftLimits;
  // The reducer sets self, dataCentre, boot and seed of these options itself.
  request::RequestOptions request;
  planner::PlannerOptions planner;
  Duration renewInterval = std::chrono::seconds(1);
};

// Status of one entry instance, as the leader sees it.
struct EntryStatus
{
  InstanceId entry;
  bool voter = false;
  agreement::LogIndex appliedIndex = 0;
  std::uint64_t bundleVersion = 0;
  std::optional<Duration> timeSinceContact;
};

class Reducer
{
public:
  Reducer(ReducerOptions aOptions,
          const agreement::RecoveredLog& aRecovered,
          Time aNow,
          WallTime aWallNow);
  ~Reducer();
  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;

  Effects Reduce(const Event& aEvent, Time aNow, WallTime aWallNow);

  // Starts a graceful stop: refuses new requests, returns permits as they
  // become idle and transfers the leadership. The process may end once
  // IsDrained().
  Effects BeginStop(Time aNow, WallTime aWallNow);
  [[nodiscard]] bool IsDrained() const;

  [[nodiscard]] const state::FleetState& State() const;
  [[nodiscard]] const agreement::Raft& Log() const;
  [[nodiscard]] const request::RequestReducer& Requests() const;
  [[nodiscard]] const planner::Planner& Plans() const;
  [[nodiscard]] agreement::LogIndex AppliedIndex() const;
  // True when requests can be served: this boot is registered, the view of the
  // state is fresh and no stop has begun.
  [[nodiscard]] bool IsReady(Time aNow) const;
  // All entry instances of the active configuration; the contact data is
  // only valid on the leader.
  [[nodiscard]] std::vector<EntryStatus> Entries(Time aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::core

#endif
