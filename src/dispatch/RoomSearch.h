// Finds how many empty instances the waiting tasks of a service need beyond the
// upstreams that it has.
//
// Load pattern: a queue at rest with a few long-running tasks. Its pool has
// many free cores in total, but each upstream runs as many tasks of the step as
// it may, or has no memory left. Tasks that end by themselves make room for the
// others; long-running tasks do not, so the pool needs another instance.
#ifndef hyssoppaddle_dispatch_RoomSearch_h
#define hyssoppaddle_dispatch_RoomSearch_h

#include "dispatch/UpstreamSession.h"

#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::dispatch {

class RoomSearch
{
public:
  // aEmpty is the capacity of an instance without runs.
  explicit RoomSearch(const state::Resources& aEmpty)
    : empty(aEmpty)
  {
  }

  // The session must outlive this object.
  void AddUpstream(const UpstreamSession& aSession);
  void AddEmpty(std::size_t aCount);
  // Reserves room for aCount tasks of the step of aTask. Called once for each
  // step.
  void Place(const work::Step& aStep,
             const work::TaskRef& aTask,
             std::uint32_t aCount);

  // Empty instances that were needed in addition.
  [[nodiscard]] std::size_t Missing() const { return this->missing; }
  // Instances of the upstreams on which room was reserved.
  [[nodiscard]] const std::set<std::string>& Reserved() const
  {
    return this->reserved;
  }

private:
  struct Room
  {
    const UpstreamSession* session = nullptr; // null: an empty instance
    state::Resources free;
  };

  // Returns how many of the tasks the room takes, at most aCount.
  static std::uint32_t Take(Room& aRoom,
                            const work::Step& aStep,
                            const work::TaskRef& aTask,
                            std::uint32_t aCount);

  state::Resources empty;
  std::vector<Room> rooms;
  std::set<std::string> reserved;
  std::size_t missing = 0;
};

} // namespace hyssoppaddle::dispatch

#endif
