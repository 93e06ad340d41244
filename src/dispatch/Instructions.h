// Calls of the dispatcher to upstreams, and their answers. How they are written
// on the wire is the business of a protocol adapter.
#ifndef hyssoppaddle_dispatch_Instructions_h
#define hyssoppaddle_dispatch_Instructions_h

#include "work/Commands.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::dispatch {

// Milliseconds of an upstream's own steady clock, which starts with its boot.
using UpstreamClock = std::int64_t;

struct Destination
{
  InstanceId upstream;
  std::string address;
  std::uint64_t fence = 0; // term of the leader; upstreams refuse a lower one
  bool operator==(const Destination&) const = default;
};

// Renews the lease of everything on the upstream and asks what runs and ended.
struct RenewLease
{
  std::uint64_t token = 0;
  Destination to;
  std::uint64_t lastSeen = 0; // ends up to here are on record
  std::optional<UpstreamClock> leaseUntil;
  Duration wait{ 0 }; // the answer waits for an end, at most this long
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
  std::string ticket; // empty where the queue needs no advice
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
  std::uint32_t percent = 0; // of its work; 100 for a longRunning task at work
  // Tail of the response times in ms for a serving task, the processors in use
  // for any other; absent when the upstream does not say.
  std::optional<std::int64_t> load;
};

struct EndedTask
{
  std::uint64_t number = 0; // rises with each end of one boot
  work::TaskRef task;
  std::uint32_t run = 0;
  work::EndKind kind = work::EndKind::Failed;
  std::string checkpoint;
};

struct LeaseAnswer
{
  std::uint64_t token = 0;
  InstanceId upstream;
  bool answered = false;  // false: no answer, or one that cannot be read
  bool wrongBoot = false; // another boot is at the address
  bool fenced = false;    // refused: the upstream knows a higher fence
  std::uint64_t boot = 0; // 0 when not stated
  std::optional<UpstreamClock> clock;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

enum class OrderResult : std::uint8_t
{
  Accepted,
  Fenced,     // a higher fence is known there
  Superseded, // an equal or higher run was stopped or ended there
  Expired,    // the lease is over on the upstream's clock
  NoCapacity,
  NoTicket,
  WrongBoot,
  Unhealthy, // refused without effect
  Invalid,
  NotSent,  // no byte has left: surely not carried out
  NoAnswer, // may have been carried out, or may yet be
};

struct OrderAnswer
{
  std::uint64_t token = 0;
  InstanceId upstream;
  OrderResult result = OrderResult::NoAnswer;
  std::optional<UpstreamClock> clock;
};

// Asks the advisor which of the upstreams may run a step.
struct AskAdvice
{
  std::uint64_t token = 0;
  work::TaskRef step; // its index is 0
  std::vector<InstanceId> upstreams;
  Duration timeLimit{ 0 };
};

struct AdviceAnswer
{
  std::uint64_t token = 0;
  bool answered = false;
  std::vector<std::pair<InstanceId, std::string>> tickets;
};

// Orders and questions to the owner of the instances.
struct ListInstances
{
  std::uint64_t token = 0;
  std::string page; // empty: the first
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
  InstanceId upstream; // empty when none runs
};

struct InstanceList
{
  std::uint64_t token = 0;
  bool answered = false;
  std::vector<InstanceRow> rows;
  std::string nextPage; // empty: the last
};

enum class InstanceResult : std::uint8_t
{
  Done, // or already done
  Busy,
  Refused, // fenced, not of the wave, or unknown
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
