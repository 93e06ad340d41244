// Commands of the replicated state of stepped jobs. One log entry is one Batch,
// stamped by the leader.
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
  bool operator==(const SubmitJob&) const = default;
};

struct CancelJob
{
  JobId id;
  bool operator==(const CancelJob&) const = default;
};

// Decides runs before any order leaves, so that a later leader knows where each
// task may be executing.
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
  NotStarted, // refused, or surely never executed
  Lost,       // with its upstream
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

// The upstream is gone: everything on it has ended.
struct RemoveUpstream
{
  InstanceId id;
  // That boot has surely ended, so a delayed announcement must not bring it
  // back. False when it was only silent for long.
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

// Precedes every order to the owner of the instances, so that the next leader
// knows which instances were ordered lately, and by whom.
struct OrderInstance
{
  std::string instance;
  InstanceId holder;       // the leader that orders
  std::uint64_t fence = 0; // its term
  bool operator==(const OrderInstance&) const = default;
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
                             OrderInstance>;

struct Batch
{
  WallTime stamp{};
  std::vector<Command> commands;
  bool operator==(const Batch&) const = default;
};

enum class Verdict : std::uint8_t
{
  Done,     // carried out, or already so
  Conflict, // contradicts what is recorded
  NotFound, // names nothing known
  Outdated, // a newer one is in force
};

} // namespace hyssoppaddle::work

#endif
