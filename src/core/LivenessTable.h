// The leader's view of which entry instance hears which upstream. It decides
// when a silent upstream is marked in the log.
#ifndef hyssoppaddle_core_LivenessTable_h
#define hyssoppaddle_core_LivenessTable_h

#include "base/Time.h"
#include "state/Commands.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppaddle::core {

class LivenessTable
{
public:
  // Starts anew: called when this instance becomes leader. Every upstream in
  // aExpected that no entry instance reports within kStartGrace is suspected.
  void Start(const std::vector<state::Announcement>& aExpected, Time aNow);
  void Clear();

  // Takes one item of an UpstreamLivenessBatch message. Returns true when the
  // upstream is newly suspected and the entry instances have to be asked.
  bool Report(const InstanceId& aEntry,
              const wire::UpstreamLiveness& aHeard,
              Time aNow);

  // Suspects all upstreams that only aEntry was hearing; called when that entry
  // instance stops renewing.
  std::vector<wire::UpstreamLiveness> SuspectAllOf(const InstanceId& aEntry,
                                                   Time aNow);

  // An upstream that was accepted through the log with this announcement.
  void Accept(const state::Announcement& aAnnouncement);

  // Upstreams that may be gone: suspected and not yet heard again.
  [[nodiscard]] std::vector<InstanceId> Suspects() const;

  // Takes the upstreams whose grace period ended without a later announcement.
  std::vector<state::MarkUpstreamSilent> TakeSilent(Time aNow);

private:
  struct Known
  {
    InstanceId entry; // that heard it last; empty before the first report
    std::string boot;
    std::uint64_t sequence = 0;
    bool suspected = false;
    Time suspectedUntil;
  };

  std::map<InstanceId, Known> known;
  // Upstreams with `suspected`, ordered by the end of their grace period.
  std::set<std::pair<Time, InstanceId>> suspects;
  // Upstreams by the entry instance that hears them.
  std::map<InstanceId, std::set<InstanceId>> byEntry;

  void Suspect(const InstanceId& aInstance, Known& aKnown, Time aUntil);
  void ClearSuspicion(const InstanceId& aInstance, Known& aKnown);
  void SetEntry(const InstanceId& aInstance,
                Known& aKnown,
                const InstanceId& aEntry);
};

} // namespace hyssoppaddle::core

#endif
