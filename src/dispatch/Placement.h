// Choice of the upstream for a task.
//
// Load pattern: steps with many tasks of different sizes on a pool that is
// nearly full. Best fit, the fullest upstream with room for the task, keeps
// whole upstreams free for large tasks. The rack that holds the data takes
// precedence, because work elsewhere takes several times as long.
#ifndef hyssoppaddle_dispatch_Placement_h
#define hyssoppaddle_dispatch_Placement_h

#include "dispatch/UpstreamSession.h"

#include <array>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace hyssoppaddle::dispatch {

class Interference;

using Sessions = std::map<InstanceId, UpstreamSession>;

// An upstream that may receive starts.
struct Candidate
{
  const InstanceId* id = nullptr;
  UpstreamSession* session = nullptr;
};

struct PlacementQuery
{
  const work::Step* step = nullptr;
  work::TaskRef task;
  std::string rack; // where all tasks of the step should run; may be empty
  InstanceId avoid; // upstream of the task's last failure
  // Runs of the task that may be executing, when a second one is placed.
  std::span<const work::Run> runs;
  std::string kind; // see KindOf
  // Kinds that should not share an upstream; may be null.
  const Interference* interference = nullptr;
  // Whether there is a ticket to run the step on the upstream; null where the
  // queue needs no advice.
  std::function<bool(const InstanceId&)> hasTicket;
};

// Why an upstream that may receive starts is not suitable for a task.
enum class Refusal : std::uint8_t
{
  None,
  Cores,
  Memory,
  Accelerators,
  Label,
  StepLimit, // runs as many tasks of the step as it allows on one upstream
  Ticket,
  Slow, // takes one task at a time, and has one
};
using RefusalCounts = std::array<std::size_t, 8>; // by Refusal

// True when the upstream may receive starts at all.
bool
IsUsable(const UpstreamSession& aSession, Time aNow);

// The usable upstreams of a service, in the order of their names. The pointers
// are valid until aSessions changes.
std::vector<Candidate>
FindCandidates(Sessions& aSessions, const ServiceId& aService, Time aNow);

bool
HasLabel(const work::Upstream& aRecord, const std::string& aLabel);

// Number of tasks of the step of aTask that run on the upstream.
std::uint32_t
CountOfStep(const UpstreamSession& aSession, const work::TaskRef& aTask);

// Whether the upstream takes the task now.
bool
Accepts(const Candidate& aCandidate, const PlacementQuery& aQuery);

// Number of tasks of the step of aQuery that the upstream takes now, at most
// aMost.
std::uint32_t
CountRoom(const Candidate& aCandidate,
          const PlacementQuery& aQuery,
          std::uint32_t aMost);

// What a task of the step takes of an upstream's free resources. Best-effort
// tasks receive the cores that others leave unused.
state::Resources
SizeInRoom(const work::Step& aStep);

// True when an upstream takes the task that no wave will maintain.
bool
HasLastingRoom(std::span<const Candidate> aCandidates,
               const PlacementQuery& aQuery);

// Returns the best upstream, or null when none is suitable. It stays the best
// for further tasks of the step for as long as it accepts them.
const Candidate*
ChooseUpstream(std::span<const Candidate> aCandidates,
               const PlacementQuery& aQuery);

// Counts the candidates by the reason why they are not suitable.
RefusalCounts
CountRefusals(std::span<const Candidate> aCandidates,
              const PlacementQuery& aQuery);

} // namespace hyssoppaddle::dispatch

#endif
