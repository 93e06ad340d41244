// Limits how many starts the leader has underway at once.
//
// Each start costs the leader a proposal, an order, an answer and later an end.
// Where there are free cores for more starts than it can carry out, its events
// wait for one another, so that each step of each job takes longer and jobs
// that would be in time are late. What the leader cannot carry out soon waits
// instead among the jobs, where the next start is always the one ranked first.
#ifndef hyssoppaddle_dispatch_StartWindow_h
#define hyssoppaddle_dispatch_StartWindow_h

#include "dispatch/Options.h"

#include <cstddef>
#include <limits>

namespace hyssoppaddle::dispatch {

class StartWindow
{
public:
  // aDelay is the time for which an event that was due has waited for the
  // leader. Returns true at the end of an interval, when Adapt is to be called.
  [[nodiscard]] bool Observe(Duration aDelay, Time aNow);
  // Adapts the limit to the delays of the last interval. aUnderway is the
  // number of starts underway. With the number of upstreams grows the other
  // work of the leader, which delays events whatever the limit is, and so does
  // the lowest limit.
  void Adapt(std::size_t aUnderway, std::size_t aUpstreams);

  [[nodiscard]] bool IsLimited() const { return this->limit != kUnlimited; }
  // False until a good part of the limit is free, so that the starts of one
  // pass over the waiting jobs are many.
  [[nodiscard]] bool IsOpen(std::size_t aUnderway) const;
  // Number of starts that may be added.
  [[nodiscard]] std::size_t Room(std::size_t aUnderway) const;
  // Zero without a limit.
  [[nodiscard]] std::size_t Limit() const
  {
    return this->IsLimited() ? this->limit : 0;
  }

private:
  static constexpr std::size_t kUnlimited =
    std::numeric_limits<std::size_t>::max();

  std::size_t limit = kUnlimited;
  // A burst of events delays some of them for a moment. Only a leader that is
  // behind delays all, so the shortest delay of an interval counts.
  Duration shortestDelay = Duration::max();
  Time intervalEndsAt{};
};

} // namespace hyssoppaddle::dispatch

#endif
