// First fit of waiting tasks, by all resources and the limit of their step.
#include "dispatch/RoomSearch.h"

#include "dispatch/Placement.h"

namespace hyssoppaddle::dispatch {

void
RoomSearch::AddUpstream(const UpstreamSession& aSession)
{
  this->rooms.push_back({ &aSession, aSession.Free() });
}

void
RoomSearch::AddEmpty(std::size_t aCount)
{
  this->rooms.insert(this->rooms.end(), aCount, { nullptr, this->empty });
}

void
RoomSearch::Place(const work::Step& aStep,
                  const work::TaskRef& aTask,
                  std::uint32_t aCount)
{
  std::uint32_t left = aCount;
  for (Room& room : this->rooms) {
    const std::uint32_t taken = Take(room, aStep, aTask, left);
    left -= taken;
    if (taken > 0 && room.session != nullptr) {
      this->reserved.insert(room.session->record.instance);
    }
  }
  while (left > 0) {
    Room room{ nullptr, this->empty };
    const std::uint32_t taken = Take(room, aStep, aTask, left);
    if (taken == 0) {
      return; // no instance takes such a task
    }
    left -= taken;
    this->rooms.push_back(room);
    ++this->missing;
  }
}

std::uint32_t
RoomSearch::Take(Room& aRoom,
                 const work::Step& aStep,
                 const work::TaskRef& aTask,
                 std::uint32_t aCount)
{
  const state::Resources need = SizeInRoom(aStep);
  std::uint32_t ofStep = aStep.maxPerUpstream > 0 && aRoom.session != nullptr
                           ? CountOfStep(*aRoom.session, aTask)
                           : 0;
  std::uint32_t taken = 0;
  while (taken < aCount && need.FitsInto(aRoom.free) &&
         (aStep.maxPerUpstream == 0 || ofStep < aStep.maxPerUpstream)) {
    aRoom.free -= need;
    ++ofStep;
    ++taken;
  }
  return taken;
}

} // namespace hyssoppaddle::dispatch
