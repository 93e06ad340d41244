// Lookup of queues in the maps of the index.
#include "work/QueueIndex.h"

namespace hyssoppaddle::work {

namespace {

template<typename Key>
const Queue*
FindAt(const Setup& aSetup,
       const std::map<Key, std::size_t>& aPositions,
       const Key& aKey)
{
  const auto found = aPositions.find(aKey);
  return found == aPositions.end() ? nullptr : &aSetup.queues[found->second];
}

} // namespace

void
QueueIndex::Refresh(const Setup& aSetup)
{
  if (this->version == aSetup.version) {
    return;
  }
  this->version = aSetup.version;
  this->byAddress.clear();
  this->byName.clear();
  for (std::size_t i = 0; i < aSetup.queues.size(); ++i) {
    this->byAddress.emplace(aSetup.queues[i].Address(), i);
    this->byName.emplace(aSetup.queues[i].name, i);
  }
}

const Queue*
QueueIndex::Find(const Setup& aSetup, const QueueAddress& aAddress)
{
  this->Refresh(aSetup);
  return FindAt(aSetup, this->byAddress, aAddress);
}

const Queue*
QueueIndex::Find(const Setup& aSetup, const QueueId& aName)
{
  this->Refresh(aSetup);
  return FindAt(aSetup, this->byName, aName);
}

} // namespace hyssoppaddle::work
