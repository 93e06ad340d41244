// Builds the index again when the version of the setup has changed.
#include "dispatch/QueueIndex.h"

namespace hyssoppaddle::dispatch {

const work::Queue*
QueueIndex::Find(const work::Setup& aSetup, const work::QueueId& aName)
{
  if (this->version != aSetup.version) {
    this->version = aSetup.version;
    this->positions.clear();
    for (std::size_t i = 0; i < aSetup.queues.size(); ++i) {
      this->positions.emplace(aSetup.queues[i].name, i);
    }
  }
  const auto found = this->positions.find(aName);
  return found == this->positions.end() ? nullptr
                                        : &aSetup.queues[found->second];
}

} // namespace hyssoppaddle::dispatch
