// What the leader knows of one boot of an upstream for the time it leads: its
// lease, the runs that may be executing there and how it has behaved.
#ifndef hyssoppaddle_dispatch_UpstreamSession_h
#define hyssoppaddle_dispatch_UpstreamSession_h

#include "dispatch/LeaseClock.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hyssoppaddle::dispatch {

enum class RunPhase : std::uint8_t
{
  Proposed,   // proposed, not yet on record
  Ordered,    // the start has left, its answer has not come
  Confirmed,  // accepted, or seen running
  Unanswered, // the start got no answer: it may still be carried out
};

// The pace of a filling task whose last order got no answer: above all paces,
// so that the next look orders one again.
inline constexpr std::uint32_t kUnknownPacePercent = 101;

struct LiveRun
{
  work::Run run;
  WorkspaceId workspace;
  state::Resources size; // what it takes of the upstream's capacity
  RunPhase phase = RunPhase::Proposed;
  Time phaseSince{}; // of the phase
  bool longRunning = false;
  bool fills = false;
  bool stopping = false; // a stop has been decided
  bool stopInFlight = false;
  bool lossProposed = false;
  std::optional<Time> stopConfirmed; // the upstream accepted the stop
  Time stopSentAt{};
  std::uint32_t percent = 0;     // of its work, as last reported
  Time progressAt{};             // when that last rose
  std::uint32_t paceAsked = 100; // percent, or kUnknownPace
  std::optional<std::int64_t> load;
  std::string checkpoint; // the newest reported
};

using RunKey = std::pair<work::TaskRef, std::uint32_t>;

struct UpstreamSession
{
  UpstreamSession(const work::Upstream& aRecord, Time aLeaseFloor, Time aNow)
    : record(aRecord)
    , clock(aLeaseFloor)
    , lastHeard(aNow)
    , lastAnnounced(aNow)
  {
  }

  work::Upstream record;
  LeaseClock clock;
  Time lastHeard;              // last answer
  Time lastAnnounced;          // last announcement
  std::uint64_t sequence = 0;  // of the announcements of this boot
  bool fenceConfirmed = false; // it has answered under the fence of this leader

  std::uint64_t lastRecordedEnd = 0;  // ends on record up to here
  std::uint64_t lastListedEnd = 0;    // highest end that a list has named
  std::set<RunKey> endsBeingRecorded; // listed ends that are not yet on record
  std::uint64_t lastAcknowledgedEnd = 0; // as last told
  std::uint64_t renewToken = 0;          // 0: none under way
  Time renewSentAt{};
  Time nextRenewAt{};
  std::uint32_t unanswered = 0; // renewals in a row

  state::Resources used; // by all live runs that do not fill
  std::map<RunKey, LiveRun> runs;

  Time avoidUntil{};                     // no new starts before
  std::uint32_t consecutiveFailures = 0; // in a row, without a success between
  std::optional<Time> leavesBy;          // while draining
  bool hasMixedLoad = false; // filling tasks run beside serving ones
  Time paceCheckedAt{};
  Time evacuatingSince{};
  Time nextOrderAt{};
  bool evacuating = false; // emptied for, or ordered into, maintenance

  // Lets the upstream forget its ends once all listed ones are on record.
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
