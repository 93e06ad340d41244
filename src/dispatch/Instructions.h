// Requests of the dispatcher to upstreams, the advisor and the owner of the
// instances, and their answers. A protocol adapter defines their form on the
// wire.
#ifndef hyssoppaddle_dispatch_Instructions_h
#define hyssoppaddle_dispatch_Instructions_h

#include "work/Commands.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::dispatch {

// Milliseconds on an upstream's own steady clock, which starts with its boot.
using UpstreamClock = std::int64_t;

struct Destination
{
  InstanceId upstream;
  std::string address;
  // Fencing token: rises with the leader's term and the boots of the upstream.
  // Upstreams refuse lower ones.
  std::uint64_t fence = 0;
  bool operator==(const Destination&) const = default;
};

// Renews the lease of all runs on the upstream and asks which runs are active
// and which have ended.
struct RenewLease
{
  std::uint64_t token = 0;
  Destination to;
  // All ends up to this number are recorded; 0: nothing to acknowledge.
  std::uint64_t lastSeen = 0;
  std::optional<UpstreamClock> leaseUntil;
  Duration wait{ 0 }; // long poll: waits for an end at most this long
};

struct StartTask
{
  std::uint64_t token = 0;
  Destination to;
  work::TaskRef task;
  std::uint32_t run = 0;
  std::string payload;
  UpstreamClock leaseUntil = 0;
  std::string checkpoint;
  std::string ticket; // empty when the queue needs no advice
};

struct StopTask
{
  std::uint64_t token = 0;
  Destination to;
  work::TaskRef task;
  std::uint32_t run = 0;
};

struct PaceTask
{
  std::uint64_t token = 0;
  Destination to;
  work::TaskRef task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

struct RunningTask
{
  work::TaskRef task;
  std::uint32_t run = 0;
  std::string checkpoint;
  // Progress; 100 for a long-running task that is ready.
  std::uint32_t percent = 0;
  // For a serving task the tail latency in milliseconds, for other tasks the
  // CPU in use; absent when the upstream does not report it.
  std::optional<std::int64_t> load;
};

struct EndedTask
{
  std::uint64_t number = 0; // increases with each end within one boot
  work::TaskRef task;
  std::uint32_t run = 0;
  work::EndKind kind = work::EndKind::Failed;
  std::string checkpoint;
};

struct LeaseAnswer
{
  std::uint64_t token = 0;
  InstanceId upstream;
  bool answered = false;  // false: no answer, or an invalid one
  bool wrongBoot = false; // a different boot uses the address
  bool fenced = false;    // refused: the upstream has seen a higher fence
  std::uint64_t boot = 0; // 0 when not stated
  std::optional<UpstreamClock> clock;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  std::size_t unreadableRows = 0; // rows of both lists that were left out
  std::size_t unreadableEnds = 0; // those of the list of ends
};

enum class OrderResult : std::uint8_t
{
  Accepted,
  Fenced,     // the upstream has seen a higher fence
  Superseded, // an equal or later run of the task was stopped or ended there
  Expired,    // the lease has expired on the upstream's clock
  NoCapacity,
  NoTicket,
  WrongBoot,
  Unhealthy, // refused without effect
  Invalid,
  NotSent,  // no byte was sent, so it was certainly not carried out
  NoAnswer, // may have been carried out, or may still be
};

struct OrderAnswer
{
  std::uint64_t token = 0;
  InstanceId upstream;
  OrderResult result = OrderResult::NoAnswer;
  std::optional<UpstreamClock> clock;
};

// Asks the advisor which of the given upstreams may run a step.
struct AskAdvice
{
  std::uint64_t token = 0;
  work::TaskRef step; // with index 0
  std::vector<InstanceId> upstreams;
  Duration timeLimit{ 0 };
};

struct AdviceAnswer
{
  std::uint64_t token = 0;
  bool answered = false;
  std::vector<std::pair<InstanceId, std::string>> tickets;
};

// Requests to the owner of the instances.
struct ListInstances
{
  std::uint64_t token = 0;
  std::string page; // token of the page; empty: the first
};

struct MaintainInstance
{
  std::uint64_t token = 0;
  std::string instance;
  std::uint64_t wave = 0;
  std::uint64_t fence = 0;
};

struct MoveInstance
{
  std::uint64_t token = 0;
  std::string instance;
  ServiceId pool;
  std::uint64_t fence = 0;
};

enum class InstancePhase : std::uint8_t
{
  Up,
  Moving,
  Maintenance,
  Down,
};

struct InstanceRow
{
  std::string instance;
  ServiceId pool;
  InstancePhase phase = InstancePhase::Down;
  std::vector<std::string> labels;
  state::Resources capacity;
  DataCentreId dataCentre; // empty when it is not stated
  InstanceId upstream;     // empty when none runs on it
};

struct InstanceList
{
  std::uint64_t token = 0;
  bool answered = false;
  std::vector<InstanceRow> rows;
  std::string nextPage; // empty: this was the last page
};

enum class InstanceResult : std::uint8_t
{
  Done, // or already done
  Busy,
  Refused, // fenced, not part of the wave, or unknown
  Throttled,
  NoAnswer,
};

struct InstanceAnswer
{
  std::uint64_t token = 0;
  InstanceResult result = InstanceResult::NoAnswer;
};

using Instruction = std::variant<RenewLease,
                                 StartTask,
                                 StopTask,
                                 PaceTask,
                                 AskAdvice,
                                 ListInstances,
                                 MaintainInstance,
                                 MoveInstance>;

using Answer = std::
  variant<LeaseAnswer, OrderAnswer, AdviceAnswer, InstanceList, InstanceAnswer>;

} // namespace hyssoppaddle::dispatch

#endif
