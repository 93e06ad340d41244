// State that the leader keeps about one boot of an upstream while it leads: its
// lease, the runs that may be executing there, and its recent behaviour.
#ifndef hyssoppaddle_dispatch_UpstreamSession_h
#define hyssoppaddle_dispatch_UpstreamSession_h

#include "dispatch/EndEvidence.h"
#include "dispatch/LeaseClock.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hyssoppaddle::dispatch {

enum class RunPhase : std::uint8_t
{
  Proposed,   // proposed but not yet committed
  Ordered,    // start sent, not answered yet
  Confirmed,  // accepted, or listed as running
  Unanswered, // the start got no answer and may still be carried out
};

// Marks a best-effort task whose last pace order was not answered. It exceeds
// every valid pace, so the next check sends a pace again.
inline constexpr std::uint32_t kUnknownPacePercent = 101;

struct LiveRun
{
  work::Run run;
  WorkspaceId workspace;
  state::Resources size; // share of the upstream's capacity
  Time phaseSince{};     // start of the phase
  RunPhase phase = RunPhase::Proposed;
  bool longRunning = false;
  bool fills = false;
  bool stopping = false; // a stop was decided
  bool stopInFlight = false;
  bool lossProposed = false;
  // The recorded boot has listed it. Until then another boot may have carried
  // out the start.
  bool listed = false;
  EndEvidence endEvidence = EndEvidence::None;
  bool isGang = false;       // one of the members that run together
  bool mayRunTwice = false;  // a second run of the task may be added
  bool isSecond = false;     // another run of the task was recorded before it
  bool resumes = false;      // was started with a checkpoint
  std::uint32_t percent = 0; // progress, as last reported
  std::optional<Time> stopConfirmed; // when the upstream accepted the stop
  Time stopSentAt{};
  Time progressAt{}; // last change of the progress
  std::optional<std::int64_t> load;
  std::string checkpoint; // last one reported
  Time endProposedAt{};   // when the evidence was received
  std::string kind;       // see KindOf
  Duration declared{ 0 }; // estimate of the whole task
  Time listedAt{};        // last list that had it
  // Progress is measured from here: from its start, or from the first list that
  // had it where the start is not known.
  std::optional<Time> measuredSince;
  std::uint32_t percentAtStart = 0; // progress at that time
  std::uint32_t paceAsked = 100;    // percent, or kUnknownPacePercent
};

using RunKey = std::pair<work::TaskRef, std::uint32_t>;

struct UpstreamSession
{
  UpstreamSession(const work::Upstream& aRecord,
                  const LeaseClock& aClock,
                  Time aNow)
    : record(aRecord)
    , clock(aClock)
    , lastHeard(aNow)
    , lastAnnounced(aNow)
  {
  }

  work::Upstream record;
  LeaseClock clock;
  Time lastHeard;              // last answer
  Time lastAnnounced;          // last announcement
  std::uint64_t sequence = 0;  // of the last announcement of this boot
  bool fenceConfirmed = false; // has answered a renewal of this leader's term
  bool replacing = false;      // another boot is being recorded
  // First sign of another boot under its ID since the recorded one has
  // answered. It gets no new starts and no lease before an answer tells which
  // boot lives.
  std::optional<Time> otherBootSeenAt;

  std::uint64_t lastRecordedEnd = 0;  // ends up to here are recorded
  std::uint64_t lastListedEnd = 0;    // highest end number in a list
  std::set<RunKey> endsBeingRecorded; // listed ends that are not yet committed
  std::uint64_t lastAcknowledgedEnd = 0; // as last sent to it
  std::uint64_t renewToken = 0;          // 0: no renewal pending
  Time renewSentAt{};
  Time nextRenewAt{};
  std::uint32_t unanswered = 0; // requests in a row without an answer

  // Resources used by all runs; best-effort runs count only their memory.
  state::Resources used;
  state::Resources longRunningUse; // the same, of the long-running ones
  std::map<RunKey, LiveRun> runs;

  Time avoidUntil{}; // no new starts before this
  // Was not usable when its service was last planned.
  bool leftOutOfPlan = false;
  std::uint32_t consecutiveFailures = 0;
  std::optional<Time> leavesBy;   // expected departure while draining
  std::optional<Time> departedAt; // when its departure was announced
  Time paceCheckedAt{};
  Time evacuatingSince{};
  Time nextOrderAt{};
  Time coldUntil{};                // runs tasks slowly until then
  std::size_t endingRuns = 0;      // runs of tasks that end by themselves
  std::int64_t servingRuns = 0;    // runs of long-running tasks
  std::int64_t bestEffortRuns = 0; // the same, of best-effort tasks
  std::size_t fillingRuns = 0;     // all runs of best-effort tasks
  std::optional<Time> silentSince; // first review that found it unanswered
  bool hasMixedLoad = false;       // best-effort tasks run beside serving tasks
  // A wave will maintain its instance. Long-running tasks avoid it.
  bool maintenanceDue = false;
  // No new starts: it is ordered into maintenance or to another pool.
  bool evacuating = false;
  // No new starts: an operator has ordered so for its data centre.
  bool dataCentreEvacuating = false;
  // Takes several times as long as its peers. It gets one task that ends by
  // itself at a time, and only where no other upstream has room.
  bool isSlow = false;

  // Keeps the sums over the runs; aSign is 1 for a new run and -1 for one that
  // is removed.
  void CountRun(const LiveRun& aRun, int aSign)
  {
    state::Resources size = aRun.size;
    if (aRun.fills) {
      size = { 0, aRun.size.memoryMb, 0 };
    }
    const state::Resources longRunning =
      aRun.longRunning ? size : state::Resources{};
    if (aSign > 0) {
      this->used += size;
      this->longRunningUse += longRunning;
    } else {
      this->used -= size;
      this->longRunningUse -= longRunning;
    }
    this->fillingRuns += aRun.fills ? aSign : 0;
    if (!aRun.longRunning) {
      this->endingRuns += aSign;
    } else if (aRun.fills) {
      this->bestEffortRuns += aSign;
    } else {
      this->servingRuns += aSign;
    }
  }

  // Lets the upstream discard its ends once all listed ends are recorded.
  void AdvanceRecordedEnd()
  {
    if (this->endsBeingRecorded.empty()) {
      this->lastRecordedEnd = this->lastListedEnd;
    }
  }

  [[nodiscard]] state::Resources Free() const
  {
    state::Resources free = this->record.capacity;
    free -= this->used;
    return free;
  }
};

} // namespace hyssoppaddle::dispatch

#endif
