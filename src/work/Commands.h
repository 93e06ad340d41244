// Commands of the replicated state machine for jobs that consist of steps. Each
// log entry holds one Batch, which the leader stamps with its wall time.
#ifndef hyssoppaddle_work_Commands_h
#define hyssoppaddle_work_Commands_h

#include "work/Job.h"
#include "work/Upstream.h"
#include "work/Wave.h"

#include <variant>

namespace hyssoppaddle::work {

struct SetSetup
{
  Setup setup;
  bool operator==(const SetSetup&) const = default;
};

struct SubmitJob
{
  JobId id;
  QueueId queue;
  WorkspaceId workspace;
  JobSpec spec;
  // Empty when it was written by a version that did not record it.
  QueueAddress queueAddress;
  bool operator==(const SubmitJob&) const = default;
};

// An unknown job stays cancelled when its submission arrives later: calls of
// one caller can reach the leader through several nodes and in any order.
struct CancelJob
{
  JobId id;
  bool operator==(const CancelJob&) const = default;
};

// Records a run before the order to start it is sent, so that a later leader
// knows every upstream on which the task may be executing.
struct StartRun
{
  TaskRef task;
  Run run;
  bool operator==(const StartRun&) const = default;
};

enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed,
  Broken,
  Alone,
  NotStarted, // refused by the upstream, or known never to have executed
  Lost,       // lost together with its upstream
};

struct EndRun
{
  TaskRef task;
  std::uint32_t run = 0;
  InstanceId upstream;
  EndKind kind = EndKind::Lost;
  std::string checkpoint;
  bool operator==(const EndRun&) const = default;
};

struct SetUpstream
{
  InstanceId id;
  Upstream upstream;
  bool operator==(const SetUpstream&) const = default;
};

// The upstream has left or was lost: every run on it has ended.
struct RemoveUpstream
{
  InstanceId id;
  // True when this boot is known to have ended, so that a delayed announcement
  // must not register it again. False when the upstream was only silent for a
  // long time.
  bool ended = false;
  bool operator==(const RemoveUpstream&) const = default;
};

struct StartWave
{
  std::uint64_t number = 0;
  Wave wave;
  bool operator==(const StartWave&) const = default;
};

struct AdvanceWave
{
  std::uint64_t number = 0;
  std::string instance;
  bool removed = false;
  bool operator==(const AdvanceWave&) const = default;
};

// Recorded before each order to the owner of the instances, so that the next
// leader knows which instances were ordered recently and by which leader.
struct OrderInstance
{
  std::string instance;
  InstanceId holder;       // the leader that sends the order
  std::uint64_t fence = 0; // term of that leader
  bool operator==(const OrderInstance&) const = default;
};

// Orders that no run is started in a data centre, or withdraws that order.
struct SetEvacuation
{
  DataCentreId dataCentre;
  bool requested = false; // false: withdrawn
  std::string by;         // who asked, as stated by the caller
  bool operator==(const SetEvacuation&) const = default;
};

using Command = std::variant<SetSetup,
                             SubmitJob,
                             CancelJob,
                             StartRun,
                             EndRun,
                             SetUpstream,
                             RemoveUpstream,
                             StartWave,
                             AdvanceWave,
                             OrderInstance,
                             SetEvacuation>;

struct Batch
{
  WallTime stamp{};
  std::vector<Command> commands;
  bool operator==(const Batch&) const = default;
};

enum class Verdict : std::uint8_t
{
  Done,     // applied, or already in effect
  Conflict, // contradicts the recorded state
  NotFound, // refers to an unknown object
  Full,     // no room to record it; nothing has changed
  Outdated, // a newer version or boot is already recorded
};

} // namespace hyssoppaddle::work

#endif
